//! Peers do not hear each other for 6 s, while a message of one sender is out at a slow endpoint. The settings
//! allow no second copies.

use review_world::*;

fn main() {
    let world = World::new(endpoints(&TBILISI_MAIN, 1, 1), 1, Answer::Work(2600));
    let (work, root) = folders();
    world.start(3, 10);
    let classes =
        [Class { name: "notices", effect: "by_key", window_ms: 12_000, aim_ms: 3_000, deadline_ms: 20_000 }];
    let mut senders = Senders::new(world.clone(), 3, work, root);
    for n in 0..3 {
        senders.configure(n, &settings(&TBILISI_MAIN, &classes, 3), TAKEOVER);
    }
    for n in 0..3 {
        senders.start(n);
    }
    pause(3_000);
    for n in 0..6 {
        let hand = HandIn {
            id: format!("m{n}"),
            class: "notices",
            key: Some(format!("key-{n}")),
            to: 0,
            deadline: 20_000,
            body: 200,
        };
        if world.hand_in(0, &hand) != 202 {
            senders.fail("a message was not taken on");
        }
        pause(20);
    }
    pause(150);
    if trouble() {
        world.cut(0, true);
    }
    pause(5_900);
    if trouble() {
        world.cut(0, false);
    }
    pause(6_000);
    world.record.note(format!("takeover at sender 0: {}", senders.report(0, "/control/takeover")));
    if !senders.crashed().is_empty() {
        senders.fail("a sender has ended");
    }
    let runs = world.runs.lock().unwrap().clone();
    let mut breaks = Vec::new();
    for (at, later) in runs.iter().enumerate() {
        for earlier in runs[..at].iter().filter(|run| run.id == later.id) {
            // 50 ms, by which every time limit is longer on sockets.
            if earlier.over.is_none_or(|over| over > later.begun + 50) {
                breaks.push(format!(
                    "{} was called by sender {} at {} ms, while the call of sender {} from {} ms was out until {:?} ms",
                    later.id, later.sender, later.begun, earlier.sender, earlier.begun, earlier.over
                ));
            }
        }
    }
    senders.verdict(&breaks);
}
