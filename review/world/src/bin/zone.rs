//! Endpoints hang and are replaced by others in another zone, and then a new configuration names one zone more.
//! Endpoints drop repeats of a key within their own zone only.

use review_world::*;

/// Destinations; the endpoints of the first three hang and are replaced.
const DESTINATIONS: usize = 8;
const HANGING: usize = 3;

fn main() {
    // Each destination has an endpoint in `operations-bldg`. Three get one in `annex-bldg` in its place later.
    let mut all = endpoints(&MF_UTILITY_HQ, DESTINATIONS as u32, 1);
    for entry in &mut all {
        entry.zone = ["operations-bldg", "annex-bldg"][entry.place as usize % 2].into();
    }
    let listed = |replaced: usize| {
        let there = |e: &&Listed| (e.zone == "annex-bldg") == ((e.group as usize) < replaced);
        all.iter().filter(there).cloned().collect::<Vec<Listed>>()
    };
    let places: Vec<(u8, u32)> = all.iter().map(|e| (e.place, e.group)).collect();
    let world = World::new(listed(0), DESTINATIONS, Answer::Work(100));
    let (work, root) = folders();
    world.start_with(2, 10, &places);
    let class =
        [Class { name: "notice", effect: "by_key", window_ms: 15_000, aim_ms: 3_000, deadline_ms: 28_000 }];
    let with = |zones| {
        let site = Site { zones, ..MF_UTILITY_HQ };
        settings(&site, &class, 2).replace(r#""group":"all""#, r#""group":"zone""#)
    };
    let mut senders = Senders::new(world.clone(), 2, work, root);
    for n in 0..2 {
        senders.configure(n, &with(r#""annex-bldg","operations-bldg""#), "");
    }
    for n in 0..2 {
        senders.start(n);
    }
    pause(2_000);
    let begun = world.record.now();
    let until = |at: u64| pause((begun + at).saturating_sub(world.record.now()));
    world.answers.lock().unwrap()[..HANGING].fill(Answer::Hang(100));
    for n in 0..DESTINATIONS {
        let (id, key) = (format!("m{n}"), Some(format!("key-{n}")));
        let hand = HandIn { id, class: "notice", key, to: n as u32, deadline: 28_000, body: 200 };
        if world.hand_in(0, &hand) != 202 {
            senders.fail("a message was not taken on");
        }
    }
    until(1_000);
    world.answers.lock().unwrap().fill(Answer::Work(100));
    world
        .record
        .note("the list: the hanging endpoints are gone, one in annex-bldg is there in place of each");
    world.list.replace(listed(HANGING));
    until(6_000);
    if trouble() {
        for n in 0..2 {
            senders.configure(n, &with(r#""annex-2-bldg","annex-bldg","operations-bldg""#), "");
            senders.signal(n, SIGHUP, "SIGHUP");
        }
    }
    until(30_000);
    world.record.note(format!("counters of sender 0: {}", senders.report(0, "/control/counters")));
    if !senders.crashed().is_empty() {
        senders.fail("a sender has ended");
    }
    let runs = world.runs.lock().unwrap().clone();
    let mut breaks = Vec::new();
    for id in (0..DESTINATIONS).map(|n| format!("m{n}")) {
        let mine: Vec<&Run> = runs.iter().filter(|run| run.id == id).collect();
        for (at, later) in mine.iter().enumerate() {
            let zone = |run: &Run| all[run.endpoint as usize].zone.clone();
            if let Some(first) = mine[..at].iter().find(|run| run.done.is_some() && zone(run) != zone(later))
            {
                breaks.push(format!(
                    "{id} ran at e{} in {} at {} ms, and was called again at e{} in {} at {} ms; it ran there, too: {}",
                    first.endpoint,
                    zone(first),
                    first.begun,
                    later.endpoint,
                    zone(later),
                    later.begun,
                    later.done.is_some()
                ));
            }
        }
    }
    senders.verdict(&breaks);
}
