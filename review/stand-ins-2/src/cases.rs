//! What each case plays and how it judges. Judged is only what the endpoints, the clients and the platform see.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::world::{Broken, Deployment, Endpoint, Message, Reply, World};

/// Plays a case; returns the breaks of its rule.
pub fn play(case: &str, world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    match case {
        "takeover-taken-out" => takeover_taken_out(world, trouble),
        "machine-lost" => machine_lost(world, trouble),
        "split-second-copy" => split_second_copy(world, trouble),
        "broken-file-restart" => broken_file_restart(world, trouble),
        "class-gone-restart" => class_gone_restart(world, trouble),
        "idle-close-absent" => idle_close_absent(world, trouble),
        "cold-return" => cold_return(world, trouble),
        _ => Err(format!("no such case: {case}")),
    }
}

fn failed<T>(what: &str, got: std::io::Result<T>) -> Result<T, Broken> {
    got.map_err(|e| format!("{what}: {e}"))
}

/// An endpoint that is shut until `opens` (ms since the begin) and tells callers to wait until then.
fn shut_endpoint(world: &World, name: &str, dest: u32, opens: u64) -> Result<Endpoint, Broken> {
    let decide = move |call: &crate::world::Call| {
        if call.begun < opens {
            Reply::Wait(Duration::from_millis(opens - call.begun))
        } else {
            Reply::Run(Duration::from_millis(120))
        }
    };
    failed("endpoint", Endpoint::start(&world.record, name, dest, "bank-partner", decide))
}

fn disbursement(number: usize, dest: u32, deadline_ms: u32) -> Message {
    Message {
        id: format!("{:016x}", 0x9b1f_03aa_0000_0000_u64 + number as u64),
        kind: "disbursement",
        dest,
        deadline_ms,
        key: String::new(),
        body: format!("pay out loan {number}"),
        again: false,
    }
}

/// Hands in messages until `wanted` were taken on; returns those that were.
fn hand_in_all(world: &World, sender: usize, messages: Vec<Message>) -> Result<Vec<Message>, Broken> {
    let mut taken = Vec::new();
    for message in messages {
        if matches!(world.hand_in(sender, &message), 200 | 202) {
            taken.push(message);
        }
        thread::sleep(Duration::from_millis(40));
    }
    if taken.is_empty() { Err("no message was taken on".to_owned()) } else { Ok(taken) }
}

/// The bodies that took effect more than once.
fn run_twice(endpoint: &Endpoint) -> Vec<String> {
    let mut runs: BTreeMap<String, Vec<(String, u64)>> = BTreeMap::new();
    for call in endpoint.calls.lock().unwrap().iter().filter(|call| call.ran) {
        runs.entry(call.body.clone()).or_default().push((call.id.clone(), call.begun));
    }
    let twice = runs.into_iter().filter(|(_, runs)| runs.len() > 1);
    twice
        .map(|(body, runs)| format!("{body:?} took effect {} times: {runs:?} (id, ms)", runs.len()))
        .collect()
}

/// Three senders cover each other's messages. One of them is restarted with a configuration without the
/// section `takeover`.
fn takeover_taken_out(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let opens = 11_500;
    let endpoint = shut_endpoint(world, "s-bank", 5, opens)?;
    let deployment = Deployment { takeover: true, ..Deployment::usual(3) };
    world.add_senders(&deployment, std::slice::from_ref(&endpoint), false)?;
    world.start_all()?;
    world.until(4_000);
    let messages = (0..8).map(|n| disbursement(n, 5, 16_000)).collect();
    hand_in_all(world, 0, messages)?;
    world.until(5_200);
    world.restart(0, |world| {
        if trouble {
            world.record.note("the configuration of n1 is replaced by one without the section takeover");
            world.configure(0, &Deployment { takeover: false, ..deployment.clone() })?;
        }
        Ok(())
    })?;
    if !world.ready(0, Duration::from_secs(10)) {
        return Err(format!("n1 did not get ready again: {}", world.last_log(0)));
    }
    world.until(21_500);
    Ok(run_twice(&endpoint))
}

