//! System calls that fail as Linux documents, by a library that is loaded into the sender's process.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::world::*;

const EINTR: i32 = 4;
const EIO: i32 = 5;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const EHOSTUNREACH: i32 = 113;
/// How long a fault lasts.
const FAULT: Duration = Duration::from_millis(1500);
/// A message that was accepted ends at the latest this long after its deadline.
const END_SLACK: Duration = Duration::from_millis(350);

/// The library, built once for all tests of this process.
fn shim() -> &'static Path {
    static SHIM: OnceLock<(tempfile::TempDir, PathBuf)> = OnceLock::new();
    let (_, path) = SHIM.get_or_init(|| {
        let folder = tempfile::tempdir().unwrap();
        let (source, library) = (folder.path().join("shim.c"), folder.path().join("shim.so"));
        std::fs::write(&source, include_str!("shim.c")).unwrap();
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(&source).arg("-ldl");
        assert!(compiler.status().unwrap().success(), "the library is built");
        (folder, library)
    });
    path
}

/// Calls that fail in the processes of one sender.
pub struct Faults(tempfile::TempDir);

impl Faults {
    pub fn new() -> Self {
        Self(tempfile::tempdir().unwrap())
    }

    /// From now on the call fails with this error number.
    pub fn set(&self, call: &str, error: i32) {
        let new = self.0.path().join("new");
        std::fs::write(&new, error.to_string()).unwrap();
        std::fs::rename(new, self.0.path().join(call)).unwrap();
    }

    pub fn clear(&self, call: &str) {
        let _ = std::fs::remove_file(self.0.path().join(call));
    }

