//! Tests of telling whether an event stream is between two events or inside one.

use proptest::prelude::*;
use proxy::event_boundary::EventBoundary;
use rstest::rstest;

fn is_inside_event(pieces: &[&[u8]]) -> bool {
    let mut boundary = EventBoundary::default();
    for piece in pieces {
        boundary.advance(piece);
    }
    boundary.is_inside_event()
}

#[rstest]
#[case::nothing("", false)]
#[case::event("data: a\n\n", false)]
#[case::event_with_crlf("id: 1\r\ndata: a\r\n\r\n", false)]
#[case::event_with_cr("id: 1\rdata: a\r\r", false)]
#[case::mixed_line_ends("id: 1\r\ndata: a\r\n\n", false)]
#[case::several_blank_lines("data: a\n\n\n\r\n", false)]
#[case::comment_after_an_event("data: a\n\n: still here\n", false)]
#[case::comment_alone(":\n", false)]
#[case::in_a_field_name("data: a\n\nda", true)]
#[case::in_a_value("data: a\n\ndata: b", true)]
#[case::before_the_blank_line("data: a\n\ndata: b\n", true)]
#[case::before_the_blank_line_with_cr("data: a\r", true)]
#[case::before_the_blank_line_with_crlf("data: a\r\n", true)]
#[case::in_a_comment("data: a\n\n: still", true)]
#[case::comment_inside_an_event("data: a\n: still here\n", true)]
#[case::colon_in_a_value("data: a:\n", true)]
fn stream_is_inside_an_event_until_its_blank_line(#[case] stream: &str, #[case] inside: bool) {
    let bytes = stream.as_bytes();
    for split_at in 0..=bytes.len() {
        let (start, rest) = bytes.split_at(split_at);
        assert_eq!(
            is_inside_event(&[start, rest]),
            inside,
            "split at byte {split_at}"
        );
    }
}

/// Blank lines, as the HTML standard defines line ends, decide alone whether an event is complete.
fn is_inside_event_by_lines(stream: &str) -> bool {
    let lines = stream.replace("\r\n", "\n").replace('\r', "\n");
    let (complete, last) = match lines.rsplit_once('\n') {
        Some((complete, last)) => (Some(complete), last),
        None => (None, lines.as_str()),
    };
    let lines_since_blank = complete
        .into_iter()
        .flat_map(|complete| complete.split('\n').rev())
        .take_while(|line| !line.is_empty());
    let fields = lines_since_blank.filter(|line| !line.starts_with(':'));
    !last.is_empty() || fields.count() > 0
}

proptest! {
    #[test]
    fn any_split_gives_the_position_that_the_lines_give(
        stream in "[ab:\r\n]{0,40}",
        split_at in any::<prop::sample::Index>(),
    ) {
        let (start, rest) = stream.as_bytes().split_at(split_at.index(stream.len() + 1));
        prop_assert_eq!(is_inside_event(&[start, rest]), is_inside_event_by_lines(&stream));
    }
}
