//! Replicated messages after restarts of real senders: what no sender has called is still called, and what
//! another sender may have called is not repeated past its window.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::world::*;

/// Classes, each with its effect, the endpoints that drop repeats of a key, and for how long they do,
/// milliseconds.
const CLASSES: [(&str, &str, &str, u64); 6] = [
    ("keyed", "by_key", "all", SHORT_WINDOW_MS),
    ("keyed-long", "by_key", "all", LONG_WINDOW_MS),
    ("keyed-zone", "by_key", "zone", SHORT_WINDOW_MS),
    ("keyed-endpoint", "by_key", "endpoint", LONG_WINDOW_MS),
    ("once", "once", "", 0),
    ("repeatable", "repeatable", "", 0),
];
const SHORT_WINDOW_MS: u64 = 6_000;
const LONG_WINDOW_MS: u64 = 60_000;
/// How long the messages may be delivered, milliseconds.
const DEADLINE_MS: u32 = 28_000;
/// A lease that no restart outlasts, milliseconds.
const LONG_LEASE_MS: u32 = 4_000;
/// A lease after which a sender that is gone is soon replaced, milliseconds.
const SHORT_LEASE_MS: u32 = 1_000;
/// Longer than a short lease and the promises after it.
const TAKEOVER_TIME: Duration = Duration::from_secs(3);
/// How long calls are waited for.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
const DESTINATION: u16 = 7;

/// Senders that back each other up, each with a platform of its own.
struct Tier {
    platforms: Vec<Platform>,
    nodes: Vec<Node>,
    peers: Vec<String>,
    endpoint: TestServer,
}

impl Tier {
    /// Starts a tier and waits until its first sender has backups. No endpoint is listed yet.
    fn start(size: u8, lease_ms: u32) -> Self {
        Self::start_with(size, lease_ms, |_| {})
    }

    /// The same; `change` alters the senders' configuration.
    fn start_with(size: u8, lease_ms: u32, change: impl Fn(&mut Value)) -> Self {
        let peers = free_addresses(size);
        let platforms: Vec<Platform> = (0..size).map(|_| Platform::new()).collect();
        let start = |(own, platform): (&String, &Platform)| {
            Node::start(platform, &[], |config| {
                config["mgmt"] = json!("127.0.0.1:0");
                config["peers"] = json!(peers);
                config["peer_listen"] = json!(own);
                config["takeover"] = json!({"lease_ms": lease_ms});
                config["settings"]["balancers"] = json!(size);
                config["settings"]["classes"] = classes();
                change(config);
            })
        };
        let nodes = peers.iter().zip(&platforms).map(start).collect();
        let tier = Self { platforms, nodes, peers, endpoint: TestServer::new() };
        wait_until(|| tier.report(0)["covers"].as_array().is_some_and(|covers| covers.len() == 2));
        tier
    }

    /// Hands one message of each class to the first sender; its id is the class's name.
    fn submit_all(&self) {
        for (class, ..) in CLASSES {
            self.submit(class);
        }
        assert_eq!(self.report(0)["in_hand"]["covered"], json!(CLASSES.len()));
    }

    fn submit(&self, class: &str) {
        self.submit_within(class, DEADLINE_MS);
    }

    fn submit_within(&self, class: &str, deadline_ms: u32) {
        let text = String::from_utf8(submission(class, class, DESTINATION, deadline_ms)).unwrap();
        let key = if class.starts_with("keyed") { "Idempotency-Key: key\r\n" } else { "" };
        let text = text.replace("Req-Kind", &format!("{key}Req-Kind"));
        assert_eq!(self.nodes[0].request(text.as_bytes()).status(), 202);
    }

    /// A sender's report on takeover.
    fn report(&self, sender: usize) -> Value {
        self.nodes[sender].call("GET", "/control/takeover").json()
    }