/// Three senders cover each other's messages. The machine of one of them is lost; its clients hand in again
/// what it had taken on.
fn machine_lost(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let endpoint = shut_endpoint(world, "s-bank", 5, 9_500)?;
    let deployment = Deployment { takeover: true, ..Deployment::usual(3) };
    world.add_senders(&deployment, std::slice::from_ref(&endpoint), false)?;
    world.start_all()?;
    world.until(4_000);
    let messages = (0..8).map(|n| disbursement(n, 5, 16_000)).collect();
    let taken = hand_in_all(world, 0, messages)?;
    world.until(5_000);
    if trouble {
        world.kill(0);
        world.lose_folder(0);
        thread::sleep(Duration::from_millis(600));
        world.start(0)?;
        thread::sleep(Duration::from_millis(400));
        for (number, message) in taken.iter().enumerate() {
            let id = format!("{:016x}", 0x5c0f_6e1a_0000_0000_u64 + number as u64);
            world.hand_in(1, &Message { id, again: true, deadline_ms: 14_500, ..message.clone() });
            thread::sleep(Duration::from_millis(40));
        }
    }
    world.until(21_500);
    Ok(run_twice(&endpoint))
}

/// Three senders cover each other's messages, and no message may have two attempts out at a time. One of them
/// does not hear the others for six seconds while an endpoint hangs.
fn split_second_copy(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let hangs: Arc<Mutex<(u64, u64)>> = Arc::new(Mutex::new((4_500, 10_500)));
    let decide = move |call: &crate::world::Call| {
        let (from, to) = *hangs.lock().unwrap();
        let hanging = (from..to).contains(&call.begun);
        Reply::Run(Duration::from_millis(if hanging { to - call.begun } else { 250 }))
    };
    let endpoint = failed("endpoint", Endpoint::start(&world.record, "s-lender", 9, "local-lender", decide))?;
    let deployment = Deployment { takeover: true, second_copies: false, ..Deployment::usual(3) };
    world.add_senders(&deployment, std::slice::from_ref(&endpoint), true)?;
    world.start_all()?;
    world.until(5_000);
    let messages = (0..4).map(|n| Message {
        id: format!("{:016x}", 0x77aa_0000_0000_0000_u64 + n),
        kind: "notice",
        dest: 9,
        deadline_ms: 28_000,
        key: format!("key-{n}"),
        body: format!("remind customer {n}"),
        again: false,
    });
    let taken = hand_in_all(world, 0, messages.collect())?;
    world.until(5_400);
    if trouble {
        world.record.note("n1 and the others do not hear each other");
        world.datagrams.as_ref().unwrap().cut(0, true);
    }
    world.until(11_400);
    if trouble {
        world.datagrams.as_ref().unwrap().cut(0, false);
        world.record.note("they hear each other again");
    }
    world.until(16_000);
    let calls = endpoint.calls.lock().unwrap().clone();
    let mut broken = Vec::new();
    for message in &taken {
        let mut of: Vec<_> = calls.iter().filter(|call| call.id == message.id).collect();
        of.sort_by_key(|call| call.begun);
        for pair in of.windows(2) {
            // The time for which the first was out after the second had begun; the sockets' slack is 50 ms.
            let end = pair[0].ended.unwrap_or(u64::MAX);
            if end > pair[1].begun + 50 {
                broken.push(format!(
                    "id {} has two attempts out at a time: one from {} to {} ms, another from {} ms",
                    message.id, pair[0].begun, end, pair[1].begun
                ));
            }
        }
    }
    Ok(broken)
}

