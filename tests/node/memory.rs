//! The configured memory limit, under clients that make the sender keep as much as possible.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::world::*;

/// The smallest limit of memory that a sender is started with, in MB.
const MEMORY_MB: u64 = 32;
/// The largest number of descriptors that a sender is started with.
const SOCKETS: usize = 1024;
/// How long the clients keep on.
const FLOOD: Duration = Duration::from_secs(4);
/// Clients that are connected at once.
const CLIENTS: usize = 460;
/// Length of a large body, bytes.
const LARGE_BODY: usize = 64 * 1024;

fn least_memory(config: &mut Value) {
    config["mgmt"] = json!("127.0.0.1:0");
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    config["limits"]["sockets"] = json!(SOCKETS);
    config["settings"]["limits"]["max_open"] = json!(10_000);
}

/// One of many clients: what it writes, in pieces of this size, and how far it is.
struct SlowClient {
    stream: Option<TcpStream>,
    text: Vec<u8>,
    piece: usize,
    written: usize,
    /// It writes no more than this.
    stop_at: usize,
}

impl SlowClient {
    /// Writes the next piece, without waiting; connects again after a close.
    fn step(&mut self, node: &Node) {
        let Some(stream) = &mut self.stream else {
            let Ok(stream) = TcpStream::connect(node.address) else { return };
            stream.set_nonblocking(true).unwrap();
            stream.set_nodelay(true).unwrap();
            (self.stream, self.written) = (Some(stream), 0);
            return;
        };
        let end = (self.written + self.piece).min(self.stop_at);
        match stream.write(&self.text[self.written..end]) {
            Ok(size) => self.written += size,
            Err(why) if why.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.stream = None,
        }
        let Some(stream) = &mut self.stream else { return };
        match stream.read(&mut [0; 512]) {
            Err(why) if why.kind() == ErrorKind::WouldBlock => {}
            _ => self.stream = None,
        }
    }
}

/// Has many clients write `text` in pieces, up to `stop_at` bytes, and returns the peak of the sender's memory
/// in bytes. Meanwhile another client's messages are answered.
fn flood(text: impl Fn(usize) -> Vec<u8>, piece: usize, stop_at: usize) -> u64 {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let node = Node::start(&platform, &[listing("e1", 7, "plain", endpoint.address)], least_memory);
    let client = |number| {
        let text = text(number);
        let stop_at = stop_at.min(text.len());
        SlowClient { stream: None, text, piece, written: 0, stop_at }
    };
    let mut clients: Vec<SlowClient> = (0..CLIENTS).map(client).collect();
    // Only now: the texts take seconds on a busy machine, and a connection that is idle for so long is closed.
    let mut kept = Client::new(&node);
    let begun = Instant::now();
    thread::scope(|scope| {
        for clients in clients.chunks_mut(CLIENTS / 4) {
            let node = &node;
            scope.spawn(move || {
                while begun.elapsed() < FLOOD {
                    clients.iter_mut().for_each(|client| client.step(node));
                    thread::sleep(Duration::from_millis(1));
                }
            });
        }
        let mut number = 0;
        while begun.elapsed() < FLOOD {
            number += 1;
            let answer = kept.request(&submission(&format!("kept-{number}"), "order", 8, 20_000));
            assert!([202, 503].contains(&answer.status()), "{}", answer.first_line);
            thread::sleep(Duration::from_millis(50));
        }
    });
    let peak = node.peak_memory();
    println!("peak of {peak} bytes");
    assert_eq!(node.call("GET", "/control/ready").status(), 200, "the process serves on");
    peak
}

fn large_submission(number: usize) -> Vec<u8> {
    let head = submission(&format!("slow-{number}"), "order", 9, 20_000);
    let head = String::from_utf8(head).unwrap();
    let head = head.split("Content-Length").next().unwrap();
    let mut text = format!("{head}Content-Length: {LARGE_BODY}\r\n\r\n").into_bytes();
    text.resize(text.len() + LARGE_BODY, b'b');
    text
}

/// A head of as many short fields as fit below the limit of the head's size.
fn head_of_short_fields(number: usize, fields: usize) -> Vec<u8> {
    let head = String::from_utf8(submission(&format!("fields-{number}"), "order", 9, 20_000)).unwrap();
    let (line, rest) = head.split_once("\r\n").unwrap();
    let fields: String = (0..fields).map(|n| format!("X{n}: {n}\r\n")).collect();
    format!("{line}\r\n{fields}{rest}").into_bytes()
}

fn assert_within_limit(peak: u64) {
    assert!(peak < MEMORY_MB * 1_000_000, "peak of {peak} bytes");
}

/// Guards against a process that is killed for its memory while many clients write large requests slowly.
#[test]
fn large_requests_written_slowly_by_many_clients_stay_within_the_memory_limit() {
    assert_within_limit(flood(large_submission, 40, usize::MAX));
}

