//! Tests of the buffer for incomplete events.

use yucca_serve::events::{EventBuffer, MAX_EVENT_BYTES};

/// Guards against the copy of a growing buffer that nothing accounts for: a buffer that doubles takes up
/// half as much again while it is moved.
#[test]
fn bytes_to_push_covers_copy() {
    let mut events = EventBuffer::default();
    for piece_bytes in [100, 1, 99, 1_000, 16_384, 16_384, 16_384, 600_000, 400_000] {
        let before = events.capacity();
        let needed_bytes = events.bytes_to_push(piece_bytes);
        assert!(events.push(&vec![b'x'; piece_bytes]).is_none());
        let after = events.capacity();
        if after == before {
            assert_eq!(needed_bytes, after, "{piece_bytes} bytes");
        } else {
            assert_eq!(needed_bytes, before + after, "{piece_bytes} bytes");
        }
    }
    assert!(events.capacity() <= MAX_EVENT_BYTES + 16_384);
}

/// Guards against a large buffer that a complete event, or the start of the next one, keeps from being
/// freed.
#[test]
fn push_keeps_small_buffer() {
    let mut events = EventBuffer::default();
    assert!(events.push(&[b'x'; 500_000]).is_none());
    let complete = events.push(b"\n\nid: 2\n").expect("an event");
    assert_eq!(complete.len(), 500_002);
    assert!(events.capacity() < 100, "{} bytes", events.capacity());
    assert!(!events.is_at_boundary());
    let complete = events.push(b"data: b\n\n").expect("an event");
    assert_eq!(complete, "id: 2\ndata: b\n\n");
    assert_eq!((events.capacity(), events.last_id()), (0, Some(2)));
    assert!(events.push(&[b'x'; 1_000]).is_none());
    events.discard_partial();
    assert_eq!(events.capacity(), 0);
}

/// Guards against events that differ with the places at which their bytes are split.
#[test]
fn push_at_any_split() {
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: none\n\n";
    for split_at in 0..=text.len() {
        let mut events = EventBuffer::default();
        let (first, second) = text.split_at(split_at);
        let pieces = [first, second].map(|piece| events.push(piece.as_bytes()));
        let received = pieces.into_iter().flatten().collect::<Vec<_>>().concat();
        assert_eq!(received, text.as_bytes(), "split at {split_at}");
        assert!(events.is_at_boundary());
        assert_eq!(events.last_id(), Some(2), "split at {split_at}");
    }
}
