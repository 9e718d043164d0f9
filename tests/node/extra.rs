//! Good answers that bring more than belongs to them: a second copy, or noise straight after.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::world::*;

/// Noise that follows an answer: as bytes, and how much later.
const EXTRAS: [(&str, u64); 6] = [
    ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 0),
    ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 3),
    ("HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n", 0),
    ("\0\u{1}noise", 0),
    ("\r\n\r\n", 0),
    ("noise", 3),
];

/// A server that answers each request like this, writes something more, and reads on.
struct ChattyServer {
    address: SocketAddr,
    requests: Receiver<Http>,
}

impl ChattyServer {
    fn new(answer: &str, extra: &str, delay_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        let (answer, extra) = (answer.to_owned(), extra.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (sender, answer, extra) = (sender.clone(), answer.clone(), extra.clone());
                thread::spawn(move || chat(stream.unwrap(), &sender, &answer, &extra, delay_ms));
            }
        });
        Self { address, requests }
    }

    fn next(&self) -> Http {
        self.requests.recv_timeout(TIMEOUT).expect("a request arrives")
    }
}

fn chat(stream: TcpStream, requests: &Sender<Http>, answer: &str, extra: &str, delay_ms: u64) {
    stream.set_nodelay(true).unwrap();
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(http) = Http::read(&mut input) {
        if requests.send(http).is_err() {
            return;
        }
        let together = if delay_ms == 0 { format!("{answer}{extra}") } else { answer.to_owned() };
        if out.write_all(together.as_bytes()).is_err() {
            return;
        }
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
            let _ = out.write_all(extra.as_bytes());
        }
    }
}

fn start(platform: &Platform, kind: &str, endpoint: SocketAddr) -> Node {
    Node::start(platform, &[listing("e1", 7, kind, endpoint)], |config| config["mgmt"] = json!("127.0.0.1:0"))
}

/// Guards against a delivered message that is called again, and against noise that is taken for the answer to the
/// next message.
#[test]
fn a_good_answer_counts_whatever_follows_it() {
    for (extra, delay_ms) in EXTRAS {
        let (platform, endpoint) = (
            Platform::new(),
            ChattyServer::new("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", extra, delay_ms),
        );
        let node = start(&platform, "plain", endpoint.address);
        for number in 0..10 {
            let id = format!("m{number}");
            assert_eq!(node.submit(&id, "order", 7, 20_000).status(), 202);
            assert_eq!(endpoint.next().headers["req-id"], id, "{extra:?}");
            wait_until(|| node.call("GET", "/control/counters").json()["answered"]["order"] == number + 1);
        }
        assert!(endpoint.requests.try_recv().is_err(), "{extra:?}");
        assert!(platform.notices.try_recv().is_err(), "{extra:?}");
    }
}

/// Guards against a batch whose good answer is lost with what follows it.
#[test]
fn a_good_answer_to_a_batch_counts_whatever_follows_it() {
    for (extra, delay_ms) in EXTRAS {
        let body = json!([{"id": "a", "state": "ok"}, {"id": "b", "state": "ok"}]).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        let (platform, endpoint) = (Platform::new(), ChattyServer::new(&answer, extra, delay_ms));
        let node = Node::start(&platform, &[], |config| config["mgmt"] = json!("127.0.0.1:0"));
        for id in ["a", "b"] {
            assert_eq!(node.submit(id, "order", 7, 20_000).status(), 202);
        }
        platform.publish(&[listing("e1", 7, "bulk", endpoint.address)]);
        assert_eq!(endpoint.next().first_line, "POST /v1/messages:batch HTTP/1.1");
        wait_until(|| node.call("GET", "/control/counters").json()["answered"]["order"] == 2);
        assert!(endpoint.requests.try_recv().is_err(), "{extra:?}");
    }
}

/// Guards against a refusal, or its wait, that is lost with what follows it.
#[test]
fn a_requested_wait_is_kept_whatever_follows_it() {
    for (extra, delay_ms) in EXTRAS {
        let answer = "HTTP/1.1 429 X\r\nretry-after: 0.6\r\ncontent-length: 0\r\n\r\n";
        let (platform, endpoint) = (Platform::new(), ChattyServer::new(answer, extra, delay_ms));
        let node = start(&platform, "plain", endpoint.address);
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        endpoint.next();
        let told = std::time::Instant::now();
        assert_eq!(endpoint.next().headers["req-id"], "a", "it never ran, and is called again");
        assert!(told.elapsed() >= Duration::from_millis(500), "{extra:?}: after {:?}", told.elapsed());
        drop(node);
    }
}

/// Guards against a list that is refused for what follows it.
#[test]
fn a_list_counts_whatever_follows_it() {
    for (extra, delay_ms) in EXTRAS {
        let endpoint = TestServer::new();
        let list = json!({"index": 5, "snapshot": true,
                          "endpoints": [listing("e1", 7, "plain", endpoint.address)]});
        let list = list.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
        let discovery = ChattyServer::new(&answer, extra, delay_ms);
        let platform = Platform::new();
        let node = Node::start(&platform, &[], |config| {
            config["discovery"] = json!(discovery.address.to_string());
            config["mgmt"] = json!("127.0.0.1:0");
        });
        assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
        endpoint.next().reply(status(200));
        drop(node);
    }
}

/// Guards against a notice that is repeated for what follows its answer.
#[test]
fn a_notice_is_sent_once_whatever_follows_its_answer() {
    for (extra, delay_ms) in EXTRAS {
        let discovery =
            ChattyServer::new("HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n", extra, delay_ms);
        let platform = Platform::new();
        let node = Node::start(&platform, &[], |config| {
            config["discovery"] = json!(discovery.address.to_string());
            config["mgmt"] = json!("127.0.0.1:0");
        });
        assert_eq!(node.submit("a", "order", 9, 300).status(), 202);
        wait_until(|| node.call("GET", "/control/counters").json()["deferred"]["order"] == 1);
        wait_until(|| node.journal_length() > 0);
        thread::sleep(Duration::from_millis(700));
        let requests = discovery.requests.try_iter();
        let notices = requests.filter(|http| http.first_line.starts_with("POST /reports ")).count();
        assert_eq!(notices, 1, "{extra:?}");
    }
}
