use std::io::ErrorKind;

use super::*;

/// The thread must end when its channel is closed, without reading the chunks that are still queued.
#[test]
fn body_is_truncated_when_its_sender_is_gone() {
    let (chunks, waiting) = channel(MAX_QUEUED);
    let mut text = BodyText::new(waiting);
    for _ in 0..3 {
        assert!(chunks.try_send(Chunk::Text(Bytes::from_static(b"abc"))).is_ok());
    }
    let mut two = [0; 2];
    assert_eq!(text.read(&mut two).ok(), Some(2));
    drop(chunks);
    assert_eq!(text.read(&mut two).ok(), Some(1), "the rest of the chunk");
    assert_eq!(text.read(&mut two).map_err(|e| e.kind()), Err(ErrorKind::UnexpectedEof));
}

#[test]
fn body_ends_only_at_end_marker() {
    let (chunks, waiting) = channel(MAX_QUEUED);
    let mut text = BodyText::new(waiting);
    for chunk in [Chunk::Text(Bytes::new()), Chunk::Text(Bytes::from_static(b"abc")), Chunk::End] {
        assert!(chunks.try_send(chunk).is_ok());
    }
    let mut whole = String::new();
    assert_eq!(text.read_to_string(&mut whole).ok(), Some(3));
    assert_eq!(whole, "abc");
}
