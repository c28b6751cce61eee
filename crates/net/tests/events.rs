//! Splitting of event streams whose chunks begin and end anywhere.

use lycheehaven_net::SseEvent;
use lycheehaven_net::SseSplitter;
use proptest::prelude::*;

fn split(chunks: &[&[u8]]) -> (Vec<SseEvent>, Vec<u8>) {
    let mut splitter = SseSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        events.extend(splitter.push(chunk));
    }
    (events, splitter.take_rest().to_vec())
}

#[test]
fn event_is_returned_once_complete() {
    let (events, rest) = split(&[b"id: 7\ndata: a\n", b"\nid: 8\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(7));
    assert_eq!(&events[0].bytes[..], b"id: 7\ndata: a\n\n");
    assert_eq!(rest, b"id: 8\nda");
}

#[test]
fn lines_may_end_with_crlf() {
    let (events, rest) = split(&[b"id: 1\r\ndata: a\r\n\r\n"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].id, Some(1));
    assert!(rest.is_empty());
}

#[test]
fn lines_may_end_with_cr() {
    let (events, rest) = split(&[b"id: 1\rdata: a\r", b"\rid: 2\r\r"]);
    assert_eq!(events.len(), 2);
    assert_eq!(events[1].id, Some(2));
    assert!(rest.is_empty());
}

#[test]
fn line_breaks_after_an_event_begin_no_other() {
    let cases: [(&[u8], bool); 5] = [
        (b"id: 1\n\n", false),
        (b"id: 1\n\n\n\r\n", false),
        (b"id: 1\r\r\n", false),
        (b"id: 1\n\ni", true),
        (b"id: 1\n", true),
    ];
    for (bytes, within) in cases {
        let mut splitter = SseSplitter::default();
        splitter.push(bytes);
        assert_eq!(splitter.is_within_event(), within, "{bytes:?}");
    }
}

#[test]
fn event_without_id_field_has_no_id() {
    let (events, _) = split(&[b": comment\n\n"]);
    assert_eq!(events[0].id, None);
}

proptest! {
    /// Chunk boundaries do not change the events, and no byte is lost, added or
    /// reordered.
    #[test]
    fn chunk_boundaries_do_not_change_events(
        bytes in proptest::collection::vec(prop::sample::select(b"a:\n\rid1".to_vec()), 0..200),
        cuts in proptest::collection::vec(0_usize..200, 0..8),
    ) {
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.push(bytes.len());
        cuts.sort_unstable();
        let mut start = 0;
        let mut chunks: Vec<&[u8]> = Vec::new();
        for cut in cuts {
            chunks.push(&bytes[start..cut]);
            start = cut;
        }
        let (events, rest) = split(&chunks);
        let (whole, whole_rest) = split(&[&bytes]);
        prop_assert_eq!(&events, &whole);
        let mut joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        joined.extend(&rest);
        prop_assert_eq!(joined, bytes);
        prop_assert_eq!(rest, whole_rest);
    }
}
