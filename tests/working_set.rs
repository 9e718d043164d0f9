//! Evicting a destination from the decision module and loading it again: it is never evicted while it is in
//! use, and the decisions afterwards are the same as without the eviction.

mod common;

use std::collections::BTreeMap;

use common::*;
use myrtleyard::interface::*;
use myrtleyard::policy::Route;
use proptest::prelude::*;

/// Evicts the destination and loads it again with its kept routes, serialized as the driver does it. Returns
/// the number of kept routes, or `None` if the destination was not evicted.
fn evict_and_load(s: &mut Sender, entries: &[Entry]) -> Option<usize> {
    let kept = s.policy.evict(DEST, s.now)?;
    let bytes = postcard::to_allocvec(&kept).unwrap();
    let kept: Vec<(RouteId, Route)> = postcard::from_bytes(&bytes).unwrap();
    let count = kept.len();
    s.policy.load_destination(routes(entries), kept.into_iter().collect());
    s.handle(vec![Event::Changes(entries.to_vec())]);
    Some(count)
}

fn routes(entries: &[Entry]) -> Vec<RouteId> {
    let apart = |entry: &Entry| settings().kinds[entry.kind].route_per_endpoint;
    entries.iter().map(|entry| (DEST, apart(entry).then_some(entry.endpoint))).collect()
}

#[test]
fn a_destination_with_a_held_message_is_not_evicted() {
    let mut s = Sender::new(settings(), &[]);
    s.accept(SAFE);
    assert!(s.policy.evict(DEST, s.now).is_none(), "the message waits for an endpoint");
    s.advance(30 * SECOND);
    assert_eq!(s.refused.len(), 1);
    assert_eq!(s.policy.evict(DEST, s.now).map(|kept| kept.len()), Some(0));
}

/// An attempt may outlive its message: it holds a slot, and its outcome says something about the route.
#[test]
fn a_destination_with_an_outstanding_call_is_not_evicted() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    let message = s.accept(SAFE);
    assert_eq!(s.out.len(), 1);
    assert!(s.policy.evict(DEST, s.now).is_none(), "held and outstanding");
    s.handle(vec![Event::Withdrawn(message)]);
    assert_eq!(s.policy.held(), 0);
    assert!(s.policy.evict(DEST, s.now).is_none(), "outstanding, although the message has ended");
    s.end(Outcome::Delivered);
    assert!(s.policy.evict(DEST, s.now).is_some());
}

/// An effect that may have taken place restricts repeats for as long as its message is held.
#[test]
fn a_destination_with_a_possible_repeat_is_not_evicted() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.accept(KEYED);
    s.handle(vec![Event::RetryAfter { endpoint: endpoint(1), wait: SECOND }]);
    s.end(Outcome::Error);
    assert_eq!((s.policy.held(), s.out.len()), (1, 0), "the repeat waits");
    assert!(s.policy.evict(DEST, s.now).is_none());
}

/// Nothing of a destination remains after its eviction; a message that comes before it is listed again waits.
#[test]
fn an_evicted_destination_is_unknown_until_it_is_listed_again() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.serve(3);
    assert!(s.policy.evict(DEST, s.now).is_some());
    assert!(s.policy.route_of(endpoint(1)).is_none());
    let before = s.sent.len();
    s.accept(SAFE);
    assert_eq!(s.sent.len(), before);
    s.policy.load_destination(routes(&[entry(1, 0)]), BTreeMap::new());
    s.handle(vec![Event::Changes(vec![entry(1, 0)])]);
    assert_eq!(s.sent.len(), before + 1);
}

/// A sender that sends little sees one failure where others see many. A destination that is loaded without
/// kept routes counts as idle since the beginning of time, so that the failure holds the next calls back as
/// it does where nothing was delivered for a long time.
#[test]
fn a_first_failure_after_an_eviction_holds_back_the_next_calls() {
    let sent = |evicts: bool| {
        let mut s = Sender::new(settings(), &[entry(1, 0)]);
        s.serve(20);
        s.advance(10 * SECOND);
        s.handle(vec![]);
        if evicts {
            assert_eq!(evict_and_load(&mut s, &[entry(1, 0)]), Some(0));
        }
        s.accept(ONCE);
        s.advance(SECOND);
        s.end(Outcome::Error);
        let before = s.sent.len();
        (0..4).for_each(|_| _ = s.accept(ONCE));
        s.sent.len() - before
    };
    assert!(sent(true) <= sent(false) && sent(true) < 4, "{} for {}", sent(true), sent(false));
}

