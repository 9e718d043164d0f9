use super::*;

#[test]
fn corrupt_truncated_or_foreign_hint_is_rejected() {
    let held = (0..60).map(|to| (to, 500 - to as u16)).collect();
    let mut hint =
        Hint { answer: true, confirmed: false, age_s: 7, version: 41, trouble: 3, capacity: 160, held };
    let bytes = hint.write(9);
    hint.held.truncate(MAX_HELD);
    assert_eq!((bytes.len(), Hint::read(&bytes, 9)), (219, Some(hint)));
    assert_eq!(Hint::read(&bytes, 8), None);
    for at in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[at] ^= 4;
        assert_eq!((Hint::read(&bad, 9), Hint::read(&bytes[..at], 9)), (None, None), "{at}");
    }
}
