//! A stream is cut into whole events, so that it goes on without a gap or a repetition.

use bytes::Bytes;
use jujubedoor_edge::event_buffer::EventBuffer;
use quickcheck::QuickCheck;

fn stream(events: u64) -> Vec<u8> {
    (1..=events).flat_map(|id| format!("id: {id}\ndata: token {id}\n\n").into_bytes()).collect()
}

#[test]
fn half_event_is_held() {
    let mut events = EventBuffer::default();
    assert_eq!(events.push(&Bytes::from_static(b"id: 1\nda")), None);
    let whole = events.push(&Bytes::from_static(b"ta: a\n\nid: 2\n"));
    assert_eq!(whole.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(events.last_event_id(), Some("1"), "the second event is not passed on yet");
    assert_eq!(&events.take_incomplete()[..], b"id: 2\n");
}

#[test]
fn carriage_returns() {
    let mut events = EventBuffer::default();
    let whole = events.push(&Bytes::from_static(b"id: 7\r\ndata: a\r\n\r\n"));
    assert!(whole.is_some());
    assert_eq!(events.last_event_id(), Some("7"));
}

#[test]
fn starts_behind_the_caller() {
    let events = EventBuffer::starting_after(Some("41".into()));
    assert_eq!(events.last_event_id(), Some("41"));
}

#[test]
fn any_cut_joins_whole() {
    fn check(cut: usize, chunk: usize) -> bool {
        let all = stream(12);
        let cut = cut % all.len();
        let chunk = chunk % 17 + 1;
        let mut events = EventBuffer::default();
        let mut got = Vec::new();
        for bytes in all[..cut].chunks(chunk) {
            got.extend(events.push(&Bytes::copy_from_slice(bytes)).unwrap_or_default());
        }
        events.take_incomplete();
        // The second upstream goes on behind the last event that was passed on.
        let last: u64 = events.last_event_id().and_then(|id| id.parse().ok()).unwrap_or_default();
        let rest: Vec<u8> =
            (last + 1..=12).flat_map(|id| format!("id: {id}\ndata: token {id}\n\n").into_bytes()).collect();
        for bytes in rest.chunks(chunk) {
            got.extend(events.push(&Bytes::copy_from_slice(bytes)).unwrap_or_default());
        }
        got.extend(events.take_incomplete());
        got == all
    }
    QuickCheck::new().tests(500).quickcheck(check as fn(usize, usize) -> bool);
}
