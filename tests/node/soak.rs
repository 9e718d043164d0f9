//! A short seeded soak of one sender: random clients, answers, kills, reloads, failing writes and clock steps. Whatever happens, what
//! was accepted ends, and what must not be repeated runs once at most.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::faults::Faults;
use super::world::*;

/// How long one seed is played.
const SOAK: Duration = Duration::from_secs(12);
/// How long a message may be delivered, milliseconds.
const DEADLINE_MS: u32 = 4000;
/// Time after the last deadline in which everything has ended.
const SETTLE: Duration = Duration::from_secs(6);
const ENOSPC: i32 = 28;

/// What the endpoint and the platform saw.
#[derive(Default)]
struct Seen {
    /// Number of calls.
    calls: usize,
    /// Calls that may have run, by id.
    ran: BTreeMap<String, usize>,
    delivered: BTreeSet<String>,
    noticed: BTreeSet<String>,
}

/// Answers calls at random for as long as the soak runs.
fn serve_calls(endpoint: &TestServer, seen: &Mutex<Seen>, stop: &AtomicBool, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !stop.load(Ordering::Relaxed) {
        let Some(call) = endpoint.try_next(Duration::from_millis(50)) else { continue };
        let id = call.http.headers["req-id"].clone();
        let choice = random.u32(0..10);
        let mut seen = seen.lock().unwrap();
        seen.calls += 1;
        if !(6..8).contains(&choice) {
            *seen.ran.entry(id.clone()).or_default() += 1;
        }
        let wait = vec![("retry-after", "0.1".to_owned())];
        call.reply(match choice {
            0..6 => {
                seen.delivered.insert(id);
                status(200)
            }
            6 => status(503),
            7 => Reply::Answer(429, wait, String::new()),
            8 => status(500),
            _ => Reply::Close,
        });
    }
}

/// Acknowledges notices, some of them only when they come again.
fn acknowledge_notices(platform: &Platform, seen: &Mutex<Seen>, stop: &AtomicBool, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !stop.load(Ordering::Relaxed) {
        let Ok(request) = platform.notices.recv_timeout(Duration::from_millis(50)) else { continue };
        let code = if random.u32(0..4) == 0 { 500 } else { 204 };
        if code == 204 {
            let lines = String::from_utf8(request.http.body.clone()).unwrap();
            let ids = lines.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
            seen.lock().unwrap().noticed.extend(ids.map(|notice| notice["id"].as_str().unwrap().to_owned()));
        }
        request.reply(status(code));
    }
}

/// Plays one seed and returns what was accepted and what was seen.
fn play(seed: u64) -> (BTreeSet<String>, Seen) {
    let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
    let seen = Arc::new(Mutex::new(Seen::default()));
    let stop = AtomicBool::new(false);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut accepted = BTreeSet::new();
    let mut node = faults.start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let node = thread::scope(|scope| {
        let (watched, stopped) = (&seen, &stop);
        scope.spawn(move || serve_calls(&endpoint, watched, stopped, seed + 1));
        scope.spawn(move || acknowledge_notices(&platform, watched, stopped, seed + 2));
        let begun = Instant::now();
        let mut number = 0;
        while begun.elapsed() < SOAK {
            number += 1;
            let id = format!("m{number}");
            let text = submission(&id, "order", if random.u32(0..8) == 0 { 9 } else { 7 }, DEADLINE_MS);
            match random.u32(0..60) {
                0 => node = node.kill_and_restart(),
                1 => node.reload(|_| {}),
                2 => faults.set("write", ENOSPC),
                3 => faults.set("step", [-3600, 0, 3600][random.usize(0..3)]),
                4..10 => Client::new(&node).send_and_close(&text),
                10..16 if number > 20 => {
                    let old = format!("m{}", number - random.u32(1..20));
                    node.submit(&old, "order", 7, DEADLINE_MS);
                }
                16..24 => faults.clear("write"),
                _ => {
                    if node.request(&text).status() == 202 {
                        accepted.insert(id);
                    }
                }
            }
            thread::sleep(Duration::from_millis(random.u64(0..30)));
        }
        faults.clear("write");
        thread::sleep(Duration::from_millis(DEADLINE_MS.into()) + SETTLE);
        stop.store(true, Ordering::Relaxed);
        node
    });
    let counters = node.call("GET", "/control/counters").json();
    assert_eq!(counters["current"], json!(0), "seed {seed}: {counters}");
    drop(node);
    (accepted, Arc::into_inner(seen).unwrap().into_inner().unwrap())
}

/// The first and the last seed: three in CI, others by `SOAK_SEEDS`, for example `SOAK_SEEDS=1..50`.
fn seeds() -> (u64, u64) {
    let Ok(range) = std::env::var("SOAK_SEEDS") else { return (1, 3) };
    let (first, last) = range.split_once("..").expect("SOAK_SEEDS=FIRST..LAST");
    (first.parse().unwrap(), last.parse().unwrap())
}

/// Guards against messages that are lost or run twice under faults in combination.
#[test]
fn what_was_accepted_ends_and_runs_once_under_random_faults() {
    let (first, last) = seeds();
    for seed in first..=last {
        let (accepted, seen) = play(seed);
        let twice: Vec<_> = seen.ran.iter().filter(|(_, runs)| **runs > 1).collect();
        assert!(twice.is_empty(), "seed {seed}: may have run twice: {twice:?}");
        let ended = |id: &&String| seen.delivered.contains(*id) || seen.noticed.contains(*id);
        let lost: Vec<_> = accepted.iter().filter(|id| !ended(id)).collect();
        assert!(lost.is_empty(), "seed {seed}: no end: {lost:?}");
        let (accepted, delivered) = (accepted.len(), seen.delivered.len());
        println!("seed {seed}: {accepted} accepted, {} calls, {delivered} delivered", seen.calls);
        assert!(accepted > 50 && seen.calls > 30 && delivered > 0, "seed {seed} shows too little");
    }
}