    /// Lists the endpoint at a sender.
    fn list_at(&self, sender: usize) {
        self.platforms[sender].publish(&[listing("e1", DESTINATION, "plain", self.endpoint.address)]);
    }

    fn list_everywhere(&self) {
        (0..self.platforms.len()).for_each(|sender| self.list_at(sender));
    }

    /// Cuts a sender off from the others: from its next process on, or at once with `reload`.
    fn cut_off(&self, sender: usize, reload: bool) {
        let peers = free_addresses(self.peers.len() as u8);
        let change = |config: &mut Value| {
            config["peers"] = json!(peers);
            config["peers"][sender] = json!(self.peers[sender]);
        };
        match reload {
            true => self.nodes[sender].reload_and_wait(change),
            false => self.nodes[sender].rewrite_config(change),
        }
    }

    /// Connects a sender to the others again.
    fn reconnect(&self, sender: usize) {
        self.nodes[sender].reload_and_wait(|config| config["peers"] = json!(self.peers));
    }

    /// Answers all calls within this time with 200. Returns the number of calls for each message.
    fn serve(&self, time: Duration) -> BTreeMap<String, usize> {
        let mut calls = BTreeMap::new();
        self.serve_into(&mut calls, Instant::now() + time, |_| false);
        calls
    }

    /// Answers calls with 200 until there was one for each of these messages, and for a while after that.
    fn serve_until_called(&self, ids: &[&str]) -> BTreeMap<String, usize> {
        let mut calls = BTreeMap::new();
        let all = |calls: &BTreeMap<String, usize>| ids.iter().all(|id| calls.contains_key(*id));
        self.serve_into(&mut calls, Instant::now() + CALL_TIMEOUT, all);
        self.serve_into(&mut calls, Instant::now() + TAKEOVER_TIME, |_| false);
        calls
    }

    fn serve_into(
        &self,
        calls: &mut BTreeMap<String, usize>,
        until: Instant,
        is_enough: impl Fn(&BTreeMap<String, usize>) -> bool,
    ) {
        while !is_enough(calls) {
            let Some(call) = self.endpoint.try_next(until.saturating_duration_since(Instant::now())) else {
                return;
            };
            *calls.entry(call.http.headers["req-id"].clone()).or_default() += 1;
            call.reply(status(200));
        }
    }

    /// Notices that have come to any sender's platform.
    fn notices(&self) -> Vec<String> {
        let notices = self.platforms.iter().flat_map(|platform| platform.notices.try_iter());
        notices.map(|notice| String::from_utf8(notice.http.body).unwrap()).collect()
    }

    /// The sender, other than these, that has taken over a message.
    fn adopter(&self, except: &[usize]) -> usize {
        let others = || (0..self.nodes.len()).filter(|sender| !except.contains(sender));
        let adopted = |sender: &usize| self.report(*sender)["adopted"].as_u64() > Some(0);
        wait_until(|| others().any(|sender| adopted(&sender)));
        others().find(adopted).unwrap()
    }
}

fn classes() -> Value {
    let class = |(name, effect, group, window_ms): &(&str, &str, &str, u64)| {
        json!({"name": name, "effect": effect, "group": group, "dedup_window_us": window_ms * 1000,
               "on_time_us": 4_000_000, "hard_limit_us": 28_000_000, "importance": 1.0})
    };
    CLASSES.iter().map(class).collect()
}

/// One call for each of these messages.
fn once_each(ids: &[&str]) -> BTreeMap<String, usize> {
    ids.iter().map(|id| ((*id).to_owned(), 1)).collect()
}

/// The names of all classes, which are the ids of their messages.
fn all_ids() -> [&'static str; 6] {
    CLASSES.map(|class| class.0)
}

fn sleep_past_the_short_window() {
    thread::sleep(Duration::from_millis(SHORT_WINDOW_MS));
}

/// Guards against a restart that ends untried messages with no call, because their backups might have called them long ago.
#[test]
fn untried_messages_are_called_after_a_restart_past_their_window() {
    restart_with_untried_messages(Tier::start(3, LONG_LEASE_MS));
}

