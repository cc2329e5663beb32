//! Tests of splitting a stream into complete events and of skipping events that were already forwarded.

use proxy::event_stream::{Event, EventOffset, EventSplitter};
use rstest::rstest;

fn drain_events(splitter: &mut EventSplitter) -> Vec<(String, Option<String>)> {
    std::iter::from_fn(|| splitter.next_event())
        .map(|e| (String::from_utf8(e.bytes.to_vec()).unwrap(), e.id))
        .collect()
}

#[rstest]
#[case("id: 1\ndata: a\n\n", Some("1"))]
#[case("id:1\r\ndata: a\r\n\r\n", Some("1"))]
#[case("data: a\nid: 7\n\n", Some("7"))]
#[case("versions: 4\nid: 2\ndata: a\n\n", Some("2"))]
#[case("data: id: 3\n\n", None)]
#[case(": only a remark\n\n", None)]
#[case("id: 1\ndata: a\ndata: b\n\n", Some("1"))]
fn event_is_the_same_at_any_split(#[case] text: &str, #[case] id: Option<&str>) {
    let expected = [(text.to_owned(), id.map(str::to_owned))];
    for split_at in 0..=text.len() {
        let mut splitter = EventSplitter::new(1024);
        let mut events = Vec::new();
        for piece in [&text[..split_at], &text[split_at..]] {
            assert!(splitter.push(piece.as_bytes()).is_ok());
            events.extend(drain_events(&mut splitter));
        }
        assert_eq!(events, expected, "split at byte {split_at}");
        assert!(splitter.take_incomplete().is_empty());
    }
}

#[test]
fn several_events_in_one_piece_are_split() {
    let mut splitter = EventSplitter::new(1024);
    splitter
        .push(b"id: 1\n\nid: 2\ndata: x\n\nid: 3\nda")
        .unwrap();
    let ids: Vec<_> = drain_events(&mut splitter)
        .into_iter()
        .filter_map(|e| e.1)
        .collect();
    assert_eq!(ids, ["1", "2"]);
    assert_eq!(&splitter.take_incomplete()[..], b"id: 3\nda");
    splitter.push(b"data: y\n\n").unwrap();
    assert_eq!(
        splitter.next_event().unwrap().id,
        None,
        "the id of the previous event is discarded"
    );
}

#[test]
fn lines_that_end_with_cr_alone_are_split() {
    let mut splitter = EventSplitter::new(1024);
    splitter.push(b"id: 1\rdata: a\r\r").unwrap();
    assert!(
        splitter.next_event().is_none(),
        "the last line may still end with an LF"
    );
    splitter.push(b"id: 2\r\r:").unwrap();
    assert_eq!(
        drain_events(&mut splitter)
            .into_iter()
            .filter_map(|e| e.1)
            .collect::<Vec<_>>(),
        ["1", "2"]
    );
}

/// Guards against a last event that is neither forwarded as an event nor known to be: it would be asked for again.
#[test]
fn last_event_that_ends_with_cr_alone_is_complete_at_the_end_of_the_stream() {
    let text = "id: 1\rdata: a\r\r";
    let mut splitter = EventSplitter::new(1024);
    splitter.push(text.as_bytes()).unwrap();
    assert!(splitter.next_event().is_none());
    splitter.end();
    let expected = [(text.to_owned(), Some("1".to_owned()))];
    assert_eq!(drain_events(&mut splitter), expected);
    assert!(splitter.take_incomplete().is_empty());
}

#[test]
fn event_over_the_limit_is_an_error() {
    let mut splitter = EventSplitter::new(8);
    assert!(splitter.push(b"data: 12").is_ok());
    assert!(splitter.next_event().is_none());
    assert!(splitter.push(b"3").is_err());
}

fn event(id: Option<&str>) -> Event {
    Event {
        bytes: Default::default(),
        id: id.map(str::to_owned),
    }
}

#[rstest]
#[case(None, Some("1"), true)]
#[case(Some("4"), Some("5"), true)]
#[case(Some("4"), Some("9"), true)]
#[case(Some("4"), Some("4"), false)]
#[case(Some("10"), Some("9"), false)]
#[case(Some("9"), Some("10"), true)]
#[case(Some("4"), None, true)]
fn event_already_forwarded_is_skipped(
    #[case] last: Option<&str>,
    #[case] id: Option<&str>,
    #[case] is_new: bool,
) {
    let mut offset = EventOffset::after(last);
    assert_eq!(offset.advance(&event(id)), is_new);
    assert_eq!(
        offset.last_event_id(),
        if is_new { id.or(last) } else { last }
    );
}
