//! Tests of the buffers for bodies and of the memory that is reserved for them.

use bytes::Bytes;
use yucca_serve::body_buffer::BodyBuffer;
use yucca_serve::memory::Memory;
use yucca_serve::segment::mapped_bytes;
use yuccacove::memory_budget::Purpose;

const PROCESS_BYTES: usize = 16_000_000;
const MAX_BODY_BYTES: usize = 4_000_000;
/// Largest size of a page of memory on x86-64 and arm64.
const MAX_PAGE_BYTES: usize = 64 * 1_024;

fn read_pieces(memory: &Memory, declared: Option<usize>, pieces: &[usize]) -> Vec<Bytes> {
    let guard = memory.guard(Purpose::Request);
    let mut buffer = BodyBuffer::new(guard, declared, MAX_BODY_BYTES);
    for bytes in pieces {
        assert!(buffer.try_push(&vec![b'x'; *bytes]), "{bytes} bytes");
        assert_eq!(memory.used_bytes(), buffer.capacity(), "{bytes} bytes");
    }
    buffer.finish()
}

/// Guards against mappings for small bodies, which take up whole pages, and against large pages that are
/// mostly empty.
#[test]
fn mapped_bytes_by_page() {
    for (bytes, page_bytes, mapped) in [
        (0, 4_096, None),
        (4_096, 4_096, None),
        (16_383, 4_096, None),
        (16_384, 4_096, Some(16_384)),
        (16_385, 4_096, Some(20_480)),
        (32_768, 16_384, Some(32_768)),
        (17_000, 16_384, None),
        (32_768, 65_536, None),
        (65_536, 65_536, Some(65_536)),
        (usize::MAX, 4_096, None),
    ] {
        let found = mapped_bytes(bytes, page_bytes);
        assert_eq!(found, mapped, "{bytes} bytes, pages of {page_bytes}");
    }
}

/// Guards against bytes that get lost or change between segments of different sizes.
#[test]
fn finish_keeps_bytes() {
    let memory = Memory::new(PROCESS_BYTES);
    let whole: Vec<u8> = (0..300_000_u32).map(|number| number as u8).collect();
    for (declared, piece_bytes) in [
        (Some(300_000), 16_384),
        (Some(300_000), 7),
        (None, 16_384),
        (None, 50_000),
        (None, 1),
    ] {
        let guard = memory.guard(Purpose::Request);
        let mut buffer = BodyBuffer::new(guard, declared, MAX_BODY_BYTES);
        for piece in whole.chunks(piece_bytes) {
            assert!(buffer.try_push(piece));
        }
        let segments = buffer.finish();
        assert!(segments.concat() == whole, "{declared:?} {piece_bytes}");
        assert!(memory.used_bytes() <= 300_000 + MAX_PAGE_BYTES);
        drop(segments);
        assert_eq!(memory.used_bytes(), 0);
    }
}

/// Guards against memory that counts as free while a connection to a slow engine still holds a part of the
/// body: the request has ended, and its body is dropped.
#[test]
fn finish_releases_with_last_reference() {
    let memory = Memory::new(PROCESS_BYTES);
    let segments = read_pieces(&memory, Some(1_000_000), &[500_000, 500_000]);
    assert!(memory.used_bytes() >= 1_000_000);
    let held = segments[0].slice(..10);
    let segment_bytes = segments[0].len();
    drop(segments);
    assert_eq!(memory.used_bytes(), segment_bytes);
    drop(held);
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against small bodies of unknown length that keep a large segment.
#[test]
fn finish_fits_last_segment() {
    let memory = Memory::new(PROCESS_BYTES);
    for pieces in [
        &[100][..],
        &[4_000, 200],
        &[1_000, 1_000, 1_000, 1_000, 1_000],
    ] {
        let segments = read_pieces(&memory, None, pieces);
        let body_bytes = segments.iter().map(Bytes::len).sum::<usize>();
        assert_eq!(memory.used_bytes(), body_bytes, "{pieces:?}");
    }
}

/// Guards against a reservation that remains, or bytes that are appended in part, when there is not enough
/// memory.
#[test]
fn try_push_without_memory() {
    let memory = Memory::new(64_000);
    let mut buffer = BodyBuffer::new(memory.guard(Purpose::Request), None, MAX_BODY_BYTES);
    assert!(buffer.try_push(&[b'x'; 10_000]));
    let used_bytes = memory.used_bytes();
    assert!(!buffer.try_push(&vec![b'x'; 100_000]));
    assert_eq!((buffer.len(), memory.used_bytes()), (10_000, used_bytes));
    drop(buffer);
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against bytes of former bodies that show up in later ones, whose segments use the same pages.
#[test]
fn finish_after_other_bodies() {
    let memory = Memory::new(PROCESS_BYTES);
    for round in 0..20_u8 {
        let bytes = 72 * 1_024 - usize::from(round) * 3_000;
        let guard = memory.guard(Purpose::Request);
        let mut buffer = BodyBuffer::new(guard, Some(bytes), MAX_BODY_BYTES);
        assert!(buffer.try_push(&vec![round; bytes - 1]));
        assert!(buffer.try_push(&[round]));
        let body = buffer.finish().concat();
        assert!(body.len() == bytes && body.iter().all(|byte| *byte == round));
        assert_eq!(memory.used_bytes(), 0);
    }
}
