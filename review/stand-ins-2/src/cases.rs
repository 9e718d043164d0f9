//! What each case plays and how it judges. Judged is only what the endpoints, the clients and the platform see.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use crate::world::{Broken, Deployment, Endpoint, Message, Reply, World};

/// Plays a case; returns the breaks of its rule.
pub fn play(case: &str, world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    match case {
        "takeover-taken-out" => takeover_taken_out(world, trouble),
        "machine-lost" => machine_lost(world, trouble),
        "restart-untried" => restart_untried(world, trouble),
        "broken-file-restart" => broken_file_restart(world, trouble),
        "key-missing-restart" => key_missing_restart(world, trouble),
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

/// Hands in messages; returns those that were taken on.
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
    world.add_senders(&deployment, std::slice::from_ref(&endpoint))?;
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
    world.add_senders(&deployment, std::slice::from_ref(&endpoint))?;
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

/// Three senders cover each other's messages. One of them is killed, and is back with its folder 0.6 s later.
fn restart_untried(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let endpoint = shut_endpoint(world, "s-lender", 9, 13_500)?;
    let deployment = Deployment { takeover: true, window: 4_000_000, ..Deployment::usual(3) };
    world.add_senders(&deployment, std::slice::from_ref(&endpoint))?;
    world.start_all()?;
    world.until(4_000);
    let messages = (0..12).map(|n| Message {
        id: format!("{:016x}", 0x77aa_0000_0000_0000_u64 + n),
        kind: "notice",
        dest: 9,
        deadline_ms: 28_000,
        key: format!("key-{n}"),
        body: format!("remind customer {n}"),
        again: false,
    });
    let taken = hand_in_all(world, 0, messages.collect())?;
    world.until(9_500);
    if trouble {
        world.kill(0);
    }
    let called = |id: &str| endpoint.calls.lock().unwrap().iter().any(|call| call.id == id);
    let untried: Vec<&Message> = taken.iter().filter(|message| !called(&message.id)).collect();
    if trouble {
        thread::sleep(Duration::from_millis(600));
        world.start(0)?;
        if !world.ready(0, Duration::from_secs(10)) {
            return Err(format!("n1 did not get ready again: {}", world.last_log(0)));
        }
    }
    // Half of the first message's time is over at 18 s.
    world.until(33_000);
    let notices = world.notices();
    let early: Vec<&&Message> = untried
        .iter()
        .filter(|message| !called(&message.id))
        .filter(|message| notices.iter().any(|(at, line)| *at < 18_000 && line.contains(&message.id)))
        .collect();
    let found = format!(
        "{} of {} messages that were untried at 9,500 ms, with half of their time left, were given up early with no call",
        early.len(),
        untried.len()
    );
    world.record.note(&found);
    Ok(if early.len() * 2 > untried.len() { vec![found] } else { vec![] })
}

/// A broken configuration file is turned down; then the sender is restarted while that file is there.
fn broken_file_restart(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let endpoint = shut_endpoint(world, "s-bank", 5, 9_500)?;
    let deployment = Deployment::usual(2);
    world.add_senders(&deployment, std::slice::from_ref(&endpoint))?;
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

/// A configuration file that lacks a key is turned down; the sender is restarted while that file is there; then
/// an endpoint refuses connections.
fn key_missing_restart(world: &mut World, trouble: bool) -> Result<Vec<String>, Broken> {
    let decide = |_: &crate::world::Call| Reply::Run(Duration::from_millis(100));
    let endpoint = failed("endpoint", Endpoint::start(&world.record, "s-bank", 5, "bank-partner", decide))?;
    // Nobody listens there.
    let address = failed("address", crate::world::free_port([127, 0, 0, 1].into()))?;
    let down = Endpoint { address, name: "s-down".to_owned(), dest: 6, ..endpoint.clone() };
    world.add_senders(&Deployment::usual(2), &[endpoint, down])?;
    world.start_all()?;
    world.until(2_000);
    if trouble {
        for sender in 0..2 {
            let file = world.config_file(sender);
            let whole = failed("configuration", std::fs::read_to_string(&file))?;
            let lacking = whole.replace("\"idle_close_us\":5000000,", "");
            failed("configuration", std::fs::write(&file, lacking))?;
        }
        world
            .record
            .note("the configuration files are replaced by ones that lack settings.limits.idle_close_us");
    }
    world.signal(0, "HUP");
    world.signal(1, "HUP");
    thread::sleep(Duration::from_millis(1_200));
    if world.ended(0) {
        return Err("n1 ended on SIGHUP".to_owned());
    }
    world.restart(0, |_| Ok(()))?;
    if !world.ready(0, Duration::from_secs(10)) {
        return Err(format!("n1 did not get ready again: {}", world.last_log(0)));
    }
    hand_in_all(world, 0, vec![disbursement(0, 5, 16_000)])?;
    thread::sleep(Duration::from_millis(500));
    if world.ended(0) {
        return Err("n1 ended before an endpoint refused a connection".to_owned());
    }
    hand_in_all(world, 0, vec![disbursement(1, 6, 16_000)])?;
    thread::sleep(Duration::from_secs(3));
    let mut broken = Vec::new();
    if world.ended(0) {
        broken.push(format!("n1 has ended by itself: {}", world.panic_line(0)));
    }
    Ok(broken)
}
