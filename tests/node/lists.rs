//! Endpoint lists that are long, truncated, corrupt or unfinished: the sender applies every valid list,
//! otherwise keeps the list that it has, and reports why.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::world::*;

/// A discovery service whose answers the test writes itself.
struct Discovery {
    address: SocketAddr,
    /// The number of requests for the list.
    list_requests: Arc<AtomicUsize>,
}

impl Discovery {
    /// For each request for a list `answer` writes to the connection, which is then closed.
    fn new(answer: impl Fn(&mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list_requests = Arc::new(AtomicUsize::new(0));
        let (counted, answer) = (list_requests.clone(), Arc::new(answer));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (counted, answer) = (counted.clone(), answer.clone());
                let mut input = BufReader::new(stream.unwrap());
                thread::spawn(move || {
                    let Some(http) = Http::read(&mut input) else { return };
                    if !http.first_line.starts_with("GET /v1/endpoints") {
                        return;
                    }
                    counted.fetch_add(1, Ordering::SeqCst);
                    // The sender may have closed the connection.
                    let _ = answer(input.get_mut());
                });
            }
        });
        Self { address, list_requests }
    }

    fn list_requests(&self) -> usize {
        self.list_requests.load(Ordering::SeqCst)
    }
}

fn head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n")
}

/// A whole list with one endpoint for each destination from 0 on, all at this address.
fn whole_list(index: u64, destinations: usize, address: SocketAddr) -> String {
    let entry = |group: usize| {
        format!(
            "{{\"name\":\"s-{group:08x}\",\"address\":\"{address}\",\"zone\":\"a\",\"type\":\"plain\",\
             \"group\":{group},\"status\":\"active\",\"weight\":50.0,\"since_ms\":0}}"
        )
    };
    let entries: Vec<_> = (0..destinations).map(entry).collect();
    format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","))
}

/// A sender configured with one endpoint, of destination 7, and with this discovery service.
fn start(discovery: &Discovery, endpoint: &TestServer) -> Node {
    let known = [listing("e1", 7, "plain", endpoint.address)];
    Node::start(&Platform::new(), &known, |config| {
        config["mgmt"] = json!("127.0.0.1:0");
        config["discovery"] = json!(discovery.address.to_string());
    })
}

fn counters(node: &Node) -> Value {
    node.call("GET", "/control/counters").json()
}

fn submit_and_deliver(node: &Node, endpoint: &TestServer, id: &str, destination: u16) {
    assert_eq!(node.submit(id, "order", destination, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], id);
    call.reply(status(200));
}

/// Found with 7,000 destinations: the sender accepted no list of over 1 MiB, delivered nothing and reported
/// nothing.
#[test]
fn a_message_is_delivered_to_the_last_of_ten_thousand_destinations() {
    let (first, last) = (TestServer::new(), TestServer::new());
    let text = whole_list(5, 10_000, last.address);
    let discovery = Discovery::new(move |stream| {
        stream.write_all(head(text.len()).as_bytes())?;
        stream.write_all(text.as_bytes())?;
        // From now on the watch gets no answer.
        thread::sleep(TIMEOUT);
        Ok(())
    });
    let node = start(&discovery, &first);
    submit_and_deliver(&node, &last, "a", 9999);
    let counters = counters(&node);
    assert_eq!((&counters["cluster_size"], &counters["list"]), (&json!(10_000), &Value::Null));
}

/// After an invalid list the previous one stays in force, operators are told why, and discovery is not
/// flooded with requests.
#[test]
fn an_invalid_list_leaves_the_previous_one_in_force_and_is_reported() {
    let endpoint = TestServer::new();
    let (short, long) = (whole_list(5, 50, endpoint.address), whole_list(5, 10_000, endpoint.address));
    let truncated = |text: &str, at: usize| (format!("{}{}", head(text.len()), &text[..at]), "list.cut");
    let corrupt =
        |text: &str| (format!("{}{}!", head(text.len()), &text[..text.len() - 1]), "list.malformed");
    let cases = [
        truncated(&short, 1),
        truncated(&short, short.len() - 1),
        truncated(&long, 200_000),
        truncated(&long, long.len() / 2),
        truncated(&long, long.len() - 1),
        corrupt(&short),
        corrupt(&long),
    ];
    let checks = cases.map(|(text, code)| {
        thread::spawn(move || {
            let endpoint = TestServer::new();
            let discovery = Discovery::new(move |stream| stream.write_all(text.as_bytes()));
            let node = start(&discovery, &endpoint);
            let before = discovery.list_requests();
            thread::sleep(Duration::from_secs(5));
            let list_requests = discovery.list_requests() - before;
            assert!((1..=12).contains(&list_requests), "{code}: {list_requests} requests in 5 s");
            submit_and_deliver(&node, &endpoint, "a", 7);
            let counters = counters(&node);
            assert_eq!(counters["list"]["last_error"], code);
            assert!(counters["list"]["refused"].as_u64().unwrap() >= 4, "{counters}");
            assert_eq!((&counters["cluster_size"], &counters["list"]["index"]), (&json!(1), &json!(0)));
            let log = node.log();
            let lines = log.lines().filter(|line| line.contains(code) && line.contains("remedy")).count();
            assert!((4..=20).contains(&lines), "{code}: {lines} lines of {log}");
        })
    });
    checks.into_iter().for_each(|case| case.join().unwrap());
}