/// Where each endpoint is a route, each keeps its own requested wait. A wait that was requested while they
/// were one route applies to all.
#[test]
fn requested_waits_are_restored_to_their_routes() {
    let apart = [entry(1, 1), entry(2, 1)];
    let mut s = Sender::new(settings(), &apart);
    s.handle(vec![Event::RetryAfter { endpoint: endpoint(1), wait: 20 * SECOND }]);
    s.advance(10 * SECOND);
    assert_eq!(evict_and_load(&mut s, &apart), Some(1));
    (0..4).for_each(|_| _ = s.accept(SAFE));
    assert!(!s.sent.is_empty() && s.sent.iter().all(|out| out.endpoint == endpoint(2)));

    let one = [entry(1, 0), entry(2, 0)];
    let mut s = Sender::new(settings(), &one);
    s.handle(vec![Event::RetryAfter { endpoint: endpoint(1), wait: 20 * SECOND }]);
    s.advance(10 * SECOND);
    assert_eq!(evict_and_load(&mut s, &apart), Some(1));
    s.accept(SAFE);
    s.advance(10 * SECOND - 1);
    assert!(s.sent.is_empty());
    s.advance(SECOND);
    assert_eq!(s.sent.len(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Accept { class: usize, key: u64 },
    End { which: usize, outcome: usize, wait: Micros },
    Pass(Micros),
    Idle(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4usize, 0..3u64).prop_map(|(class, key)| Step::Accept { class, key }),
        9 => (0..64usize, 0..8usize, 0..40 * SECOND)
            .prop_map(|(which, outcome, wait)| Step::End { which, outcome, wait }),
        4 => (0..SECOND).prop_map(Step::Pass),
        2 => (10 * SECOND..30 * SECOND).prop_map(Step::Idle),
    ]
}

fn outcome(which: usize, wait: Micros) -> Outcome {
    match which {
        0 => Outcome::Delivered,
        1 | 2 => Outcome::Error,
        3 => Outcome::Full(Some(wait)),
        4 => Outcome::Full(None),
        5 => Outcome::TimedOut,
        6 => Outcome::ConnectFailed,
        _ => Outcome::Reset,
    }
}

/// All decisions of a sender so far.
fn decisions(s: &Sender) -> (&[Out], &[(MessageId, Micros)], &[MessageId]) {
    (&s.sent, &s.refused, &s.failed)
}

fn apply(s: &mut Sender, step: &Step) {
    match *step {
        Step::Accept { class, key } => _ = s.accept_keyed(class, Some(key)),
        Step::End { which, outcome: how, wait } if !s.out.is_empty() => {
            let out = s.out.remove(which % s.out.len());
            let event = s.ended(out, outcome(how, wait));
            s.handle(vec![event]);
        }
        Step::End { .. } => {}
        Step::Pass(span) | Step::Idle(span) => s.advance(span),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Two senders have the same seed and get the same events; one of them evicts the destination at each
    /// idle time. With kept routes the decisions are the same. Where no route was worth keeping, the next
    /// messages are sent at once, as many as by the sender without the eviction; from there on, estimates and
    /// the waiting times that depend on them may differ.
    #[test]
    fn an_eviction_changes_no_decision(steps in prop::collection::vec(step(), 1..120)) {
        let one = [entry(1, 0)];
        let mut keeping = Sender::new(settings(), &one);
        let mut evicting = Sender::new(settings(), &one);
        for step in &steps {
            apply(&mut keeping, step);
            apply(&mut evicting, step);
            prop_assert_eq!(decisions(&keeping), decisions(&evicting));
            if !matches!(step, Step::Idle(_)) {
                continue;
            }
            let Some(kept) = evict_and_load(&mut evicting, &one) else { continue };
            keeping.handle(vec![Event::Changes(one.to_vec())]);
            if kept == 0 {
                for s in [&mut keeping, &mut evicting] {
                    (0..3).for_each(|_| _ = s.accept(SAFE));
                }
                let to = |s: &Sender| s.sent.iter().map(|o| (o.message, o.endpoint)).collect::<Vec<_>>();
                prop_assert_eq!(to(&keeping), to(&evicting));
                break;
            }
        }
    }
}