    fn environment(&self) -> [(&'static str, PathBuf); 2] {
        [("LD_PRELOAD", shim().to_owned()), ("FAULT_FOLDER", self.0.path().to_owned())]
    }

    pub fn start(&self, platform: &Platform, endpoints: &[Value]) -> Node {
        Node::start_with_environment(platform, endpoints, &self.environment(), with_mgmt)
    }
}

fn with_mgmt(config: &mut Value) {
    config["mgmt"] = json!("127.0.0.1:0");
}

/// Writes to the folder fail, in these ways.
const FOLDER_FAULTS: [(&str, i32); 3] = [("write", EIO), ("write", ENOSPC), ("half", ENOSPC)];

/// Guards against messages that are lost, or called twice, because the folder can't be written for a while: what was
/// accepted ends in time, by a notice or, afterwards, by its delivery.
#[test]
fn accepted_messages_end_in_time_while_the_folder_fails() {
    for (call, error) in FOLDER_FAULTS {
        let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
        let node = faults.start(&platform, &[]);
        assert_eq!(node.submit("short", "order", 7, 700).status(), 202);
        let accepted = Instant::now();
        assert_eq!(node.submit("long", "order", 7, 20_000).status(), 202);
        assert_eq!(node.submit("keyed", "note", 7, 20_000).status(), 202);
        faults.set(call, error);
        faults.set("truncate", error);
        platform.publish(&[listing("e1", 9, "plain", endpoint.address)]);
        assert_eq!(node.submit("refused", "order", 7, 20_000).status(), 503, "{call} {error}");
        let notice = platform.notice(204);
        let ended = accepted.elapsed();
        assert_eq!(notice, [json!({"id": "short", "status": "deferred"})]);
        assert!(ended < Duration::from_millis(700) + END_SLACK, "{call} {error}: after {ended:?}");
        platform.publish(&[listing("e2", 7, "plain", endpoint.address)]);
        assert!(endpoint.try_next(FAULT).is_none(), "a call must be in the journal before it begins");
        faults.clear(call);
        faults.clear("truncate");
        let mut ids = Vec::new();
        for _ in 0..2 {
            let call = endpoint.next();
            ids.push(call.http.headers["req-id"].clone());
            call.reply(status(200));
        }
        ids.sort();
        assert_eq!(ids, ["keyed", "long"], "{call} {error}");
        wait_until(|| node.call("GET", "/control/counters").json()["current"] == 0);
        let node = node.kill_and_restart();
        assert_eq!(node.submit("long", "order", 7, 20_000).status(), 202, "it is known to be delivered");
        assert!(endpoint.try_next(Duration::from_millis(300)).is_none());
    }
}

/// Guards against memory that grows, and attempts that are used up, while the folder can't be written.
#[test]
fn messages_keep_their_attempts_while_the_folder_fails() {
    let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
    let node = faults.start(&platform, &[]);
    let ids: Vec<String> = (0..50).map(|n| format!("m{n}")).collect();
    for id in &ids {
        assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
    }
    let before = node.call("GET", "/control/counters").json()["memory"]["resident"].as_u64().unwrap();
    faults.set("write", ENOSPC);
    platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
    std::thread::sleep(FAULT * 2);
    let resident = node.call("GET", "/control/counters").json()["memory"]["resident"].as_u64().unwrap();
    assert!(resident < before + 1_000_000, "{before} before, {resident} after");
    faults.clear("write");
    let mut called = Vec::new();
    while called.len() < ids.len() {
        let call = endpoint.next();
        called.push(call.http.headers["req-id"].clone());
        call.reply(status(200));
    }
    called.sort();
    let mut ids = ids;
    ids.sort();
    assert_eq!(called, ids);
    assert!(platform.notices.try_recv().is_err(), "none is given up");
}

/// Guards against a start that ends because the folder can't be written for a while, with a torn record in it.
#[test]
fn a_start_waits_while_the_folder_fails() {
    for (call, error) in [("write", ENOSPC), ("truncate", EIO), ("rename", EIO)] {
        let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
        let node = faults.start(&platform, &[]);
        assert_eq!(node.submit("owed", "order", 7, 20_000).status(), 202);
        platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
        faults.set(call, error);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(FAULT);
                faults.clear(call);
            });
            let node = node.kill_and_restart_after(|folder| {
                let journal = std::fs::OpenOptions::new().append(true).open(folder.join("journal"));
                std::io::Write::write_all(&mut journal.unwrap(), &[9, 0, 0, 0, 1]).unwrap();
            });
            let call = endpoint.next();
            assert_eq!(call.http.headers["req-id"], "owed");
            call.reply(status(200));
            wait_until(|| node.call("GET", "/control/counters").json()["answered"]["order"] == 1);
        });
    }
}

/// Guards against a sender that stops accepting clients after an error of the listening socket.
#[test]
fn clients_are_served_after_errors_of_accept() {
    let (platform, faults) = (Platform::new(), Faults::new());
    let node = faults.start(&platform, &[]);
    for error in [ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR] {
        faults.set("accept", error);
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(200));
                faults.clear("accept");
            });
            assert_eq!(node.submit(&format!("m{error}"), "order", 7, 20_000).status(), 202, "{error}");
        });
        assert_eq!(node.call("GET", "/control/ready").status(), 200);
    }
}

/// Guards against calls that could not connect and are taken for calls that may have run.
#[test]
fn calls_that_could_not_connect_are_made_again() {
    for (call, error) in [
        ("connect", EADDRNOTAVAIL),
        ("connect", ENETUNREACH),
        ("connect", EHOSTUNREACH),
        ("connect", EINTR),
        ("socket", ENFILE),
        ("socket", ENOBUFS),
    ] {
        let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
        let node = faults.start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
        faults.set(call, error);
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        std::thread::sleep(Duration::from_millis(200));
        faults.clear(call);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], "a", "{error}");
        call.reply(status(200));
        wait_until(|| node.call("GET", "/control/counters").json()["answered"]["order"] == 1);
    }
}

