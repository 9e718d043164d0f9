//! The environment of a sender process, over loopback sockets: a platform, endpoints and clients that the
//! test controls. Tests wait for events, bounded by a timeout so that a failure ends the test.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until the condition holds.
pub fn wait_until(mut so: impl FnMut() -> bool) {
    let begun = std::time::Instant::now();
    while !so() {
        assert!(begun.elapsed() < TIMEOUT, "the condition holds within the timeout");
        thread::yield_now();
    }
}

/// A request or an answer: its first line, its headers with names in lower case, and its body.
#[derive(Debug, Clone)]
pub struct Http {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn read(stream: &mut impl BufRead) -> Option<Self> {
        let mut line = String::new();
        let mut next = |stream: &mut dyn BufRead| {
            line.clear();
            let size = stream.read_line(&mut line).ok()?;
            (size > 0).then(|| line.trim_end().to_owned())
        };
        let first_line = next(stream)?;
        let mut headers = HashMap::new();
        loop {
            let line = next(stream)?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").map_or(0, |n| n.parse().unwrap());
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(Self { first_line, headers, body })
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).unwrap().parse().unwrap()
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// What an endpoint or the platform does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    Answer(u16, Vec<(&'static str, String)>, String),
    Bytes(&'static [u8]),
    Close,
}

pub fn status(code: u16) -> Reply {
    Reply::Answer(code, vec![], String::new())
}

/// A request that waits for the test's reply.
pub struct PendingRequest {
    pub http: Http,
    /// The number of its connection.
    pub connection: usize,
    reply: Sender<Reply>,
    pub closed: Receiver<()>,
}

impl PendingRequest {
    pub fn reply(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }
}

/// A server that passes its requests to the test one by one.
pub struct TestServer {
    pub address: SocketAddr,
    requests: Receiver<PendingRequest>,
}

impl TestServer {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, requests) = channel();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (sender, stream) = (sender.clone(), stream.unwrap());
                thread::spawn(move || serve_connection(stream, connection, &sender));
            }
        });
        Self { address, requests }
    }

    /// The next request.
    pub fn next(&self) -> PendingRequest {
        self.requests.recv_timeout(TIMEOUT).expect("a request arrives")
    }

    /// The next request, if one arrives within that time.
    pub fn try_next(&self, within: Duration) -> Option<PendingRequest> {
        self.requests.recv_timeout(within).ok()
    }

    /// Whether a request has arrived that the test has not taken.
    pub fn has_unread_request(&self) -> bool {
        self.requests.try_recv().is_ok()
    }
}

/// A server whose backlog is full: a connection is established only after
/// [`FullBacklogServer::accept_pending`], when the kernel retries it.
pub struct FullBacklogServer {
    pub address: SocketAddr,
    listener: TcpListener,
    /// Fills the backlog.
    _first: TcpStream,
}

impl FullBacklogServer {
    pub fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
        let listener = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            socket.listen(0).unwrap().into_std().unwrap()
        });
        listener.set_nonblocking(false).unwrap();
        let address = listener.local_addr().unwrap();
        let first = TcpStream::connect(address).unwrap();
        Self { address, listener, _first: first }
    }

    /// Accepts the connection that waits.
    pub fn accept_pending(&self) -> TcpStream {
        drop(self.listener.accept().unwrap());
        self.listener.accept().unwrap().0
    }
}

