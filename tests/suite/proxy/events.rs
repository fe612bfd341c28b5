//! Tests of splitting a byte stream into whole events.

use quickcheck::quickcheck;
use radishstair_entry::proxy::events::{MAX_EVENT_BYTES, Splitter};

fn split(pieces: &[&[u8]]) -> (Vec<u8>, Vec<u64>, bool) {
    let mut splitter = Splitter::default();
    let (mut bytes, mut ids) = (Vec::new(), Vec::new());
    for piece in pieces {
        let events = splitter.push(piece).expect("no event is too long");
        bytes.extend_from_slice(&events.bytes);
        ids.extend(events.ids);
    }
    (bytes, ids, splitter.is_empty())
}

/// If a runner dies in the middle of an event, the caller must not get the partial event, as the
/// next runner sends it from the start.
#[test]
fn a_torn_event_is_held_back() {
    let (bytes, ids, whole) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(bytes, b"id: 1\ndata: a\n\n");
    assert_eq!(ids, [1]);
    assert!(!whole);
}

/// Events pass unchanged, wherever the byte stream is split.
#[test]
fn cuts_change_nothing() {
    fn holds(cuts: Vec<u8>, count: u8) -> bool {
        let text: String = (0..count % 20)
            .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
            .collect();
        let mut rest = text.as_bytes();
        let mut pieces = Vec::new();
        for cut in cuts {
            let (piece, tail) = rest.split_at(usize::from(cut % 7).min(rest.len()));
            pieces.push(piece);
            rest = tail;
        }
        pieces.push(rest);
        let ids: Vec<u64> = (0..u64::from(count % 20)).collect();
        split(&pieces) == (text.as_bytes().to_vec(), ids, true)
    }
    quickcheck(holds as fn(Vec<u8>, u8) -> bool);
}

/// An event without an end must not exhaust this host's memory.
#[test]
fn an_endless_event_is_refused() {
    let mut splitter = Splitter::default();
    let piece = vec![b'x'; 12 * 1024];
    let kept = (0..4).map(|_| splitter.push(&piece)).collect::<Vec<_>>();
    assert!(kept[0].is_some() && kept[3].is_none());
}

/// Guards against an event without an end that is kept, and against events before it that are lost with it.
#[test]
fn an_event_without_end_is_given_up() {
    let mut splitter = Splitter::default();
    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: ").expect("short");
    assert_eq!(first.ids, [1]);
    let piece = [b'x'; 100];
    let pieces = (0..).take_while(|_| splitter.push(&piece).is_some()).count();
    assert!(pieces <= MAX_EVENT_BYTES / piece.len());
    let mut splitter = Splitter::default();
    let long = [b"id: 1\n\n".as_slice(), &vec![b'x'; MAX_EVENT_BYTES + 1]].concat();
    assert_eq!(splitter.push(&long).expect("an event before it").ids, [1]);
    assert_eq!(splitter.push(b"x"), None);
}
