use super::*;

/// The state of one route, as it is saved.
fn routes() -> Vec<NamedRoute> {
    vec![(None, Route::default())]
}

#[test]
fn saved_states_are_limited_and_oldest_is_dropped_first() {
    let mut working = WorkingSet::default();
    for destination in 0..=MAX_SAVED as u32 {
        working.evicted(destination, &routes(), false);
    }
    assert_eq!(working.forgotten, 1);
    assert!(working.take_saved(0).is_empty());
    assert_eq!(working.take_saved(1).len(), 1);
    assert!(working.take_saved(1).is_empty(), "a saved state is returned once");
    working.evicted(1, &routes(), false);
    assert_eq!(working.forgotten, 1, "there is a free entry again");
}

/// Requested waits, breakers and ramps must outlive states that were merely learned, however recent those
/// are.
#[test]
fn binding_states_are_dropped_last() {
    let mut working = WorkingSet::default();
    for destination in 0..100 {
        working.evicted(destination, &routes(), true);
    }
    for destination in 100..MAX_SAVED as u32 + 200 {
        working.evicted(destination, &routes(), false);
    }
    assert_eq!(working.forgotten, 200);
    assert!((0..100).all(|destination| working.take_saved(destination).len() == 1));
    assert!(working.take_saved(299).is_empty() && working.take_saved(300).len() == 1);
}

/// Routes are encoded by field position, so states of a version with other fields must not be decoded.
#[test]
fn states_of_another_format_are_dropped_and_counted() {
    let mut working = WorkingSet::default();
    working.evicted(1, &routes(), true);
    assert_eq!(working.drop_other_formats(), 0);
    working.routes_form = ROUTES_FORMAT + 1;
    assert_eq!(working.drop_other_formats(), 1);
    assert!(working.take_saved(1).is_empty() && working.order.is_empty());
}

/// A destination that is evicted repeatedly must occupy one entry only.
#[test]
fn entry_is_freed_when_its_state_is_taken() {
    let mut working = WorkingSet::default();
    for _ in 0..2 * MAX_SAVED {
        working.evicted(7, &routes(), false);
        assert_eq!(working.take_saved(7).len(), 1);
    }
    assert_eq!((working.order.len(), working.saved.len(), working.forgotten), (0, 0, 0));
}

#[test]
fn recently_used_destination_is_not_idle() {
    let mut working = WorkingSet { long_list: true, ..WorkingSet::default() };
    assert!(working.touch(1, 0) && working.touch(2, 0));
    assert!(!working.touch(2, IDLE_TIMEOUT / 2));
    assert!(working.idle(IDLE_TIMEOUT - 1).is_empty());
    assert_eq!(working.idle(IDLE_TIMEOUT), [1]);
    working.keep(1, IDLE_TIMEOUT);
    assert_eq!(working.idle(2 * IDLE_TIMEOUT - 1), [2], "idle for the whole time-out");
    assert_eq!(working.idle(2 * IDLE_TIMEOUT), [1]);
    working.evicted(1, &[], false);
    assert_eq!((working.resident(), working.is_resident(1), working.is_resident(2)), (1, false, true));
}

#[test]
fn idle_destinations_are_limited_per_iteration() {
    let mut working = WorkingSet { long_list: true, ..WorkingSet::default() };
    for destination in 0..MAX_EVICTIONS_AT_ONCE as u32 + 1 {
        working.touch(destination, 0);
    }
    assert_eq!(working.idle(IDLE_TIMEOUT).len(), MAX_EVICTIONS_AT_ONCE);
    assert_eq!(working.idle(IDLE_TIMEOUT).len(), 1);
}