fn serve_connection(stream: TcpStream, connection: usize, requests: &Sender<PendingRequest>) {
    let mut out = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(http) = Http::read(&mut input) {
        let (reply, replied) = channel();
        let (close, closed) = channel();
        if requests.send(PendingRequest { http, connection, reply, closed }).is_err() {
            return;
        }
        // The other side sends nothing more before its answer: if anything can be read, it is the end of the
        // stream.
        let watched = out.try_clone().unwrap();
        let reply = loop {
            match replied.recv_timeout(Duration::from_millis(5)) {
                Ok(reply) => break reply,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
                Err(_) => {
                    watched.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
                    if matches!(watched.peek(&mut [0]), Ok(0)) {
                        let _ = close.send(());
                        return;
                    }
                    watched.set_read_timeout(None).unwrap();
                }
            }
        };
        watched.set_read_timeout(None).unwrap();
        match reply {
            Reply::Answer(code, headers, body) => {
                let mut text = format!("HTTP/1.1 {code} X\r\ncontent-length: {}\r\n", body.len());
                for (name, value) in headers {
                    text += &format!("{name}: {value}\r\n");
                }
                if out.write_all(format!("{text}\r\n{body}").as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Bytes(bytes) => {
                let _ = out.write_all(bytes);
                return;
            }
            Reply::Close => return,
        }
    }
}

/// Discovery, and the receiver of notices.
pub struct Platform {
    pub address: SocketAddr,
    list: Arc<(Mutex<Value>, Condvar)>,
    pub notices: Receiver<PendingRequest>,
    /// Paths of the requests for the list.
    pub list_requests: Receiver<String>,
}

impl Platform {
    pub fn new() -> Self {
        let server = TestServer::new();
        let list = Arc::new((Mutex::new(json!({"index": 1})), Condvar::new()));
        let (notice, notices) = channel();
        let (list_request, list_requests) = channel();
        let published = list.clone();
        let address = server.address;
        thread::spawn(move || {
            while let Ok(request) = server.requests.recv() {
                if request.http.first_line.starts_with("POST /reports ") {
                    let _ = notice.send(request);
                    continue;
                }
                let path = request.http.first_line.split(' ').nth(1).unwrap().to_owned();
                let _ = list_request.send(path.clone());
                let from = path.split("from=").nth(1).and_then(|f| f.split('&').next());
                let from: u64 = from.map_or(0, |from| from.parse().unwrap());
                let published = published.clone();
                thread::spawn(move || {
                    let (list, changed) = &*published;
                    let mut list = list.lock().unwrap();
                    while list["index"].as_u64().unwrap() <= from {
                        list = changed.wait(list).unwrap();
                    }
                    request.reply(Reply::Answer(200, vec![], list.to_string()));
                });
            }
        });
        Self { address, list, notices, list_requests }
    }

    /// Replaces the whole list.
    pub fn publish(&self, endpoints: &[Value]) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        let index = list["index"].as_u64().unwrap() + 1;
        *list = json!({"index": index, "snapshot": true, "endpoints": endpoints});
        changed.notify_all();
    }

    /// Publishes changed entries; a request for the whole list gets only these, too.
    pub fn publish_changes(&self, endpoints: &[Value]) {
        let (list, changed) = &*self.list;
        let mut list = list.lock().unwrap();
        let index = list["index"].as_u64().unwrap() + 1;
        *list = json!({"index": index, "snapshot": false, "endpoints": endpoints});
        changed.notify_all();
    }

    /// The next notice, which is answered with this status.
    pub fn notice(&self, code: u16) -> Vec<Value> {
        let request = self.notices.recv_timeout(TIMEOUT).expect("a notice arrives");
        let text = String::from_utf8(request.http.body.clone()).unwrap();
        request.reply(status(code));
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    }
}

pub fn listing(name: &str, group: u16, kind: &str, address: SocketAddr) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": kind, "group": group,
           "status": "active", "weight": 50.0, "since_ms": 0})
}

/// Addresses for datagrams on different hosts, each free when it was chosen.
pub fn free_addresses(count: u8) -> Vec<String> {
    let sockets: Vec<UdpSocket> =
        (0..count).map(|n| UdpSocket::bind(format!("127.0.0.{}:0", n + 2)).unwrap()).collect();
    sockets.iter().map(|socket| socket.local_addr().unwrap().to_string()).collect()
}

/// A sender process, with its state folder, which outlives it.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    /// The management address, if the configuration has one.
    mgmt: Option<SocketAddr>,
    /// The listening socket that all processes of the sender inherit, if there is one.
    listener: Option<TcpListener>,
    folder: Arc<tempfile::TempDir>,
    /// Its log since it was ready.
    log: Arc<Mutex<String>>,
    /// Environment variables of its later processes.
    environment: Vec<(&'static str, std::path::PathBuf)>,
}

pub fn command(folder: &std::path::Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_myrtleyard"));
    set_environment(&mut command, folder);
    command
}

fn set_environment(command: &mut Command, folder: &std::path::Path) {
    command
        .env_remove("NODE_LISTEN")
        .env_remove("NODE_MGMT")
        .env_remove("NODE_LISTEN_FD")
        .env_remove("NODE_DISCOVERY")
        .env_remove("NODE_NAME");
    command.env("NODE_CONFIG", folder.join("config.json")).env("NODE_STATE", folder.join("state"));
}

impl Node {
    /// Starts a sender that knows these endpoints; `change` alters its configuration.
    pub fn start(platform: &Platform, endpoints: &[Value], change: impl FnOnce(&mut Value)) -> Self {
        let folder = Self::configure(platform, endpoints, change);
        let command = command(folder.path());
        Self::spawn(folder, command)
    }