/// Guards against connections that are given up at an interrupted call or a short transfer.
#[test]
fn interrupted_calls_and_short_transfers_lose_nothing() {
    let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
    faults.set("interrupt", EINTR);
    faults.set("short", 1);
    let node = faults.start(&platform, &[listing("e1", 7, "plain", endpoint.address)]);
    let mut client = Client::new(&node);
    for number in 0..20 {
        let id = format!("m{number}");
        assert_eq!(client.request(&submission(&id, "order", 7, 20_000)).status(), 202);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], id);
        call.reply(status(200));
        wait_until(|| node.call("GET", "/control/counters").json()["answered"]["order"] == number + 1);
    }
    assert_eq!(node.submit("failed", "order", 9, 300).status(), 202);
    assert_eq!(platform.notice(204), [json!({"id": "failed", "status": "deferred"})]);
}

/// A step of the wall clock, seconds.
const HOUR: i32 = 3600;

/// Guards against deadlines that move with the wall clock when it is stepped while the sender is down.
#[test]
fn deadlines_hold_when_the_clock_is_stepped_between_two_processes() {
    for step in [HOUR, -HOUR] {
        let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
        let node = faults.start(&platform, &[]);
        let accepted = Instant::now();
        assert_eq!(node.submit("short", "order", 8, 1500).status(), 202);
        assert_eq!(node.submit("long", "order", 7, 20_000).status(), 202);
        faults.set("step", step);
        let node = node.kill_and_restart();
        platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], "long", "a step of {step} s");
        let left: u64 = call.http.headers["req-deadline-ms"].parse().unwrap();
        assert!(left <= 20_000, "{left}");
        call.reply(status(200));
        assert_eq!(platform.notice(204), [json!({"id": "short", "status": "deferred"})]);
        let ended = accepted.elapsed();
        assert!(ended < Duration::from_millis(1500) + END_SLACK, "a step of {step} s: after {ended:?}");
        drop(node);
    }
}

/// Guards against a keyed message that is repeated after its window because the wall clock was stepped back.
#[test]
fn a_window_holds_when_the_clock_is_stepped_between_two_processes() {
    for step in [HOUR, -HOUR] {
        let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
        let known = [listing("e1", 7, "plain", endpoint.address)];
        let node = Node::start_with_environment(&platform, &known, &faults.environment(), |config| {
            config["settings"]["classes"][0]["dedup_window_us"] = json!(2_000_000);
        });
        assert_eq!(node.submit("keyed", "note", 7, 20_000).status(), 202);
        let first = endpoint.next();
        std::thread::sleep(Duration::from_millis(2100));
        faults.set("step", step);
        let node = node.kill_and_restart();
        assert_eq!(platform.notice(204), [json!({"id": "keyed", "status": "undeliverable"})], "{step}");
        assert!(endpoint.try_next(Duration::from_millis(300)).is_none(), "a step of {step} s");
        drop((node, first));
    }
}

/// Guards against deadlines and answers that move when the wall clock is stepped at a running sender, and at an
/// upgrade.
#[test]
fn deadlines_hold_when_the_clock_is_stepped_at_a_running_process() {
    for step in [HOUR, -HOUR] {
        let (platform, endpoint, faults) = (Platform::new(), TestServer::new(), Faults::new());
        let node = faults.start(&platform, &[]);
        let accepted = Instant::now();
        assert_eq!(node.submit("short", "order", 8, 1000).status(), 202);
        assert_eq!(node.submit("long", "order", 7, 20_000).status(), 202);
        faults.set("step", step);
        platform.publish(&[listing("e1", 7, "plain", endpoint.address)]);
        let call = endpoint.next();
        assert_eq!(call.http.headers["req-id"], "long", "a step of {step} s");
        call.reply(status(200));
        assert_eq!(node.submit("after", "order", 7, 20_000).status(), 202);
        endpoint.next().reply(status(200));
        assert_eq!(platform.notice(204), [json!({"id": "short", "status": "deferred"})]);
        let ended = accepted.elapsed();
        assert!(ended < Duration::from_millis(1000) + END_SLACK, "a step of {step} s: after {ended:?}");
        assert!(ended > Duration::from_millis(800), "a step of {step} s: after {ended:?}");
    }
}
