//! One client that sends as fast as it can: other clients are served as before, and memory stays bounded.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::world::*;

/// How long the client keeps on.
const FLOOD: Duration = Duration::from_secs(4);
/// No client waits longer for its answer.
const CLIENT_PATIENCE: Duration = Duration::from_millis(400);
/// The memory limit of the sender, in MB.
const MEMORY_MB: u64 = 32;
/// Requests that are written at once.
const BATCH: usize = 200;

fn small_process(config: &mut Value) {
    config["mgmt"] = json!("127.0.0.1:0");
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    // More messages than the test's clients hand in, so that only the sender's speed counts.
    config["settings"]["limits"]["max_open"] = json!(100_000);
    config["settings"]["realms"] = json!([{"name": "acme", "quota_per_s": 1000.0, "fraction": 1.0}]);
}

/// Sends requests over one connection at a time until `stop`; reads the answers or leaves them unread.
fn send_without_pause(node: &Node, stop: &AtomicBool, read: bool, request: impl Fn(usize) -> Vec<u8>) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut stream = TcpStream::connect(node.address).unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
        let mut answers = stream.try_clone().unwrap();
        let reader = thread::spawn(move || {
            if read {
                while answers.read(&mut [0; 65536]).is_ok_and(|n| n > 0) {}
            }
        });
        while !stop.load(Ordering::Relaxed) {
            let batch: Vec<u8> = (number..number + BATCH).flat_map(&request).collect();
            number += BATCH;
            match stream.write_all(&batch) {
                Ok(()) => {}
                Err(why) if why.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        reader.join().unwrap();
    }
}

/// Serves other clients beside such a flood: each is answered in time, and delivered; memory stays in bounds.
fn serves_others_beside(read: bool, request: impl Fn(usize) -> Vec<u8> + Sync) {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], small_process);
    let stop = AtomicBool::new(false);
    let mut kept = Client::new(&node);
    let mut slowest = Duration::ZERO;
    thread::scope(|scope| {
        scope.spawn(|| send_without_pause(&node, &stop, read, &request));
        let begun = Instant::now();
        for number in 0.. {
            if begun.elapsed() >= FLOOD {
                break;
            }
            let sent = Instant::now();
            let text = owned(&submission(&format!("other-{number}"), "order", 7, 20_000), "acme");
            let answer = if number % 2 == 0 { kept.request(&text) } else { node.request(&text) };
            assert_eq!(answer.status(), 202, "message {number}");
            let call = endpoint.next();
            assert_eq!(call.http.headers["req-id"], format!("other-{number}"));
            slowest = slowest.max(sent.elapsed());
            call.reply(status(200));
            thread::sleep(Duration::from_millis(20));
        }
        stop.store(true, Ordering::Relaxed);
    });
    println!("the slowest took {slowest:?}, peak of {} bytes", node.peak_memory());
    assert!(slowest < CLIENT_PATIENCE, "the slowest took {slowest:?}");
    let peak = node.peak_memory();
    assert!(peak < MEMORY_MB * 1_000_000, "peak of {peak} bytes");
}

/// The request with the name of a tenant.
fn owned(text: &[u8], tenant: &str) -> Vec<u8> {
    let text = String::from_utf8(text.to_vec()).unwrap();
    text.replace("Req-Kind", &format!("Req-Owner: {tenant}\r\nReq-Kind")).into_bytes()
}

/// Guards against a client with unsound requests that keeps all others from their answers.
#[test]
fn unsound_requests_of_one_client_leave_others_their_answers() {
    for read in [true, false] {
        serves_others_beside(read, |_| b"POST /nothing HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_vec());
    }
}

/// Guards against a client that is refused at once, and comes again at once.
#[test]
fn requests_that_end_their_connection_leave_others_their_answers() {
    for text in [
        "\0\x01\x02\r\n\r\n",
        "POST /order HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /order HTTP/1.1\r\nReq-Id: a\r\nContent-Length: 99999999\r\n\r\n",
        "POST /order HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
    ] {
        serves_others_beside(true, |_| text.as_bytes().to_vec());
        serves_others_beside(false, |_| text.as_bytes().to_vec());
    }
}

/// Guards against a client with small requests that keeps all others from their answers.
#[test]
fn small_requests_of_one_client_leave_others_their_answers() {
    serves_others_beside(true, |_| b"GET /x HTTP/1.1\r\n\r\n".to_vec());
}

/// Guards against memory that grows with each new name that a client writes.
#[test]
fn ever_new_names_of_one_client_use_no_memory() {
    serves_others_beside(true, |number| {
        owned(&submission(&format!("new-{number}"), "order", 7, 900), &format!("t{number}"))
    });
    serves_others_beside(true, |number| {
        let text = String::from_utf8(submission(&format!("new-{number}"), "order", 7, 900)).unwrap();
        text.replace("order", &format!("class{number}")).into_bytes()
    });
}

/// Guards against messages for ever new destinations that hold up the messages of others.
#[test]
fn messages_to_ever_new_destinations_leave_others_their_answers() {
    serves_others_beside(true, |number| {
        let dest = 100 + u16::try_from(number % 60_000).unwrap();
        owned(&submission(&format!("new-{number}"), "order", dest, 900), "acme")
    });
}
