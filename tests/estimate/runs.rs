//! Tests of planned runs: how the state of destinations and tenants changes the prediction.

use myrtleyard::estimate::sending::{Fits, Planned, Run, RunError, RunTimes, Runs, plan};
use myrtleyard::interface::{
    Class, Decay, DestinationId, DestinationSummary, Effect, RouteSummary, Rules, Settings, Tenant, Weights,
};

const SECOND: u64 = 1_000_000;

fn settings() -> Settings {
    let class = Class {
        effect: Effect::Repeatable,
        aim: 4 * SECOND,
        deadline: 24 * SECOND,
        worth: 1.0,
        late_worth: 0.2,
        in_order: false,
    };
    let rules = Rules {
        answer_slack: 20_000,
        ask_every: None,
        cold_share: 0.2,
        warm_within: 14 * SECOND,
        fall_multiple: 2.0,
        overload_for: 3 * SECOND,
        drain_grace: 2 * SECOND,
        order_pause: SECOND,
    };
    Settings {
        classes: vec![class],
        retired: Default::default(),
        tenants: vec![Tenant { name: String::new(), quota: 40.0 }],
        kinds: vec![],
        tolls: vec![],
        decay: Decay::Linear,
        slots: 32,
        max_open: 100,
        try_limit: 4,
        second_copies: false,
        cancelling: false,
        probing: false,
        peers: true,
        probe_price: 0.0,
        refused_price: 0.0,
        connect_timeout: SECOND,
        idle_close: 10 * SECOND,
        max_retry_after: SECOND,
        list_on_request: false,
        weights: Weights::None,
        over_share_worth: 0.1,
        report: (None, None),
        senders: 4,
        period: 5_000,
        rules,
    }
}

fn route() -> RouteSummary {
    RouteSummary::new([0.0, f64::INFINITY, 10.0], 0, None, Some((100_000.0, 20_000.0)))
}

fn well(route: RouteSummary) -> DestinationSummary {
    DestinationSummary { endpoints: 2, max_batch: 8, routes: vec![route], ..DestinationSummary::default() }
}

fn run(messages: u64) -> Run {
    Run {
        class: "note".into(),
        tenant: "a".into(),
        destinations: vec![1, 2],
        messages,
        body_bytes: 300,
        over_ms: 0,
    }
}

fn planned(run: &Run, outlook: impl Fn(DestinationId) -> DestinationSummary) -> Planned {
    plan(run, (Some(0), Some(0)), &settings(), &Runs::default(), 100 * SECOND, outlook).unwrap().0
}

#[test]
fn run_is_batched_and_bounded_by_advertised_limits_with_wire_bytes_counted() {
    let said = planned(&run(800), |_| well(route()));
    assert_eq!((said.endpoints, said.attempts.least, said.attempts.most), (4, 800, 3_200));
    assert!(said.calls.least == 100 && said.calls.holds(150) && said.calls.most >= 800, "{:?}", said.calls);
    assert!(said.wire_bytes.least >= 800 * 300 && said.wire_bytes.expected > said.wire_bytes.least);
    let limited = RouteSummary { limit: 10.0, ..route() };
    let slow = planned(&run(800), |_| well(limited));
    assert!(slow.time.least > said.time.least && slow.time.expected > 10 * SECOND, "{:?}", slow.time);
    assert!(said.in_time || said.time.most > 24 * SECOND);
    assert!(!slow.in_time);
    let paced = planned(&run(800), |_| well(RouteSummary { pace: 2.0, ..route() }));
    assert!(paced.time.expected > 30 * SECOND, "{:?}", paced.time);
    assert!(said.connections.most <= 32 && said.connections.least >= 1);
}

#[test]
fn run_to_blocked_destination_names_it_and_takes_at_least_its_blocked_time() {
    let down = RouteSummary { blocked_until: 103 * SECOND, cold_share: Some(0.2), ..route() };
    let up = planned(&run(100), |_| well(route()));
    let said = planned(&run(100), |to| well(if to.0 == 2 { down } else { route() }));
    assert_eq!(said.shut.into_iter().collect::<Vec<_>>(), [(2, 3 * SECOND)]);
    assert!(said.time.least >= 3 * SECOND && said.time.most >= up.time.most + 9 * SECOND, "{:?}", said.time);
}

#[test]
fn destination_failing_during_runs_widens_the_next_prediction() {
    let mut runs = Runs::default();
    let at = |runs: &mut Runs, times: f64| {
        let (said, raw) =
            plan(&run(400), (Some(0), Some(0)), &settings(), runs, 0, |_| well(route())).unwrap();
        let took = raw.map(|raw| (raw * times) as u64);
        runs.learn("note", raw, &said, RunTimes { figures: took });
        said
    };
    let mut rng = fastrand::Rng::with_seed(3);
    (0..150).for_each(|_| drop(at(&mut runs, 0.8 + 0.4 * rng.f64())));
    let calm = at(&mut runs, 1.0);
    assert!(calm.doubts.is_empty(), "{:?}", calm.doubts);
    (0..20).for_each(|_| drop(at(&mut runs, 12.0)));
    let said = at(&mut runs, 12.0);
    assert!(!said.doubts.is_empty() && said.time.most > calm.time.most * 3, "{said:?}");
}

#[test]
fn run_fits_into_its_tenants_share_now_later_or_only_more_slowly() {
    // A quota of 40 a second; one of four senders has ten of it.
    let idle = |_| well(route());
    let busy = |_| DestinationSummary { tenant_rate: 30.0, ..well(route()) };
    assert_eq!(planned(&run(30), idle).fits, Fits::Now);
    let Fits::After { after } = planned(&run(20), busy).fits else { panic!() };
    // A rate of 30 a second decays to the remaining five in ln 6 aims.
    assert!(after.abs_diff(7_167_038) < 1_000, "{after}");
    assert_eq!(planned(&run(600), idle).fits, Fits::Over { over_ms: 60_000 });
    assert_eq!(planned(&Run { over_ms: 60_000, ..run(600) }, idle).fits, Fits::Now);
    assert_eq!(planned(&Run { tenant: String::new(), ..run(9_000) }, busy).fits, Fits::Now);
}

#[test]
fn invalid_run_returns_the_matching_error() {
    let ask = |run: &Run, places| {
        plan(run, places, &settings(), &Runs::default(), 0, |_| DestinationSummary::default())
    };
    let both = (Some(0), Some(0));
    assert_eq!(ask(&run(1), both).unwrap_err(), RunError::Nowhere(1));
    assert_eq!(ask(&run(1), (None, Some(0))).unwrap_err(), RunError::Class("note".into()));
    assert_eq!(ask(&run(1), (Some(0), None)).unwrap_err(), RunError::Tenant("a".into()));
    let none = Run { destinations: vec![], ..run(1) };
    assert_eq!(ask(&none, both).unwrap_err(), RunError::Destinations(0));
    let most = Run { messages: u64::MAX, body_bytes: u64::MAX, over_ms: u64::MAX, ..run(1) };
    assert_eq!(planned(&most, |_| well(route())).attempts.most, u64::MAX);
}
