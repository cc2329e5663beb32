//! The bytes of every message and every stored record. `fixtures/wire_format.txt` was written by the release before
//! the types were renamed: each line is `<type>.<sample> <hex>`.

mod samples;

use binrw::{BinRead, BinWrite};
use protocol::{decode, decode_record, encode, encode_record};
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/wire_format.txt");

fn expected_bytes(name: &str) -> Vec<u8> {
    let (_, digits) = FIXTURE
        .lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(line_name, _)| *line_name == name)
        .unwrap_or_else(|| panic!("the fixture has no line for {name}"));
    assert_eq!(digits.len() % 2, 0, "{name}");
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn check_values<T>(kind: &str, samples: Vec<(&'static str, T)>)
where
    T: PartialEq + Debug + for<'a> BinRead<Args<'a> = ()> + for<'a> BinWrite<Args<'a> = ()>,
{
    for (name, value) in samples {
        let bytes = expected_bytes(&format!("{kind}.{name}"));
        assert_eq!(encode_record(&value), bytes, "{kind}.{name}");
        assert_eq!(decode_record::<T>(&bytes).unwrap(), value, "{kind}.{name}");
    }
}

#[test]
fn frame_of_each_message_matches_fixture_both_ways() {
    for (name, message) in samples::messages() {
        let frame = expected_bytes(&format!("Message.{name}"));
        assert_eq!(encode(&message), frame, "{name}");
        let length = frame.len();
        assert_eq!(decode(&frame).unwrap(), Some((message, length)), "{name}");
    }
}

#[test]
fn bytes_of_each_record_match_fixture_both_ways() {
    check_values("Record", samples::records());
}

#[test]
fn bytes_of_each_change_match_fixture_both_ways() {
    check_values("Change", samples::changes());
}

#[test]
fn bytes_of_each_command_match_fixture_both_ways() {
    check_values("Command", samples::commands());
}

#[test]
fn bytes_of_a_snapshot_match_fixture_both_ways() {
    check_values("Snapshot", vec![("Full", samples::snapshot())]);
}

#[test]
fn fixture_holds_each_sample_once_and_nothing_else() {
    let mut samples: Vec<String> = Vec::new();
    samples.extend(
        samples::messages()
            .iter()
            .map(|s| format!("Message.{}", s.0)),
    );
    samples.extend(samples::records().iter().map(|s| format!("Record.{}", s.0)));
    samples.extend(samples::changes().iter().map(|s| format!("Change.{}", s.0)));
    samples.extend(
        samples::commands()
            .iter()
            .map(|s| format!("Command.{}", s.0)),
    );
    samples.push("Snapshot.Full".to_owned());
    let lines: Vec<&str> = FIXTURE
        .lines()
        .filter_map(|line| line.split(' ').next())
        .collect();
    assert_eq!(lines, samples);
}
