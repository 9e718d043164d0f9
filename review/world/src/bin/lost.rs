//! A sender is restarted with messages in hand, and its datagrams are cut for 6 s while it has them covered
//! anew.

use review_world::*;
use std::sync::Arc;

const MESSAGES: usize = 80;
const DEADLINE: u64 = 16_000;
/// From when the restarted sender takes clients until its datagrams are cut.
const CUT_AFTER: u64 = 700;

fn main() {
    let world = World::new(endpoints(&MF_UTILITY_HQ, 4, 0), 4, Answer::Wait(1_500));
    let (work, root) = folders();
    world.start(3, 20);
    let classes = [Class {
        name: "disbursement",
        effect: "once",
        window_ms: 5_000,
        aim_ms: 3_000,
        deadline_ms: DEADLINE,
    }];
    let mut senders = Senders::new(world.clone(), 3, work, root);
    for n in 0..3 {
        senders.configure(n, &settings(&MF_UTILITY_HQ, &classes, 3), TAKEOVER);
    }
    for n in 0..3 {
        senders.start(n);
    }
    pause(3_000);
    // Each destination tells to wait; what comes then is called for together, and told to wait once more.
    let mut handed = Vec::new();
    for n in 0..MESSAGES {
        let w: Arc<World> = world.clone();
        handed.push(std::thread::spawn(move || {
            let id = format!("m{n:02}");
            let hand = HandIn {
                id: id.clone(),
                class: "disbursement",
                key: None,
                to: n as u32 % 4,
                deadline: DEADLINE,
                body: 4_000,
            };
            let at = w.record.now();
            (id, at, w.hand_in(0, &hand))
        }));
        if n < 4 {
            pause(50);
        }
        if n % 8 == 7 {
            pause(10);
        }
    }
    let handed: Vec<(String, u64, u16)> = handed.into_iter().map(|h| h.join().unwrap()).collect();
    pause(1_000);
    world.answers.lock().unwrap().fill(Answer::Wait(4_000));
    pause(700);
    senders.signal(0, SIGKILL, "SIGKILL");
    pause(600);
    senders.start(0);
    let ready = world.record.now();
    pause(CUT_AFTER);
    if trouble() {
        world.cut(0, true);
    }
    world.answers.lock().unwrap().fill(Answer::Work(100));
    pause(5_900);
    if trouble() {
        world.cut(0, false);
    }
    let left =
        (handed.iter().map(|h| h.1).max().unwrap_or(0) + DEADLINE + 2_000).saturating_sub(world.record.now());
    pause(left);
    for n in 0..3 {
        world.record.note(format!("takeover at sender {n}: {}", senders.report(n, "/control/takeover")));
    }
    if !senders.crashed().is_empty() {
        senders.fail("a sender has ended");
    }
    let runs = world.runs.lock().unwrap().clone();
    let notices = world.notices.lock().unwrap().clone();
    let mut breaks = Vec::new();
    for (id, at, _) in handed.iter().filter(|h| h.2 == 202) {
        // 300 ms, and the 50 ms of sockets; not overdue before 1.5 s after the sender is ready again.
        let due = (at + DEADLINE + 350).max(ready + 1_550);
        let delivered =
            runs.iter().any(|r| r.id == *id && r.answer == "200" && r.over.is_some_and(|t| t <= due));
        let told = notices.iter().any(|n| n.id == *id && n.at <= due);
        if !delivered && !told {
            breaks.push(format!(
                "{id} was taken on at {at} ms and had no end until {due} ms: no delivery, no notice"
            ));
        }
    }
    let taken = handed.iter().filter(|h| h.2 == 202).count();
    world.record.note(format!("{taken} of {MESSAGES} messages were taken on"));
    if taken < MESSAGES / 2 {
        senders.fail("fewer than half of the messages were taken on");
    }
    senders.verdict(&breaks);
}
