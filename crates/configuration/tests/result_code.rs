//! The table of result codes in the docs says what the code says.

use configuration::ResultCode;

const TABLE: &str = include_str!("../../../docs/result-codes.md");

/// Code, HTTP status and meaning of each row.
fn rows() -> Vec<(u16, u16, String)> {
    let cells = |line: &str| {
        line.split('|')
            .map(|c| c.trim().to_owned())
            .collect::<Vec<_>>()
    };
    let rows = TABLE
        .lines()
        .filter(|l| l.starts_with('|'))
        .map(cells)
        .skip(2);
    rows.map(|row| {
        (
            row[1].parse().unwrap(),
            row[2].parse().unwrap(),
            row[3].clone(),
        )
    })
    .collect()
}

#[test]
fn docs_table_then_lists_every_code_in_order() {
    let code: Vec<_> = ResultCode::ALL
        .iter()
        .map(|c| (c.number(), c.status(), c.text().to_owned()))
        .collect();
    assert_eq!(rows(), code);
}

#[test]
fn from_number_then_finds_each_code_by_its_unique_number() {
    for pair in ResultCode::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{pair:?}");
    }
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert_eq!(ResultCode::from_number(65_535), None);
}
