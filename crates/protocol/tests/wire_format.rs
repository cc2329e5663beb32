//! Byte format of every message and stored record. `fixtures/wire_format.txt` was written by the release that preceded
//! a renaming of the types; each line is `<type>.<sample> <hex>`.

mod samples;

use binrw::{BinRead, BinWrite};
use protocol::{decode, decode_record, encode, encode_record};
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/wire_format.txt");

fn expected_bytes(name: &str) -> Vec<u8> {
    let (_, digits) = FIXTURE
        .lines()
        .filter_map(|line| line.split_once(' '))
        .find(|(sample_name, _)| *sample_name == name)
        .unwrap_or_else(|| panic!("the fixture has no line for {name}"));
    assert_eq!(digits.len() % 2, 0, "{name}");
    (0..digits.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&digits[start..start + 2], 16).unwrap())
        .collect()
}

fn assert_matches_fixture<T>(kind: &str, samples: Vec<(&'static str, T)>)
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
fn each_message_encodes_to_and_decodes_from_its_fixture_frame() {
    for (name, message) in samples::messages() {
        let frame = expected_bytes(&format!("Message.{name}"));
        assert_eq!(encode(&message), frame, "{name}");
        let length = frame.len();
        assert_eq!(decode(&frame).unwrap(), Some((message, length)), "{name}");
    }
}

#[test]
fn each_record_encodes_to_and_decodes_from_its_fixture_bytes() {
    assert_matches_fixture("Record", samples::records());
}

#[test]
fn each_change_encodes_to_and_decodes_from_its_fixture_bytes() {
    assert_matches_fixture("Change", samples::changes());
}

#[test]
fn each_command_encodes_to_and_decodes_from_its_fixture_bytes() {
    assert_matches_fixture("Command", samples::commands());
}

#[test]
fn snapshot_encodes_to_and_decodes_from_its_fixture_bytes() {
    assert_matches_fixture("Snapshot", vec![("Full", samples::snapshot())]);
}

#[test]
fn fixture_holds_exactly_one_line_per_sample() {
    let mut samples: Vec<String> = Vec::new();
    samples.extend(
        samples::messages()
            .iter()
            .map(|sample| format!("Message.{}", sample.0)),
    );
    samples.extend(
        samples::records()
            .iter()
            .map(|sample| format!("Record.{}", sample.0)),
    );
    samples.extend(
        samples::changes()
            .iter()
            .map(|sample| format!("Change.{}", sample.0)),
    );
    samples.extend(
        samples::commands()
            .iter()
            .map(|sample| format!("Command.{}", sample.0)),
    );
    samples.push("Snapshot.Full".to_owned());
    let lines: Vec<&str> = FIXTURE
        .lines()
        .filter_map(|line| line.split(' ').next())
        .collect();
    assert_eq!(lines, samples);
}