/// Guards against a process that is killed for its memory while many clients stop within large requests.
#[test]
fn large_requests_that_stop_half_way_stay_within_the_memory_limit() {
    assert_within_limit(flood(large_submission, LARGE_BODY, LARGE_BODY - 1000));
}

/// Guards against a process that is killed for its memory by heads of very many short fields.
#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    for (fields, piece) in [(90, 4096), (1500, 64), (4000, 4096)] {
        assert_within_limit(flood(|number| head_of_short_fields(number, fields), piece, usize::MAX));
    }
}

/// Guards against a process that is killed for its memory by heads that never end.
#[test]
fn heads_that_stop_before_their_end_stay_within_the_memory_limit() {
    assert_within_limit(flood(|number| head_of_short_fields(number, 1300), 700, 15_000));
}

/// An endpoint that begins each answer like this and then writes pieces for as long as it is read.
fn endless_endpoint(start: &'static str, piece: Vec<u8>, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, piece) = (stream.unwrap(), piece.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = stream.read(&mut [0; 4096]);
                let _ = stream.write_all(start.as_bytes());
                while stream.write_all(&piece).is_ok() {
                    thread::sleep(pause);
                }
            });
        }
    });
    address
}

/// Hands in messages for such an endpoint, with many calls at once, and returns the sender's peak memory.
fn call_endless(start: &'static str, piece: &[u8], pause: Duration) -> u64 {
    let platform = Platform::new();
    let address = endless_endpoint(start, piece.to_vec(), pause);
    let node = Node::start(&platform, &[listing("e1", 7, "plain", address)], |config| {
        least_memory(config);
        config["settings"]["family_info"]["calls_out"] = json!(200);
    });
    let begun = Instant::now();
    thread::scope(|scope| {
        for client in 0..8 {
            let node = &node;
            scope.spawn(move || {
                let mut kept = Client::new(node);
                for number in 0.. {
                    if begun.elapsed() >= FLOOD {
                        break;
                    }
                    let answer = kept.request(&submission(&format!("{client}-{number}"), "note", 7, 3000));
                    assert!([202, 503].contains(&answer.status()), "{}", answer.first_line);
                }
            });
        }
    });
    let peak = node.peak_memory();
    println!("peak of {peak} bytes");
    peak
}

/// Guards against a process that is killed for its memory while endpoints write answers that never end.
#[test]
fn answers_that_never_end_stay_within_the_memory_limit() {
    let no_pause = Duration::ZERO;
    assert_within_limit(call_endless("HTTP/1.1 200 OK\r\n", b"X-Spoilt: answer\r\n", no_pause));
    assert_within_limit(call_endless("HTTP/1.1 200 OK\r\nX: ", &[b'x'; 8192], no_pause));
    assert_within_limit(call_endless("HTTP/1.1 200 OK\r\n\r\n", &[b'x'; 65536], no_pause));
}

/// Guards against a process that is killed for its memory while endpoints write their answers bit by bit.
#[test]
fn answers_written_bit_by_bit_stay_within_the_memory_limit() {
    let pause = Duration::from_millis(1);
    assert_within_limit(call_endless("HTTP/1.1 200 OK\r\n\r\n", b"x", pause));
    assert_within_limit(call_endless("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", b"xyz", pause));
    assert_within_limit(call_endless("HTTP/1.1 200 OK\r\nX: ", b"x", pause));
}

/// Guards against a small message that holds the whole buffer that it was read into for as long as it is in hand.
#[test]
fn many_small_messages_in_hand_stay_within_the_memory_limit() {
    let platform = Platform::new();
    let node = Node::start(&platform, &[], least_memory);
    let mut taken = 0;
    thread::scope(|scope| {
        let clients: Vec<_> = (0..16)
            .map(|client| {
                let node = &node;
                scope.spawn(move || {
                    let mut kept = Client::new(node);
                    let texts = (0..200).map(|n| submission(&format!("{client}-{n}"), "order", 7, 20_000));
                    texts.filter(|text| kept.request(text).status() == 202).count()
                })
            })
            .collect();
        taken = clients.into_iter().map(|client| client.join().unwrap()).sum();
    });
    let peak = node.peak_memory();
    println!("{taken} messages taken, peak of {peak} bytes");
    assert!(taken > 1000, "{taken}");
    assert_within_limit(peak);
}

/// Guards against bounds that hold one by one, and not together.
#[test]
fn all_kinds_of_slow_clients_together_stay_within_the_memory_limit() {
    let mixed = |number: usize| match number % 3 {
        0 => large_submission(number),
        1 => head_of_short_fields(number, 90),
        _ => head_of_short_fields(number, 1300),
    };
    assert_within_limit(flood(mixed, 700, LARGE_BODY - 1000));
}
