//! Measures the cost of the status index in the event loop: each submission, call and end with what is
//! written for it, and the slices of a query. `cargo run --release --example status_cost`

use std::time::Instant;

use myrtleyard::status::folder::Segments;
use myrtleyard::status::log::Log;
use myrtleyard::status::query::{LocalLogs, MAX_ENTRIES_PER_TURN, MAX_QUERY_TIME, Queries, Routes};
use myrtleyard::status::shards::key_of;
use myrtleyard::status::store::Store;
use myrtleyard::status::{Entry, Generation, State, States};

fn main() {
    let room = 8_000_000;
    let mut log = Log::new(0, Generation(1), Segments::max_log_bytes(room), 600_000_000, 0);
    let mut segments = Segments::new(room, 0, 1);
    segments.begin(&mut log, []);
    let (messages, mut longest, begun) = (200_000u64, 0, Instant::now());
    for n in 0..messages {
        let turn = Instant::now();
        let id = format!("{n:016x}-{n:015x}");
        log.put(Entry {
            id: id.clone(),
            class: "account-note".into(),
            tenant: "north-side".into(),
            destination: 7,
            key: Some(n as u32),
            taken_at: n,
            deadline: n + 24_000_000,
            changed_at: n,
            attempts: 0,
            states: States::default().with(State::Taken),
            owner: (0, 0),
        });
        segments.write(&mut log);
        let key = key_of("north-side", &id);
        log.change(&key, n, |entry| entry.states = entry.states.with(State::Calling));
        segments.write(&mut log);
        log.change(&key, n, |entry| entry.states = entry.states.with(State::Delivered));
        segments.write(&mut log);
        longest = longest.max(turn.elapsed().as_micros());
    }
    let each = begun.elapsed().as_nanos() as u64 / messages;
    println!(
        "{each} ns a message with its call and end, {longest} us the longest; {} held",
        log.table().len()
    );
    let (store, mut queries) = (Store::new(1 << 20, 1 << 40), Queries::new(0, 0));
    let here = LocalLogs { log: &log, store: &store, span: 60_000_000 };
    let Ok(query) = serde_json::from_str(r#"{"tenant": "nobody"}"#) else { return };
    let routes = Routes([(0, vec![0])].into_iter().collect());
    if queries.ask(0, query, routes, MAX_QUERY_TIME).is_err() {
        return;
    }
    let mut slices = Vec::new();
    while queries.busy() {
        let begun = Instant::now();
        queries.step(slices.len() as u64, here);
        slices.push(begun.elapsed().as_micros());
    }
    let longest = slices.iter().max();
    println!("{} slices of {MAX_ENTRIES_PER_TURN} entries, {longest:?} us the longest", slices.len());
}
