use super::*;

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn list<'a>(of: &[(&'a str, u32, bool)]) -> Vec<Listed<'a>> {
    of.iter()
        .map(|(name, destination, active)| Listed { name, destination: *destination, active: *active })
        .collect()
}

#[test]
fn the_last_active_endpoint_is_drained_only_by_force() {
    let list = list(&[("a", 7, true), ("b", 7, true), ("c", 7, false), ("d", 8, true), ("e", 9, false)]);
    let none = Marks::new(8);
    assert_eq!(none.with(&names(&["a", "b"]), false, 1, &list), Err(Refusal::Last(vec![7])));
    assert_eq!(none.with(&names(&["a", "d"]), false, 1, &list), Err(Refusal::Last(vec![8])));
    let one = none.with(&names(&["a"]), false, 1, &list).unwrap();
    assert_eq!(one.with(&names(&["b"]), false, 2, &list), Err(Refusal::Last(vec![7])));
    let both = one.with(&names(&["b"]), true, 2, &list).unwrap();
    assert_eq!(both.get("b"), Some(Mark { since: 2, forced: true }));
    assert_eq!(both.destinations_without_active(&list), BTreeSet::from([7, 9]));
    // An endpoint that discovery already took out can be drained, and a marked one can be marked again.
    assert!(both.with(&names(&["a", "c", "e"]), false, 3, &list).is_ok());
}

#[test]
fn drain_request_is_applied_as_a_whole_or_not_at_all() {
    let list = list(&[("a", 7, true), ("b", 7, true), ("c", 7, true)]);
    let marks = Marks::new(1).with(&names(&["a"]), false, 1, &list).unwrap();
    assert_eq!(marks.with(&names(&[]), true, 2, &list), Err(Refusal::Nothing));
    let unknown = Refusal::Unknown(vec!["x".into(), "y".into()]);
    assert_eq!(marks.with(&names(&["b", "x", "y"]), true, 2, &list), Err(unknown));
    assert_eq!(marks.with(&names(&["b"]), true, 2, &list), Err(Refusal::TooMany(1)));
    assert_eq!(marks.with(&names(&["a"]), false, 2, &list), Ok(marks.clone()), "the mark keeps its time");
    assert_eq!(marks.without(&names(&["b", "x"])), marks);
}

#[test]
fn mark_drains_a_ready_endpoint_and_never_restores_a_removed_one() {
    let marks =
        Marks::new(8).with(&names(&["a"]), false, 1, &list(&[("a", 7, true), ("b", 7, true)])).unwrap();
    assert_eq!(marks.apply_to("a", Listing::Ready), Listing::Draining);
    assert_eq!(marks.apply_to("a", Listing::Draining), Listing::Draining);
    assert_eq!(marks.apply_to("a", Listing::Gone), Listing::Gone);
    assert_eq!(marks.apply_to("b", Listing::Ready), Listing::Ready);
    assert_eq!(marks.retain_listed(|name| name == "b"), Marks::new(8));
}

#[test]
fn stored_marks_round_trip() {
    let marks =
        Marks::new(8).with(&names(&["a", "b"]), true, 5, &list(&[("a", 7, true), ("b", 8, true)])).unwrap();
    assert_eq!(Marks::read(8, &marks.to_json()).unwrap(), marks);
    assert_eq!(Marks::read(1, &marks.to_json()).unwrap().iter().count(), 1, "at most as many as allowed");
    let written = marks.to_json();
    for end in 0..written.len() {
        assert!(Marks::read(8, &written[..end]).is_err(), "{end}");
    }
}

#[test]
fn verdict_names_the_remaining_work() {
    let left = RemainingWork { owed: 3, calls_out: 1, clients: 2, unwritten: 0 };
    assert_eq!(left.verdict(true), "not yet: it is serving, 1 calls out, 2 clients connected");
    assert_eq!(left.state(false), State::Draining);
    let left = RemainingWork { owed: 3, ..RemainingWork::default() };
    assert!(left.verdict(false).starts_with("safe to stop: 3 messages"));
    assert_eq!(left.state(false), State::Draining);
    assert_eq!(RemainingWork::default().verdict(false), "safe to lose the machine");
    assert_eq!(RemainingWork::default().state(false), State::Drained);
    assert_eq!(RemainingWork::default().state(true), State::Serving);
}