    /// Starts a sender with these environment variables, which its later processes have, too.
    pub fn start_with_environment(
        platform: &Platform,
        endpoints: &[Value],
        environment: &[(&'static str, std::path::PathBuf)],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let folder = Self::configure(platform, endpoints, change);
        let mut command = command(folder.path());
        command.envs(environment.iter().cloned());
        let mut node = Self::spawn(folder, command);
        node.environment = environment.to_vec();
        node
    }

    /// Starts a sender whose files can't grow beyond one block, so that writes to the journal fail.
    pub fn start_short_of_disk(platform: &Platform, endpoints: &[Value]) -> Self {
        let folder = Self::configure(platform, endpoints, |_| {});
        let mut shell = Command::new("sh");
        let program = env!("CARGO_BIN_EXE_myrtleyard");
        shell.args(["-c", "trap '' XFSZ; ulimit -f 1; exec \"$0\"", program]);
        set_environment(&mut shell, folder.path());
        Self::spawn(folder, shell)
    }

    /// Starts a sender with an inherited client socket, which outlives its processes, and a management
    /// address.
    pub fn start_inheriting(platform: &Platform, endpoints: &[Value]) -> Self {
        Self::start_inheriting_with(platform, endpoints, |config| config["mgmt"] = json!("127.0.0.1:0"))
    }

    /// Starts a sender with an inherited client socket; `change` alters its configuration.
    pub fn start_inheriting_with(
        platform: &Platform,
        endpoints: &[Value],
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let folder = Self::configure(platform, endpoints, change);
        Self::inherit(folder, TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn inherit(folder: Arc<tempfile::TempDir>, listener: TcpListener) -> Self {
        let mut shell = Command::new("sh");
        shell.args(["-c", "exec \"$0\" 3<&0 </dev/null", env!("CARGO_BIN_EXE_myrtleyard")]);
        set_environment(&mut shell, folder.path());
        shell.env("NODE_LISTEN_FD", "3").stdin(OwnedFd::from(listener.try_clone().unwrap()));
        let mut node = Self::spawn(folder, shell);
        node.listener = Some(listener);
        node
    }

    /// Starts a new process of the same sender beside this one; returns once it accepts clients.
    pub fn start_successor(&self) -> Self {
        let listener = self.listener.as_ref().unwrap().try_clone().unwrap();
        Self::inherit(self.folder.clone(), listener)
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    fn configure(
        platform: &Platform,
        endpoints: &[Value],
        change: impl FnOnce(&mut Value),
    ) -> Arc<tempfile::TempDir> {
        let folder = tempfile::tempdir().unwrap();
        let mut config = json!({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": platform.address.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"index": 1, "snapshot": true, "endpoints": endpoints},
            "settings": {
                "classes": [
                    {"name": "note", "effect": "by_key", "group": "all", "dedup_window_us": 20_000_000,
                     "on_time_us": 4_000_000, "hard_limit_us": 24_000_000, "importance": 2.0},
                    {"name": "order", "effect": "once", "on_time_us": 4_000_000,
                     "hard_limit_us": 24_000_000, "importance": 1.0}],
                "skus": ["bulk", "plain"], "azs": ["a"], "balancers": 1, "period_us": 5000,
                "family_info": {"calls_out": 8, "bundle_max": [5, 1], "own_limits": [false, false]},
                "limits": {"max_open": 100, "try_limit": 6, "connect_timeout_us": 1_000_000,
                           "idle_close_us": 5_000_000, "max_retry_after_us": 3_000_000},
                "load_report": {"fields": ["x0", "x1"]},
                "obligations": {"answer_slack_us": 20_000, "cold_share": 0.18, "warm_within_us": 14_000_000,
                                "fall_multiple": 2.0, "overload_for_us": 3_000_000,
                                "stop_sending_within_us": 2_000_000}}});
        change(&mut config);
        std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
        Arc::new(folder)
    }

    fn spawn(folder: Arc<tempfile::TempDir>, mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        // Any lines may precede the one that says it is ready; an empty read means that it has ended.
        while !line.contains("ready on ") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the process ended before it was ready");
        }
        let address = line.split("ready on ").nth(1).and_then(|rest| rest.split(' ').next());
        let address = address.unwrap_or_else(|| panic!("not ready: {line}")).parse().unwrap();
        let log_text = Arc::<Mutex<String>>::default();
        let written = log_text.clone();
        thread::spawn(move || {
            for line in log.split(b'\n').map_while(Result::ok) {
                *written.lock().unwrap() += &(String::from_utf8_lossy(&line) + "\n");
            }
        });
        let mgmt = line.split("operators call at ").nth(1).map(|at| at.trim().parse().unwrap());
        let environment = Vec::new();
        Self { child, address, mgmt, listener: None, folder, log: log_text, environment }
    }

    /// SIGKILL, then a new process on the same folder.
    pub fn kill_and_restart(self) -> Self {
        self.kill_and_restart_after(|_| {})
    }

    /// SIGKILL, then a new process; `change` alters the state folder in between.
    pub fn kill_and_restart_after(mut self, change: impl FnOnce(&std::path::Path)) -> Self {
        self.kill();
        change(&self.state_folder());
        self.restart();
        self
    }

    /// Starts a new process on the same folder, once the one before it was killed.
    pub fn restart(&mut self) {
        let mut command = command(self.folder.path());
        command.envs(self.environment.iter().cloned());
        let mut node = Self::spawn(self.folder.clone(), command);
        node.environment = std::mem::take(&mut self.environment);
        *self = node;
    }

    /// The state folder.
    pub fn state_folder(&self) -> std::path::PathBuf {
        self.folder.path().join("state")
    }

    /// Its log since it was ready.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// The number of file descriptors that the process holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// The peak of the process's resident memory, bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        let kilobytes: u64 = line.split_whitespace().nth(1).unwrap().parse().unwrap();
        kilobytes * 1024
    }

    /// The names of the files in the state folder.
    pub fn files(&self) -> Vec<String> {
        let entries = std::fs::read_dir(self.state_folder()).unwrap();
        let mut names: Vec<_> = entries.map(|e| e.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    /// The configuration as the platform wrote it.
    pub fn configuration(&self) -> Value {
        serde_json::from_slice(&std::fs::read(self.folder.path().join("config.json")).unwrap()).unwrap()
    }

    /// The management address.
    pub fn mgmt(&self) -> SocketAddr {
        self.mgmt.expect("the configuration has mgmt")
    }

    /// An operator's call.
    pub fn call(&self, method: &str, path: &str) -> Http {
        self.raw_call(&format!("{method} {path} HTTP/1.1\r\nHost: mgmt\r\n\r\n"))
    }

    /// An operator's call with a body.
    pub fn post(&self, path: &str, body: &str) -> Http {
        let length = body.len();
        self.raw_call(&format!(
            "POST {path} HTTP/1.1\r\nHost: mgmt\r\nContent-Length: {length}\r\n\r\n{body}"
        ))
    }

    /// Sends the text of an operator's call.
    pub fn raw_call(&self, text: &str) -> Http {
        let mut client = Client::to(self.mgmt());
        let answer = client.request(text.as_bytes());
        assert!(client.is_closed(), "one call per connection");
        answer
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }

    /// Rewrites the configuration and has the sender reload it.
    pub fn reload(&self, change: impl FnOnce(&mut Value)) {
        self.rewrite_config(change);
        self.signal("HUP");
    }

    /// Rewrites the configuration, without a reload.
    pub fn rewrite_config(&self, change: impl FnOnce(&mut Value)) {
        let path = self.folder.path().join("config.json");
        let mut config = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        change(&mut config);
        std::fs::write(path, config.to_string()).unwrap();
    }

    /// Reloads a changed configuration and waits until it is in force. The configuration must have `mgmt`.
    pub fn reload_and_wait(&self, change: impl FnOnce(&mut Value)) {
        let loaded = || self.call("GET", "/control/counters").json()["conf_loaded"].as_u64().unwrap();
        let before = loaded();
        self.reload(change);
        wait_until(|| loaded() > before);
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    pub fn journal_length(&self) -> u64 {
        std::fs::metadata(self.folder.path().join("state/journal")).unwrap().len()
    }

    /// Sends one request on its own connection.
    pub fn request(&self, text: &[u8]) -> Http {
        Client::new(self).request(text)
    }

    /// Submits a message.
    pub fn submit(&self, id: &str, class: &str, dest: u16, within_ms: u32) -> Http {
        self.request(&submission(id, class, dest, within_ms))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(node: &Node) -> Self {
        Self::to(node.address)
    }

    fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }

    pub fn request(&mut self, text: &[u8]) -> Http {
        self.0.get_mut().write_all(text).unwrap();
        Http::read(&mut self.0).expect("an answer arrives")
    }

    /// Sends the head of a request and returns the body, to be sent after the sender's `100 Continue`.
    pub fn send_head(&mut self, text: &[u8]) -> Vec<u8> {
        let split = text.windows(4).position(|end| end == b"\r\n\r\n").unwrap() + 2;
        let head = [&text[..split], b"Expect: 100-continue\r\n\r\n"].concat();
        assert_eq!(self.request(&head).status(), 100);
        text[split + 2..].to_vec()
    }

    /// Sends the text and closes the connection without waiting for an answer.
    pub fn send_and_close(mut self, text: &[u8]) {
        self.0.get_mut().write_all(text).unwrap();
    }

    /// Sends the text, and closes the connection after `then` without having read an answer.
    pub fn send_and_wait_to_leave(mut self, text: &[u8], then: impl FnOnce()) {
        self.0.get_mut().write_all(text).unwrap();
        then();
    }

    /// Whether the server has closed the connection; waits until it does or the timeout is over.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

pub fn submission(id: &str, class: &str, dest: u16, within_ms: u32) -> Vec<u8> {
    let key = if class == "note" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    let body = format!("body\0of {id}");
    format!(
        "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n{key}\
         Req-Deadline-Ms: {within_ms}\r\nX-Consignee: dest={dest}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
