use super::*;

#[test]
fn positions_are_even_for_whole_tier_and_consecutive_ranks() {
    for (first, count) in [(0, 300), (37, 150), (500, 500)] {
        let mut slots = [0; 10];
        (first..first + count).for_each(|rank| slots[(place(rank, 77) * 10.0) as usize] += 1);
        let (least, most) = (slots.iter().min(), slots.iter().max());
        assert!(most.zip(least).is_some_and(|(most, least)| most - least <= 3), "{slots:?}");
    }
}

#[test]
fn window_and_backoff_stay_within_bounds_for_any_input() {
    for senders in [0.0, 1.0, 1e3, f64::INFINITY, f64::NAN] {
        for capacity in [0.0, -4.0, 20.0, f64::INFINITY, f64::NAN] {
            for trouble in [-1.0, 0.0, 1e9, f64::NAN] {
                assert!(window(senders, capacity, trouble, MAX_WINDOW) <= MAX_WINDOW);
            }
        }
    }
    assert_eq!(window(150.0, 20.0, 0.0, MAX_WINDOW), 10_000_000);
    assert_eq!(window(150.0, 20.0, 1.0, MAX_WINDOW), 20_000_000);
    for failed in 0..100 {
        assert!(backoff(7, failed, 1.0, BACKOFF) <= BACKOFF.1 * 3 / 2);
        assert!(backoff(Micros::MAX >> 8, failed, 0.0, BACKOFF_AT_AGENT) >= BACKOFF_AT_AGENT.0 / 2);
    }
}