/// Guards the same where messages of earlier processes are passed to the module bit by bit.
#[test]
fn untried_messages_are_called_after_a_paced_restart_past_their_window() {
    restart_with_untried_messages(Tier::start_with(3, LONG_LEASE_MS, |config| {
        config["limits"]["disk_mb"] = json!(20);
        config["membership"] = json!({"period_ms": 100});
        config["start"] = json!({});
    }));
}

fn restart_with_untried_messages(mut tier: Tier) {
    tier.submit_all();
    sleep_past_the_short_window();
    tier.nodes[0].kill();
    tier.nodes[0].restart();
    assert_eq!(tier.serve(Duration::from_secs(1)), BTreeMap::new(), "no endpoint is listed");
    assert_eq!(tier.notices(), Vec::<String>::new());
    tier.list_everywhere();
    assert_eq!(tier.serve_until_called(&all_ids()), once_each(&all_ids()));
    assert_eq!(tier.notices(), Vec::<String>::new());
}

/// Guards the same where the backups have restarted, too, and know nothing of the messages but their own promises.
#[test]
fn untried_messages_are_called_after_a_restart_of_all_senders() {
    let mut tier = Tier::start(3, LONG_LEASE_MS);
    tier.submit_all();
    sleep_past_the_short_window();
    tier.nodes.iter_mut().for_each(Node::kill);
    tier.nodes.iter_mut().for_each(Node::restart);
    tier.list_everywhere();
    assert_eq!(tier.serve_until_called(&all_ids()), once_each(&all_ids()));
    assert_eq!(tier.notices(), Vec::<String>::new());
}

/// Guards untried messages while no backup answers: they are neither called past their window nor ended, and called once one answers.
#[test]
fn untried_messages_wait_for_the_word_of_a_backup_that_does_not_answer() {
    let mut tier = Tier::start(3, LONG_LEASE_MS);
    tier.submit_all();
    sleep_past_the_short_window();
    tier.nodes[1..].iter().for_each(|backup| backup.signal("STOP"));
    tier.nodes[0].kill();
    tier.nodes[0].restart();
    tier.list_everywhere();
    let early = ["keyed-long", "repeatable"];
    assert_eq!(tier.serve(TAKEOVER_TIME), once_each(&early), "a repeat of the others might do harm");
    assert_eq!(tier.notices(), Vec::<String>::new());
    tier.nodes[1..].iter().for_each(|backup| backup.signal("CONT"));
    let late = ["keyed", "keyed-zone", "keyed-endpoint", "once"];
    assert_eq!(tier.serve_until_called(&late), once_each(&late));
    assert_eq!(tier.notices(), Vec::<String>::new());
}

/// Guards the same over several restarts, between which messages move to other replica groups.
#[test]
fn untried_messages_are_called_after_restarts_in_series() {
    let mut tier = Tier::start(3, LONG_LEASE_MS);
    tier.submit_all();
    for (planned, covered_anew) in
        [(false, false), (true, true), (false, true), (false, false), (true, false)]
    {
        if planned {
            tier.nodes[0].terminate();
            assert_eq!(tier.nodes[0].exit_code(), Some(0));
        }
        tier.nodes[0].kill();
        tier.nodes[0].restart();
        wait_until(|| !covered_anew || tier.report(0)["covered_anew"] == CLASSES.len());
    }
    tier.list_everywhere();
    assert_eq!(tier.serve_until_called(&all_ids()), once_each(&all_ids()));
    assert_eq!(tier.notices(), Vec::<String>::new());
}

