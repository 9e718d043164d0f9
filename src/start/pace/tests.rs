use super::*;

#[test]
fn all_messages_are_released_in_time_ordered_by_remaining_time() {
    let mut rng = fastrand::Rng::with_seed(3);
    for count in [0, 1, 2, 700] {
        let now = 50_000_000;
        // Some have already expired.
        let ends: Vec<Micros> = (0..count).map(|_| now - 1_000_000 + rng.u64(0..30_000_000)).collect();
        let mut backlog = Backlog::new((0..).zip(ends.iter().copied()), now);
        let (mut last, mut taken) = (0, 0);
        for at in (now..=now + MAX_RELEASE_TIME).step_by(5_000) {
            let turn = backlog.take(at);
            assert!(count < 100 || turn.len() < 100, "{} at once", turn.len());
            taken += turn.len();
            for end in turn.into_iter().map(|number| ends[number as usize]) {
                assert!(
                    end <= now || (at - now) <= (end - now) / MAX_WAIT_DIVISOR + 5_000,
                    "a message waited too long"
                );
                assert!(end >= last, "a message with less time left was released later");
                last = end;
            }
        }
        assert_eq!((taken, backlog.left(), backlog.due()), (count, 0, None));
    }
}
