//! A class gets a stricter effect while messages of it are in hand, and then the datagrams of their sender are
//! cut for under 6 s.

use review_world::*;

const MESSAGES: usize = 3;
/// For so long an endpoint drops a repeat of a key, milliseconds.
const WINDOW: u64 = 4_000;

fn main() {
    let world = World::new(endpoints(&MF_UTILITY_HQ, MESSAGES as u32, 0), MESSAGES, Answer::Wait(1_500));
    let (work, root) = folders();
    world.start(3, 10);
    let class =
        |name, effect, deadline_ms| Class { name, effect, window_ms: WINDOW, aim_ms: 3_000, deadline_ms };
    let classes = |notice| {
        settings(&MF_UTILITY_HQ, &[class("notice", notice, 28_000), class("disbursement", "once", 16_000)], 3)
    };
    let mut senders = Senders::new(world.clone(), 3, work, root);
    for n in 0..3 {
        senders.configure(n, &classes("by_key"), TAKEOVER);
    }
    for n in 0..3 {
        senders.start(n);
    }
    pause(3_000);
    let begun = world.record.now();
    let until = |at: u64| pause((begun + at).saturating_sub(world.record.now()));
    let answer = |answer: Answer| world.answers.lock().unwrap().fill(answer);
    // Each destination tells the sender to wait for 1.5 s.
    for n in 0..MESSAGES {
        let (id, key) = (format!("m{n}"), Some(format!("key-{n}")));
        if world.hand_in(0, &HandIn { id, class: "notice", key, to: n as u32, deadline: 28_000, body: 200 })
            != 202
        {
            senders.fail("a message was not taken on");
        }
    }
    until(200);
    // RELOAD=0 leaves the new configuration out, and only the cut remains: for looking at the cause.
    if trouble() && std::env::var("RELOAD").map_or(true, |v| v != "0") {
        for n in 0..3 {
            senders.configure(n, &classes("once"), TAKEOVER);
            senders.signal(n, SIGHUP, "SIGHUP");
        }
    }
    until(900);
    if trouble() {
        world.cut(0, true);
    }
    until(1_300);
    answer(Answer::Work(100));
    // The sender has called by now; then the destinations are shut until they open again, and say for how long.
    until(1_850);
    answer(Answer::ShutUntil(begun + 6_300));
    until(6_300);
    answer(Answer::Work(100));
    until(6_800);
    if trouble() {
        world.cut(0, false);
    }
    until(12_000);
    for n in 0..3 {
        world.record.note(format!("counters of sender {n}: {}", senders.report(n, "/control/counters")));
        world.record.note(format!("takeover at sender {n}: {}", senders.report(n, "/control/takeover")));
    }
    if !senders.crashed().is_empty() {
        senders.fail("a sender has ended");
    }
    let runs = world.runs.lock().unwrap().clone();
    let mut breaks = Vec::new();
    for id in (0..MESSAGES).map(|n| format!("m{n}")) {
        let mine: Vec<&Run> = runs.iter().filter(|run| run.id == id).collect();
        let Some(first) = mine.iter().find(|run| run.done.is_some()) else { continue };
        for later in mine.iter().filter(|run| run.begun > first.begun + WINDOW + 50) {
            breaks.push(format!(
                "{id} ran at {} ms for sender {}, answer {}; sender {} called again at {} ms, {} ms after the window, and it ran again: {}",
                first.begun,
                first.sender,
                first.answer,
                later.sender,
                later.begun,
                later.begun - first.begun - WINDOW,
                later.done.is_some()
            ));
        }
    }
    senders.verdict(&breaks);
}