/// Guards against a second effect: the messages were taken over and called before their first owner was back, which heard of it only later.
#[test]
fn messages_that_were_taken_over_are_not_called_past_their_window_by_an_owner_that_is_back() {
    let mut tier = Tier::start(3, SHORT_LEASE_MS);
    tier.submit_all();
    tier.nodes[0].kill();
    tier.list_at(1);
    tier.list_at(2);
    let taken_over = ["keyed", "keyed-long", "once", "repeatable"];
    assert_eq!(tier.serve_until_called(&taken_over), once_each(&taken_over));
    tier.cut_off(0, false);
    sleep_past_the_short_window();
    tier.nodes[0].restart();
    tier.list_at(0);
    let repeated = tier.serve(TAKEOVER_TIME);
    assert!(repeated.keys().all(|id| ["keyed-long", "repeatable"].contains(&id.as_str())), "{repeated:?}");
    tier.reconnect(0);
    wait_until(|| tier.report(0)["in_hand"]["all"] == 0);
    assert_eq!(tier.serve(Duration::from_secs(1)), BTreeMap::new());
}

/// Guards against a second effect: a call that no backup knew of was forgotten when the message was taken over a second time.
#[test]
fn a_call_that_no_backup_knew_of_counts_after_a_second_takeover() {
    let mut tier = Tier::start(4, SHORT_LEASE_MS);
    tier.submit("keyed");
    wait_until(|| tier.report(0)["covered"] == 1);
    tier.cut_off(0, true);
    tier.list_at(0);
    let unanswered = tier.endpoint.next();
    let called = Instant::now();
    tier.nodes[0].kill();
    let first = tier.adopter(&[0]);
    wait_until(|| tier.report(first)["covered_anew"] == 1);
    thread::sleep(Duration::from_millis(500));
    tier.nodes[first].kill();
    let second = tier.adopter(&[0, first]);
    let window = Duration::from_millis(SHORT_WINDOW_MS);
    thread::sleep((window + Duration::from_millis(200)).saturating_sub(called.elapsed()));
    tier.list_at(second);
    assert_eq!(tier.serve(TAKEOVER_TIME), BTreeMap::new(), "the key is no longer remembered");
    drop(unanswered);
}

/// Guards against a second effect: a restart without the section `takeover` called what its backups took over.
#[test]
fn a_restart_without_takeover_calls_nothing_that_its_backups_may_call() {
    let mut tier = Tier::start(3, SHORT_LEASE_MS);
    tier.submit_all();
    tier.nodes[0].kill();
    tier.nodes[0].rewrite_config(|config| drop(config.as_object_mut().unwrap().remove("takeover")));
    tier.nodes[0].restart();
    tier.list_everywhere();
    let calls = tier.serve_until_called(&["once"]);
    assert_eq!(calls.get("once"), Some(&1), "{calls:?}");
    assert_eq!(tier.notices(), Vec::<String>::new());
}

/// Guards against a second effect: a restart without the section `takeover` told clients that a message had surely not run,
/// so that they handed it in again, while a backup may have called for it.
#[test]
fn a_restart_without_takeover_does_not_claim_that_a_message_never_ran() {
    let mut tier = Tier::start(3, SHORT_LEASE_MS);
    tier.submit_within("once", 3_000);
    tier.nodes[0].kill();
    tier.nodes[0].rewrite_config(|config| drop(config.as_object_mut().unwrap().remove("takeover")));
    tier.nodes[0].restart();
    assert_eq!(tier.platforms[0].notice(204), [json!({"id": "once", "status": "undeliverable"})]);
}

/// Guards against an untried message that uses up its tries at the end of its window: its calls were granted, and then not written,
/// as if another sender might have called long ago.
#[test]
fn an_untried_message_is_called_at_the_end_of_its_window() {
    let tier = Tier::start(3, LONG_LEASE_MS);
    tier.submit("keyed");
    // In the last quarter second no repeat may be written.
    thread::sleep(Duration::from_millis(SHORT_WINDOW_MS - 180));
    tier.list_everywhere();
    assert_eq!(tier.serve_until_called(&["keyed"]), once_each(&["keyed"]));
    assert_eq!(tier.notices(), Vec::<String>::new());
}