/// A discovery service that writes a list in tenths, up to its last byte, and signals the test after each;
/// `last` follows once the test sets the flag.
fn discovery_with_paused_list(
    destinations: usize,
    last: &'static str,
) -> (Discovery, Receiver<()>, Arc<Mutex<bool>>) {
    let (written, progress) = channel();
    let finish = Arc::new(Mutex::new(false));
    let text = whole_list(5, destinations, "127.0.0.1:9".parse().unwrap());
    let (go, written) = (finish.clone(), Mutex::new(written));
    let discovery = Discovery::new(move |stream| {
        stream.write_all(head(text.len()).as_bytes())?;
        let most = &text.as_bytes()[..text.len() - 1];
        for piece in most.chunks(most.len() / 10 + 1) {
            stream.write_all(piece)?;
            let _ = written.lock().unwrap().send(());
            thread::sleep(Duration::from_millis(100));
        }
        while !*go.lock().unwrap() {
            thread::sleep(Duration::from_millis(20));
        }
        stream.write_all(last.as_bytes())
    });
    (discovery, progress, finish)
}

/// Reading a list must not block the event loop: neither while the list arrives nor at its end, where this
/// one is corrupt.
#[test]
fn clients_are_answered_in_time_while_a_long_list_is_read() {
    let endpoint = TestServer::new();
    let (discovery, progress, finish) = discovery_with_paused_list(200_000, "!");
    let node = start(&discovery, &endpoint);
    let mut client = Client::new(&node);
    let (mut longest, mut answered) = (Duration::ZERO, 0);
    let mut submit = || {
        let begun = Instant::now();
        assert_eq!(client.request(&submission(&format!("m{answered}"), "order", 7, 20_000)).status(), 202);
        longest = longest.max(begun.elapsed());
        answered += 1;
        endpoint.next().reply(status(200));
    };
    for _ in 0..10 {
        progress.recv_timeout(TIMEOUT).unwrap();
        (0..3).for_each(|_| submit());
    }
    assert_eq!(discovery.list_requests(), 1, "the first list is still being read");
    *finish.lock().unwrap() = true;
    wait_until(|| {
        submit();
        counters(&node)["list"]["last_error"] == "list.malformed"
    });
    assert!(longest < Duration::from_millis(150), "a 202 took {longest:?}");
    println!("the slowest of {answered} answers took {longest:?}");
}

/// The process ends in time although a list is being read, and nothing of the list is used.
#[test]
fn a_terminated_process_does_not_wait_for_a_list() {
    let endpoint = TestServer::new();
    let (discovery, progress, _) = discovery_with_paused_list(100_000, "}");
    let mut node = start(&discovery, &endpoint);
    for _ in 0..3 {
        progress.recv_timeout(TIMEOUT).unwrap();
    }
    let begun = Instant::now();
    node.terminate();
    assert_eq!(node.exit_code(), Some(0));
    assert!(begun.elapsed() < Duration::from_millis(3700), "it ended after {:?}", begun.elapsed());
}

/// When the discovery address changes while a list is being read, the new service's list is applied and the
/// old one's is dropped.
#[test]
fn a_list_being_read_is_dropped_when_the_discovery_address_changes() {
    let (endpoint, moved_to) = (TestServer::new(), TestServer::new());
    let (discovery, progress, finish) = discovery_with_paused_list(100_000, "}");
    let node = start(&discovery, &endpoint);
    for _ in 0..3 {
        progress.recv_timeout(TIMEOUT).unwrap();
    }
    let other = Platform::new();
    other.publish(&[listing("e2", 8, "plain", moved_to.address)]);
    node.reload(|config| config["discovery"] = json!(other.address.to_string()));
    submit_and_deliver(&node, &moved_to, "a", 8);
    *finish.lock().unwrap() = true;
    let counters = counters(&node);
    assert_eq!((&counters["cluster_size"], &counters["list"]), (&json!(1), &Value::Null));
}

/// Found with 5,000 endpoints in the configuration: it was rejected at 262,144 bytes.
#[test]
fn a_configuration_with_a_long_list_is_accepted_at_start_and_at_reload() {
    let (platform, endpoint) = (Platform::new(), TestServer::new());
    let known: Vec<_> =
        (0..5000).map(|n| listing(&format!("s-{n:08x}"), n, "plain", endpoint.address)).collect();
    let node = Node::start(&platform, &known, |config| config["mgmt"] = json!("127.0.0.1:0"));
    submit_and_deliver(&node, &endpoint, "a", 4999);
    assert_eq!(counters(&node)["cluster_size"], 5000);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("candidate.json");
    std::fs::write(&file, node.configuration().to_string()).unwrap();
    let program = env!("CARGO_BIN_EXE_myrtleyard");
    let checked = std::process::Command::new(program).arg("--check").arg(&file).output().unwrap();
    assert_eq!(String::from_utf8_lossy(&checked.stdout), "{\"faults\":[],\"valid\":true}\n");
    node.reload_and_wait(|config| config["settings"]["limits"]["try_limit"] = json!(5));
    // A fault in the list is reported, and changes nothing.
    node.reload(|config| config["known"]["endpoints"][4999]["group"] = json!("seven"));
    wait_until(|| counters(&node)["conf_invalid"] == 1);
    wait_until(|| node.log().contains("known.endpoints: list.malformed"));
    submit_and_deliver(&node, &endpoint, "b", 4998);
}
