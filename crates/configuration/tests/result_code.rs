//! The table of result codes in the docs matches the code.

use configuration::ResultCode;

const TABLE: &str = include_str!("../../../docs/result-codes.md");

/// Number, HTTP status and text of each row of the table.
fn rows() -> Vec<(u16, u16, String)> {
    let cells = |line: &str| {
        line.split('|')
            .map(|cell| cell.trim().to_owned())
            .collect::<Vec<_>>()
    };
    let rows = TABLE
        .lines()
        .filter(|line| line.starts_with('|'))
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
fn documented_table_lists_every_code_in_order() {
    let codes: Vec<_> = ResultCode::ALL
        .iter()
        .map(|code| (code.number(), code.status(), code.text().to_owned()))
        .collect();
    assert_eq!(rows(), codes);
}

#[test]
fn from_number_finds_each_code_by_its_unique_number() {
    for pair in ResultCode::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number(), "{pair:?}");
    }
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
    assert_eq!(ResultCode::from_number(65_535), None);
}
