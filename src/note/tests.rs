use super::*;

fn note(topic: Topic, destination: u32, limit: f64) -> Note {
    Note { topic, destination: DestinationId(destination), limit }
}

#[test]
fn destinations_of_two_bytes_keep_the_short_encoding() {
    assert_eq!(note(Topic::PlannedCall, 0x0201, 0.0).encode(), [0x11, 1, 2]);
    assert_eq!(note(Topic::LimitReached, 0xffff, 0.0).encode(), [0x12, 0xff, 0xff]);
    assert_eq!(note(Topic::LimitChanged, 7, 2.5).encode(), [0x13, 7, 0, 20, 0]);
}

#[test]
fn an_encoded_note_is_decoded_unchanged() {
    for destination in [0, 7, 0xffff, 0x1_0000, 310_000, u32::MAX] {
        for note in [
            note(Topic::PlannedCall, destination, 0.0),
            note(Topic::LimitReached, destination, 0.0),
            note(Topic::LimitChanged, destination, 12.125),
        ] {
            assert_eq!(Note::decode(&note.encode()), Some(note));
        }
    }
}

#[test]
fn truncated_or_extended_notes_are_rejected() {
    for destination in [7, 310_000] {
        for topic in [Topic::PlannedCall, Topic::LimitReached, Topic::LimitChanged] {
            let bytes = note(topic, destination, 1.0).encode();
            for end in 0..bytes.len() {
                assert_eq!(Note::decode(&bytes[..end]), None, "{topic:?} truncated at {end} bytes");
            }
            assert_eq!(Note::decode(&[&bytes[..], &[0]].concat()), None);
        }
    }
    assert_eq!(Note::decode(&[0x14, 1, 2]), None);
    assert_eq!(Note::decode(&[0x00, 1, 2, 3, 4]), None);
}