/// A broken configuration file is turned down; then the sender is restarted while that file is there.
fn broken_file_restart(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let endpoint = shut_endpoint(world, "s-bank", 5, 9_500)?;
    let deployment = Deployment::usual(1);
    world.add_senders(&deployment, std::slice::from_ref(&endpoint), false)?;
    world.start_all()?;
    world.until(2_000);
    let messages = (0..8).map(|n| disbursement(n, 5, 16_000)).collect();
    let taken = hand_in_all(world, 0, messages)?;
    if trouble {
        let file = world.config_file(0);
        let whole = failed("configuration", std::fs::read(&file))?;
        failed("configuration", std::fs::write(&file, &whole[..whole.len() / 2]))?;
        world.record.note("the configuration file is replaced by one that is cut off");
    }
    world.signal(0, "HUP");
    thread::sleep(Duration::from_millis(1_200));
    if world.ended(0) {
        return Err("n1 ended on SIGHUP".to_owned());
    }
    world.record.note("n1 serves on");
    world.restart(0, |_| Ok(()))?;
    let ready = world.ready(0, Duration::from_secs(30));
    if ready {
        world.until(20_000);
    }
    let ended = |message: &&Message| {
        let delivered = endpoint.calls.lock().unwrap().iter().any(|call| call.id == message.id && call.ran);
        delivered || world.notices().iter().any(|notice| notice.1.contains(&message.id))
    };
    let open = taken.iter().filter(|message| !ended(message)).count();
    world.record.note(format!("{} messages were taken on; {open} of them have no end", taken.len()));
    let mut broken = Vec::new();
    if !ready {
        broken
            .push(format!("n1 does not get ready after its restart; its last words: {}", world.last_log(0)));
    }
    Ok(broken)
}

/// A class goes from the settings while messages of it are under way; then the sender is restarted.
fn class_gone_restart(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let endpoint = shut_endpoint(world, "s-bank", 5, 9_500)?;
    let deployment = Deployment::usual(1);
    world.add_senders(&deployment, std::slice::from_ref(&endpoint), false)?;
    world.start_all()?;
    world.until(2_000);
    let messages = (0..12).map(|n| disbursement(n, 5, 16_000)).collect();
    let taken = hand_in_all(world, 0, messages)?;
    if trouble {
        world.configure(0, &Deployment { disbursement: false, ..deployment.clone() })?;
        world.record.note("the configuration file is replaced by one without the class disbursement");
    }
    world.signal(0, "HUP");
    thread::sleep(Duration::from_millis(1_200));
    let called = |world: &World, id: &str| {
        let _ = world;
        endpoint.calls.lock().unwrap().iter().any(|call| call.id == id)
    };
    world.kill(0);
    let untried: Vec<&Message> = taken.iter().filter(|message| !called(world, &message.id)).collect();
    let half_left = world.record.ms();
    thread::sleep(Duration::from_millis(600));
    world.start(0)?;
    if !world.ready(0, Duration::from_secs(10)) {
        return Err(format!("n1 did not get ready again: {}", world.last_log(0)));
    }
    world.until(20_000);
    let notices = world.notices();
    // Half of the messages' time is over 8 s after they were handed in, the first at 2 s or later.
    let early: Vec<&&Message> = untried
        .iter()
        .filter(|message| !called(world, &message.id))
        .filter(|message| notices.iter().any(|(at, line)| *at < 10_000 && line.contains(&message.id)))
        .collect();
    world.record.note(format!(
        "the restart at {half_left} ms found {} messages untried; {} of them were given up with no call and half of their time left",
        untried.len(),
        early.len()
    ));
    let mut broken = Vec::new();
    if early.len() * 2 > untried.len() {
        broken.push(format!(
            "{} of {} messages that a restart found untried, with half of their time left, were given up early with no call",
            early.len(),
            untried.len()
        ));
    }
    Ok(broken)
}

