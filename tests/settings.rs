//! Changed settings at a sender with messages in hand: no old setting stays in force under the new ones, and
//! the state of one tenant, zone or kind is not applied to another.

mod common;

use common::*;
use myrtleyard::interface::*;

fn tenant(name: &str, quota: f64) -> Tenant {
    Tenant { name: name.to_owned(), quota }
}

fn shared(tenants: Vec<Tenant>) -> Settings {
    Settings { tenants, slots: 1, ..settings() }
}

impl Sender {
    fn adopt(&mut self, settings: Settings) {
        self.handle(vec![Event::Settings(Box::new(settings))]);
    }

    fn accept_of(&mut self, tenant: usize) -> MessageId {
        let message = Message { tenant, ..self.message(SAFE, None, 20 * SECOND) };
        let id = message.id;
        self.handle(vec![Event::Accepted(message)]);
        id
    }
}

/// Two tenants swap positions while messages are held: each message must still count for its own tenant's
/// rate and share.
#[test]
fn traffic_stays_with_its_tenant_when_tenants_swap_positions() {
    let mut sender = Sender::new(shared(vec![tenant("loud", 0.01), tenant("quiet", 100.0)]), &[]);
    let (loud, quiet) = ([sender.accept_of(0), sender.accept_of(0)], sender.accept_of(1));
    sender.adopt(shared(vec![tenant("quiet", 100.0), tenant("loud", 0.01)]));
    sender.handle(vec![Event::List(vec![entry(1, 0)])]);
    for _ in 0..3 {
        sender.end(Outcome::Delivered);
    }
    let order: Vec<_> = sender.sent.iter().map(|out| out.message).collect();
    assert_eq!(order, [quiet, loud[0], loud[1]]);
}

/// A removed tenant's position goes to a new tenant, which has sent nothing: the messages still held must not
/// count for the new one.
#[test]
fn removed_tenants_messages_do_not_count_for_its_successor() {
    let mut sender = Sender::new(shared(vec![tenant("loud", 0.01), tenant("quiet", 100.0)]), &[]);
    for _ in 0..4 {
        sender.accept_of(0);
    }
    assert!(sender.policy.destination_summary(DEST, 0).tenant_rate > 0.5);
    let quiet = sender.accept_of(1);
    sender.adopt(shared(vec![tenant("new", 0.01), tenant("quiet", 100.0)]));
    assert_eq!(sender.policy.destination_summary(DEST, 0).tenant_rate, 0.0);
    assert!(sender.policy.destination_summary(DEST, 1).tenant_rate > 0.1);
    let new = sender.accept_of(0);
    sender.handle(vec![Event::List(vec![entry(1, 0)])]);
    while !sender.out.is_empty() {
        sender.end(Outcome::Delivered);
    }
    let order: Vec<_> = sender.sent.iter().map(|out| out.message).collect();
    assert_eq!(order.len(), 6);
    assert_eq!(order.last(), Some(&new), "only the new tenant exceeds its share, which is nearly zero");
    assert!(order[..5].contains(&quiet));
}

/// A class that accepts no more messages must not influence a breaker's timing.
#[test]
fn retired_class_does_not_change_breaker_timing() {
    let trial = |settings: Settings| {
        let mut sender = Sender::new(settings.clone(), &[entry(1, 0)]);
        // The last class is a retired one, without messages in hand.
        sender.adopt(settings);
        for _ in 0..5 {
            sender.accept(SAFE);
        }
        for _ in 0..5 {
            sender.end(Outcome::Error);
        }
        let begun = sender.now;
        let calls = sender.sent.len();
        while sender.sent.len() == calls && sender.now < begun + 20 * SECOND {
            sender.advance(SECOND / 100);
        }
        sender.now - begun
    };
    let plain = trial(settings());
    let mut with = settings();
    with.classes.push(Class { aim: SECOND / 10, ..with.classes[SAFE].clone() });
    with.retired.insert(with.classes.len() - 1);
    assert!(plain > SECOND, "{plain}");
    assert_eq!(trial(with), plain);
}

/// A listed endpoint whose kind and zone change is used with the new ones from the next call on.
#[test]
fn listed_endpoint_adopts_its_changed_kind_and_zone() {
    let mut sender = Sender::new(settings(), &[entry(1, 0)]);
    let changed = Settings { tolls: vec![0.0, 0.0, 9.0], ..settings() };
    let listed = |n, kind, zone| Entry { zone, ..entry(n, kind) };
    sender.adopt(changed);
    sender.handle(vec![Event::Changes(vec![listed(1, 1, 2), listed(2, 1, 0)])]);
    assert_eq!(sender.policy.route_of(endpoint(1)), Some((DEST, Some(endpoint(1)))));
    sender.accept(SAFE);
    assert_eq!(sender.sent[0].endpoint, endpoint(2), "the first endpoint's zone has a toll now");
}

/// A requested wait (Retry-After) must outlast a change that splits or joins routes.
#[test]
fn requested_wait_survives_a_change_of_route() {
    for (before, after) in [(0, 1), (1, 0)] {
        let mut sender = Sender::new(settings(), &[entry(1, before)]);
        sender.handle(vec![Event::RetryAfter { endpoint: endpoint(1), wait: 3 * SECOND }]);
        sender.adopt(settings());
        sender.handle(vec![Event::Changes(vec![entry(1, after)])]);
        sender.accept(SAFE);
        sender.advance(3 * SECOND - 1);
        assert_eq!(sender.sent.len(), 0, "{before} to {after}");
        sender.advance(SECOND);
        assert_eq!(sender.sent.len(), 1, "{before} to {after}");
    }
}

/// Two endpoints in zones that the settings do not name must not count as one zone: a key known in the one
/// may be new in the other.
#[test]
fn unnamed_zones_are_not_treated_as_one() {
    let mut own = settings();
    own.classes[KEYED].effect = Effect::Keyed { group: DedupScope::Zone, window: 6 * SECOND };
    let unnamed = |n| Entry { zone: u16::MAX, ..entry(n, 0) };
    let mut sender = Sender::new(own, &[unnamed(1)]);
    sender.accept(KEYED);
    sender.end(Outcome::Reset);
    sender.handle(vec![Event::List(vec![unnamed(2)])]);
    sender.advance(10 * SECOND);
    assert_eq!(sender.sent.iter().filter(|out| out.endpoint == endpoint(2)).count(), 0);
}

/// A limit derived from a weight or a load report must be dropped when the settings interpret these
/// differently.
#[test]
fn limit_is_dropped_when_weights_change_meaning() {
    let nominal = Settings { weights: Weights::Nominal, ..settings() };
    let mut sender = Sender::new(nominal, &[Entry { weight: 30.0, ..entry(1, 0) }]);
    assert_eq!(sender.policy.destination_summary(DEST, 0).routes[0].limit, 30.0);
    sender.adopt(settings());
    sender.handle(vec![Event::Changes(vec![Entry { weight: 30.0, ..entry(1, 0) }])]);
    assert_eq!(sender.policy.destination_summary(DEST, 0).routes[0].limit, 0.0);
}

/// At a handover, an older version's settings lack the fields that were added since.
#[test]
fn settings_of_an_older_version_are_read() {
    let mut older = serde_json::to_value(shared(vec![tenant("a", 1.0)])).unwrap();
    let settings = older.as_object_mut().unwrap();
    assert!(settings.remove("retired").is_some());
    assert!(settings["tenants"][0].as_object_mut().unwrap().remove("name").is_some());
    let read: Settings = serde_json::from_value(older).unwrap();
    assert_eq!(read, shared(vec![tenant("", 1.0)]));
}
