use super::*;

/// The state of one route, as it is saved.
fn routes() -> Vec<Named> {
    vec![(None, Route::default())]
}

#[test]
fn states_are_kept_up_to_the_most_and_the_oldest_goes_first() {
    let mut working = WorkingSet::default();
    for destination in 0..=MAX_KEPT as u32 {
        working.left(destination, &routes(), false);
    }
    assert_eq!(working.forgotten, 1);
    assert!(working.take(0).is_empty());
    assert_eq!(working.take(1).len(), 1);
    assert!(working.take(1).is_empty(), "a saved state is returned once");
    working.left(1, &routes(), false);
    assert_eq!(working.forgotten, 1, "there is a free entry again");
}

/// Requested waits, breakers and ramps must outlive states that were merely learned, however recent those
/// are.
#[test]
fn states_that_bind_are_dropped_last() {
    let mut working = WorkingSet::default();
    for destination in 0..100 {
        working.left(destination, &routes(), true);
    }
    for destination in 100..MAX_KEPT as u32 + 200 {
        working.left(destination, &routes(), false);
    }
    assert_eq!(working.forgotten, 200);
    assert!((0..100).all(|destination| working.take(destination).len() == 1));
    assert!(working.take(299).is_empty() && working.take(300).len() == 1);
}

/// Routes are encoded by field position, so states of a version with other fields must not be decoded.
#[test]
fn states_of_another_form_are_dropped_and_counted() {
    let mut working = WorkingSet::default();
    working.left(1, &routes(), true);
    assert_eq!(working.drop_other_form(), 0);
    working.routes_form = ROUTES_FORM + 1;
    assert_eq!(working.drop_other_form(), 1);
    assert!(working.take(1).is_empty() && working.order.is_empty());
}

/// A destination that is evicted repeatedly must occupy one entry only.
#[test]
fn a_place_is_free_again_once_its_state_is_taken() {
    let mut working = WorkingSet::default();
    for _ in 0..2 * MAX_KEPT {
        working.left(7, &routes(), false);
        assert_eq!(working.take(7).len(), 1);
    }
    assert_eq!((working.order.len(), working.kept.len(), working.forgotten), (0, 0, 0));
}

#[test]
fn who_was_used_of_late_is_not_idle() {
    let mut working = WorkingSet { beyond: true, ..WorkingSet::default() };
    assert!(working.touch(1, 0) && working.touch(2, 0));
    assert!(!working.touch(2, IDLE_FOR / 2));
    assert!(working.idle(IDLE_FOR - 1).is_empty());
    assert_eq!(working.idle(IDLE_FOR), [1]);
    working.stays(1, IDLE_FOR);
    assert_eq!(working.idle(2 * IDLE_FOR - 1), [2], "idle for the whole time-out");
    assert_eq!(working.idle(2 * IDLE_FOR), [1]);
    working.left(1, &[], false);
    assert_eq!((working.resident(), working.has(1), working.has(2)), (1, false, true));
}

#[test]
fn no_turn_has_more_leave_than_may_at_once() {
    let mut working = WorkingSet { beyond: true, ..WorkingSet::default() };
    for destination in 0..LEAVE_AT_ONCE as u32 + 1 {
        working.touch(destination, 0);
    }
    assert_eq!(working.idle(IDLE_FOR).len(), LEAVE_AT_ONCE);
    assert_eq!(working.idle(IDLE_FOR).len(), 1);
}