/// The settings leave out `idle_close_us`; an endpoint refuses a connection.
fn idle_close_absent(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let decide = |_: &crate::world::Call| Reply::Run(Duration::from_millis(100));
    let endpoint = failed("endpoint", Endpoint::start(&world.record, "s-bank", 5, "bank-partner", decide))?;
    let down = Endpoint {
        address: crate::world::free_port("127.0.0.1".parse().unwrap()).unwrap(),
        name: "s-down".into(),
        dest: 6,
        ..endpoint.clone()
    };
    let deployment = Deployment::usual(2);
    world.add_senders(&deployment, &[endpoint, down], false)?;
    for sender in 0..2 {
        let file = world.config_file(sender);
        let whole = failed("configuration", std::fs::read_to_string(&file))?;
        failed("configuration", std::fs::write(&file, whole.replace("\"idle_close_us\":5000000,", "")))?;
    }
    world.start_all()?;
    world.until(2_000);
    hand_in_all(world, 0, vec![disbursement(0, 5, 16_000)])?;
    if trouble {
        hand_in_all(world, 0, vec![disbursement(1, 6, 16_000)])?;
    }
    world.until(4_000);
    let mut broken = Vec::new();
    if world.ended(0) {
        broken.push(format!("n1 has ended by itself: {}", world.last_log(0)));
    }
    Ok(broken)
}

/// A destination without a limit of its own is shut for ten seconds, and comes back cold.
fn cold_return(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    const CAPACITY: f64 = 24.0;
    const SHUT: (u64, u64) = (8_000, 18_000);
    let shut = move |ms: u64| trouble && (SHUT.0..SHUT.1).contains(&ms);
    let share = move |ms: u64| {
        if !trouble || ms < SHUT.0 {
            return 1.0;
        }
        (0.17 + 0.83 * ms.saturating_sub(SHUT.1) as f64 / 13_000.0).min(1.0)
    };
    // Times of calls since the return, and when it fell.
    let state: Arc<Mutex<(Vec<u64>, Option<(u64, usize, f64)>)>> = Arc::default();
    let at_endpoint = state.clone();
    let decide = move |call: &crate::world::Call| {
        if shut(call.begun) {
            return Reply::Error;
        }
        let mut state = at_endpoint.lock().unwrap();
        if state.1.is_some() {
            return Reply::Error;
        }
        if trouble && call.begun >= SHUT.1 && share(call.begun) < 1.0 {
            state.0.push(call.begun);
            let recent = state.0.iter().filter(|at| **at + 3_000 > call.begun).count();
            // In the sender's favour: what it can do now counts for the whole window.
            let n = 2.0 * share(call.begun) * CAPACITY * 3.0;
            let most = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
            if recent as f64 > most {
                state.1 = Some((call.begun, recent, most));
                return Reply::Error;
            }
        }
        Reply::Run(Duration::from_millis((200.0 / share(call.begun)).min(800.0) as u64))
    };
    let endpoint = failed("endpoint", Endpoint::start(&world.record, "s-lender", 9, "local-lender", decide))?;
    let deployment = Deployment { weights: "none", ..Deployment::usual(3) };
    world.add_senders(&deployment, std::slice::from_ref(&endpoint), false)?;
    world.start_all()?;
    let mut number = 0;
    while world.record.ms() < 34_000 {
        for sender in 0..3 {
            number += 1;
            world.hand_in(
                sender,
                &Message {
                    id: format!("{:016x}", 0x77aa_0000_0000_0000_u64 + number),
                    kind: "notice",
                    dest: 9,
                    deadline_ms: 28_000,
                    key: format!("key-{number}"),
                    body: format!("remind customer {number}"),
                    again: false,
                },
            );
        }
        thread::sleep(Duration::from_millis(200));
    }
    let state = state.lock().unwrap().clone();
    let mut broken = Vec::new();
    if let Some((at, calls, most)) = state.1 {
        broken.push(format!("the destination fell over at {at} ms: {calls} calls in 3 s, it stands {most:.0}; all three senders had seen it fail"));
    }
    Ok(broken)
}
