//! Stand-ins for the cases: clients, endpoints, the discovery agents and the links between senders, all on
//! loopback addresses, and the sender's own processes, started with the command of the deploy file.

use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn pause(n: u64) {
    thread::sleep(ms(n));
}

/// What was seen, by time since the beginning of the run, in milliseconds.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Vec<(u64, String)>>)>);

impl Record {
    pub fn new() -> Self {
        Self(Arc::new((Instant::now(), Mutex::default())))
    }
    pub fn now(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }
    pub fn note(&self, text: impl Into<String>) -> u64 {
        let mut lines = self.0.1.lock().unwrap();
        let now = self.now();
        lines.push((now, text.into()));
        now
    }
    pub fn write(&self, path: &Path) {
        let lines = self.0.1.lock().unwrap();
        let text: String = lines.iter().map(|(at, line)| format!("{at:>7} ms  {line}\n")).collect();
        fs::write(path, text).expect("the record is written");
    }
}

/// Loopback addresses that nobody else uses: 127.A.B.x, claimed by a listening socket.
pub struct Block {
    net: [u8; 3],
    _claim: TcpListener,
}

impl Block {
    pub fn claim() -> Self {
        let mut seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        for _ in 0..200 {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let net = [127, 64 + (seed >> 33) as u8 % 180, (seed >> 45) as u8];
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(net[0], net[1], net[2], 254), 7999)) {
                return Self { net, _claim: claim };
            }
        }
        panic!("no free block of loopback addresses");
    }
    pub fn ip(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], last).into()
    }
    pub fn at(&self, last: u8, port: u16) -> SocketAddr {
        (self.ip(last), port).into()
    }
}

// HTTP, as far as the stand-ins need it.

/// A request or a response: its first line, its headers in lower case, its body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first = String::new();
    if from.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let (mut headers, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let (name, value) = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            if name == "content-length" {
                length = value.parse().ok()?;
            }
            headers.push((name, value));
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    Some(Message { first: first.trim_end().to_owned(), headers, body })
}

pub fn respond(to: &mut TcpStream, status: &str, more: &str, body: &str) -> std::io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{more}\r\n{body}", body.len());
    to.write_all(text.as_bytes())
}

fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| panic!("{address}: {e}"));
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// One HTTP call on a connection of its own; `None` without an answer within `within`.
pub fn call(address: SocketAddr, text: &[u8], within: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(text).ok()?;
    read_message(&mut BufReader::new(stream))
}

// The list of endpoints.

#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub group: u32,
    /// The endpoint's place among all: it gives its addresses.
    pub place: u8,
}

pub struct List {
    state: Mutex<(u64, Vec<Listed>)>,
    changed: Condvar,
}

impl List {
    /// Makes these endpoints the list's next version, which agents send whole.
    pub fn replace(&self, endpoints: Vec<Listed>) {
        let mut state = self.state.lock().unwrap();
        *state = (state.0 + 1, endpoints);
        self.changed.notify_all();
    }
}

impl List {
    pub fn new(endpoints: Vec<Listed>) -> Arc<Self> {
        Arc::new(Self { state: Mutex::new((41, endpoints)), changed: Condvar::new() })
    }
    /// The whole list, with the addresses for this sender.
    pub fn json(&self, block: &Block, sender: usize) -> String {
        let state = self.state.lock().unwrap();
        let entry = |e: &Listed| {
            format!(
                r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"active","weight":0.0,"since_ms":0}}"#,
                e.name,
                endpoint_address(block, sender, e.place),
                e.zone,
                e.kind,
                e.group
            )
        };
        let entries: Vec<String> = state.1.iter().map(entry).collect();
        format!(r#"{{"index":{},"snapshot":true,"endpoints":[{}]}}"#, state.0, entries.join(","))
    }
}

pub fn endpoint_address(block: &Block, sender: usize, place: u8) -> SocketAddr {
    block.at(100 + place, 9000 + sender as u16)
}

/// What came to the platform and the endpoints, and from whom.
#[derive(Debug, Clone)]
pub struct Notice {
    pub at: u64,
    pub sender: usize,
    pub id: String,
    pub text: String,
}

#[derive(Debug, Clone)]
pub struct Run {
    pub sender: usize,
    pub endpoint: u8,
    pub id: String,
    pub key: Option<String>,
    /// When the last byte of the call came, and when its answer was written or its connection ended.
    pub begun: u64,
    pub over: Option<u64>,
    /// When the work was done, if it was.
    pub done: Option<u64>,
    pub answer: &'static str,
}

/// How an endpoint answers.
#[derive(Debug, Clone, Copy)]
pub enum Answer {
    /// 200 after so much work, milliseconds. Work that has begun is done, whoever waits.
    Work(u64),
    /// 429, with this wait in milliseconds.
    Wait(u64),
    /// 429, with the wait that is left until the destination opens, by the record's time.
    ShutUntil(u64),
    /// No answer, though the work is done after so many milliseconds.
    Hang(u64),
}

pub struct World {
    pub block: Block,
    pub record: Record,
    pub list: Arc<List>,
    pub notices: Mutex<Vec<Notice>>,
    pub runs: Mutex<Vec<Run>>,
    /// By destination.
    pub answers: Mutex<Vec<Answer>>,
    links: Mutex<Vec<Vec<Arc<AtomicBool>>>>,
}

impl World {
    pub fn new(endpoints: Vec<Listed>, destinations: usize, first: Answer) -> Arc<Self> {
        Arc::new(Self {
            block: Block::claim(),
            record: Record::new(),
            list: List::new(endpoints),
            notices: Mutex::default(),
            runs: Mutex::default(),
            answers: Mutex::new(vec![first; destinations]),
            links: Mutex::default(),
        })
    }

    /// Starts the agents, the endpoints and the links for so many senders.
    pub fn start(self: &Arc<Self>, senders: usize, delay: u64) {
        let places: Vec<(u8, u32)> =
            self.list.state.lock().unwrap().1.iter().map(|e| (e.place, e.group)).collect();
        self.start_with(senders, delay, &places);
    }

    /// The same, with endpoints at these places, listed or not.
    pub fn start_with(self: &Arc<Self>, senders: usize, delay: u64, places: &[(u8, u32)]) {
        for sender in 0..senders {
            let world = self.clone();
            serve(self.discovery(sender), move |stream| world.agent(sender, stream));
            for place in places.iter().copied() {
                let world = self.clone();
                serve(endpoint_address(&self.block, sender, place.0), move |stream| {
                    world.endpoint(sender, place, stream)
                });
            }
        }
        self.start_links(senders, delay);
    }

    pub fn discovery(&self, sender: usize) -> SocketAddr {
        self.block.at(253, 8500 + sender as u16)
    }
    pub fn listen(&self, sender: usize) -> SocketAddr {
        self.block.at(1 + sender as u8, 9000)
    }
    pub fn peer_listen(&self, sender: usize) -> SocketAddr {
        self.block.at(1 + sender as u8, 7946)
    }
    pub fn mgmt(&self, sender: usize) -> SocketAddr {
        self.block.at(1 + sender as u8, 9100)
    }
    /// The address at which `sender` reaches `other`, and from which `other`'s datagrams come to it.
    pub fn peer(&self, sender: usize, other: usize) -> SocketAddr {
        if sender == other {
            self.peer_listen(sender)
        } else {
            self.block.at(20 + other as u8, 7000 + sender as u16)
        }
    }
    pub fn peers_all(&self, sender: usize) -> SocketAddr {
        self.block.at(252, 7000 + sender as u16)
    }

    fn agent(&self, sender: usize, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut from = BufReader::new(stream);
        while let Some(request) = read_message(&mut from) {
            let written = if request.first.starts_with("POST /reports") {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                for line in text.lines() {
                    let id = line
                        .split("\"id\":\"")
                        .nth(1)
                        .and_then(|t| t.split('"').next())
                        .unwrap_or("?")
                        .to_owned();
                    let at = self.record.note(format!("notice from sender {sender}: {line}"));
                    self.notices.lock().unwrap().push(Notice { at, sender, id, text: line.to_owned() });
                }
                respond(&mut out, "204 No Content", "", "")
            } else {
                let number = |name: &str| {
                    let (_, rest) = request.first.split_once(name)?;
                    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
                };
                let mut body = self.list.json(&self.block, sender);
                if let (Some(from), Some(hold)) = (number("from="), number("hold_ms=")) {
                    let state = self.list.state.lock().unwrap();
                    let (state, _) =
                        self.list.changed.wait_timeout_while(state, ms(hold), |s| s.0 <= from).unwrap();
                    let index = state.0;
                    drop(state);
                    body = if index <= from {
                        format!(r#"{{"index":{index},"snapshot":false,"endpoints":[]}}"#)
                    } else {
                        self.list.json(&self.block, sender)
                    };
                }
                respond(&mut out, "200 OK", "Content-Type: application/json\r\n", &body)
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn endpoint(&self, sender: usize, (place, group): (u8, u32), stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut from = BufReader::new(stream);
        while let Some(request) = read_message(&mut from) {
            let batch = request.first.starts_with("POST /v1/messages:batch");
            let text = String::from_utf8_lossy(&request.body).into_owned();
            let value = |part: &str, name: &str| {
                part.split(&format!("\"{name}\":\""))
                    .nth(1)
                    .and_then(|t| t.split('"').next())
                    .map(str::to_owned)
            };
            let messages: Vec<(String, Option<String>)> = if batch {
                let parts = text.split('{').skip(1);
                parts.map(|p| (value(p, "id").unwrap_or_default(), value(p, "key"))).collect()
            } else {
                let key = request.header("idempotency-key").map(str::to_owned);
                vec![(request.header("req-id").unwrap_or_default().to_owned(), key)]
            };
            let answer = self.answers.lock().unwrap()[group as usize];
            let ids: Vec<&str> = messages.iter().map(|m| m.0.as_str()).collect();
            let begun = self.record.note(format!(
                "call from sender {sender} at endpoint e{place} of destination {group}: {}",
                ids.join(" ")
            ));
            let first = {
                let mut runs = self.runs.lock().unwrap();
                let first = runs.len();
                runs.extend(messages.iter().map(|(id, key)| Run {
                    sender,
                    endpoint: place,
                    id: id.clone(),
                    key: key.clone(),
                    begun,
                    over: None,
                    done: None,
                    answer: "none",
                }));
                first
            };
            let mine = first..first + messages.len();
            let ended = |answer: Option<&'static str>, done: bool, over: bool| {
                let now = self.record.now();
                for run in &mut self.runs.lock().unwrap()[mine.clone()] {
                    run.answer = answer.unwrap_or(run.answer);
                    run.done = run.done.or(done.then_some(now));
                    run.over = run.over.or(over.then_some(now));
                }
            };
            let answer = match answer {
                Answer::ShutUntil(opens) => Answer::Wait(opens.saturating_sub(self.record.now()).max(1)),
                other => other,
            };
            let written = match answer {
                Answer::ShutUntil(_) => return,
                Answer::Hang(work) => {
                    pause(work);
                    ended(None, true, false);
                    self.record
                        .note(format!("e{place} has run and hangs, for sender {sender}: {}", ids.join(" ")));
                    while !gone(&out) {
                        pause(5);
                    }
                    ended(None, true, true);
                    self.record.note(format!(
                        "the connection of sender {sender} at e{place} ended: {}",
                        ids.join(" ")
                    ));
                    return;
                }
                Answer::Wait(wait) => {
                    ended(Some("429"), false, true);
                    self.record.note(format!(
                        "e{place} answers sender {sender} 429, wait {wait} ms: {}",
                        ids.join(" ")
                    ));
                    let wait = format!("Retry-After: {}.{:03}\r\n", wait / 1000, wait % 1000);
                    respond(&mut out, "429 Too Many Requests", &wait, "")
                }
                Answer::Work(work) => {
                    let until = Instant::now() + ms(work);
                    let mut open = true;
                    while Instant::now() < until {
                        pause(5);
                        if open && gone(&out) {
                            open = false;
                            ended(None, false, true);
                            self.record.note(format!(
                                "the connection of sender {sender} at e{place} ended: {}",
                                ids.join(" ")
                            ));
                        }
                    }
                    ended(None, true, false);
                    self.record.note(format!("e{place} has run, for sender {sender}: {}", ids.join(" ")));
                    if !open {
                        return;
                    }
                    let body = match batch {
                        true => format!(
                            "[{}]",
                            ids.iter()
                                .map(|id| format!(r#"{{"id":"{id}","state":"ok"}}"#))
                                .collect::<Vec<_>>()
                                .join(",")
                        ),
                        false => String::new(),
                    };
                    let written = respond(&mut out, "200 OK", "", &body);
                    ended(written.is_ok().then_some("200"), true, true);
                    written
                }
            };
            if written.is_err() {
                return;
            }
        }
    }

    fn start_links(self: &Arc<Self>, senders: usize, delay: u64) {
        let bind = |address| UdpSocket::bind(address).unwrap_or_else(|e| panic!("{address}: {e}"));
        let sockets: Vec<Vec<Arc<UdpSocket>>> = (0..senders)
            .map(|i| {
                let to = |j| if i == j { self.block.at(251, 7000 + i as u16) } else { self.peer(i, j) };
                (0..senders).map(|j| Arc::new(bind(to(j)))).collect()
            })
            .collect();
        let open: Vec<Vec<Arc<AtomicBool>>> =
            (0..senders).map(|_| (0..senders).map(|_| Arc::new(AtomicBool::new(true))).collect()).collect();
        *self.links.lock().unwrap() = open.clone();
        let mut queues = Vec::new();
        for i in 0..senders {
            let mut row: Vec<Option<Arc<Mutex<VecDeque<(Instant, Vec<u8>)>>>>> = Vec::new();
            for j in 0..senders {
                if i == j {
                    row.push(None);
                    continue;
                }
                // Datagrams of `i` for `j` leave from the address that `j` knows `i` by.
                let queue = Arc::new(Mutex::new(VecDeque::<(Instant, Vec<u8>)>::new()));
                let (leaves, to, open) = (sockets[j][i].clone(), self.peer_listen(j), open[i][j].clone());
                let ready = queue.clone();
                thread::spawn(move || {
                    loop {
                        let due = ready.lock().unwrap().front().map(|(at, _)| *at);
                        match due {
                            Some(at) if at <= Instant::now() => {
                                let next = ready.lock().unwrap().pop_front();
                                if let Some((_, bytes)) = next.filter(|_| open.load(Ordering::SeqCst)) {
                                    let _ = leaves.send_to(&bytes, to);
                                }
                            }
                            Some(at) => {
                                thread::sleep(at.saturating_duration_since(Instant::now()).min(ms(1)))
                            }
                            None => pause(1),
                        }
                    }
                });
                let (arrives, sink) = (sockets[i][j].clone(), queue.clone());
                thread::spawn(move || {
                    let mut bytes = [0; 300];
                    loop {
                        if let Ok(n) = arrives.recv(&mut bytes) {
                            sink.lock().unwrap().push_back((Instant::now() + ms(delay), bytes[..n].to_vec()));
                        }
                    }
                });
                row.push(Some(queue));
            }
            queues.push(row);
        }
        for (i, row) in queues.into_iter().enumerate() {
            let all = bind(self.peers_all(i));
            thread::spawn(move || {
                let mut bytes = [0; 300];
                loop {
                    if let Ok(n) = all.recv(&mut bytes) {
                        for queue in row.iter().flatten() {
                            queue
                                .lock()
                                .unwrap()
                                .push_back((Instant::now() + ms(delay), bytes[..n].to_vec()));
                        }
                    }
                }
            });
        }
    }

    /// Cuts a sender's datagrams to and from all others, or lets them through again.
    pub fn cut(&self, sender: usize, cut: bool) {
        self.record.note(format!(
            "datagrams between sender {sender} and the others: {}",
            if cut { "cut" } else { "open" }
        ));
        let links = self.links.lock().unwrap();
        for other in (0..links.len()).filter(|other| *other != sender) {
            links[sender][other].store(!cut, Ordering::SeqCst);
            links[other][sender].store(!cut, Ordering::SeqCst);
        }
    }

    /// Hands a message in; returns the answer's status, 0 without one.
    pub fn hand_in(&self, sender: usize, m: &HandIn) -> u16 {
        let key = m.key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let mut text = format!(
            "POST /{0} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {1}\r\nReq-Kind: {0}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {2}\r\n{key}X-Consignee: dest={3}\r\nContent-Length: {4}\r\nConnection: close\r\n\r\n",
            m.class, m.id, m.deadline, m.to, m.body
        )
        .into_bytes();
        text.extend(std::iter::repeat_n(b'x', m.body));
        self.record
            .note(format!("client hands {} in at sender {sender}: {}, destination {}", m.id, m.class, m.to));
        let status = call(self.listen(sender), &text, ms(400)).map_or(0, |answer| answer.status());
        self.record.note(format!("client is answered {status} for {}", m.id));
        status
    }
}

pub struct HandIn {
    pub id: String,
    pub class: &'static str,
    pub key: Option<String>,
    pub to: u32,
    pub deadline: u64,
    pub body: usize,
}

/// Whether the other side has closed or reset the connection.
fn gone(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let seen = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match seen {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

// The senders.

pub struct Senders {
    pub world: Arc<World>,
    folder: PathBuf,
    run: String,
    root: PathBuf,
    children: Vec<Option<Child>>,
}

/// The value of a key of the deploy file.
fn deployed(root: &Path, key: &str) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line =
        text.lines().find(|line| line.split('=').next().is_some_and(|k| k.trim() == key)).expect("the key");
    line.split('"').nth(1).expect("a text").to_owned()
}

impl Senders {
    pub fn new(world: Arc<World>, count: usize, folder: PathBuf, root: PathBuf) -> Self {
        let run = deployed(&root, "run");
        Self { world, folder, run, root, children: (0..count).map(|_| None).collect() }
    }

    /// Writes the configuration of a sender.
    pub fn configure(&self, sender: usize, settings: &str, sections: &str) {
        let (w, count) = (&self.world, self.children.len());
        let peers: Vec<String> = (0..count).map(|j| format!("\"{}\"", w.peer(sender, j))).collect();
        let text = format!(
            r#"{{"name":"n{sender}","listen":"{}","discovery":"{}","seed":"{:016x}","mgmt":"{}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
"peer_listen":"{}","peers":[{}],"peers_all":"{}",
"known":{},"settings":{settings}{sections}}}"#,
            w.listen(sender),
            w.discovery(sender),
            0x8c1f30d27a5be964u64 ^ sender as u64,
            w.mgmt(sender),
            w.peer_listen(sender),
            peers.join(","),
            w.peers_all(sender),
            w.list.json(&w.block, sender),
        );
        let place = self.folder.join(format!("n{sender}"));
        fs::create_dir_all(place.join("state")).unwrap();
        let new = place.join("config.new");
        fs::write(&new, text).unwrap();
        fs::rename(new, place.join("config.json")).unwrap();
    }

    /// Starts a sender and waits until it takes clients.
    pub fn start(&mut self, sender: usize) {
        let place = self.folder.join(format!("n{sender}"));
        let log: File = OpenOptions::new().create(true).append(true).open(place.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.run).current_dir(&self.root);
        for name in ["NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_MGMT", "NODE_LISTEN_FD"] {
            command.env_remove(name);
        }
        command.env("NODE_CONFIG", place.join("config.json")).env("NODE_STATE", place.join("state"));
        command.env("TMPDIR", &place).env("NODE_LOG", "debug").stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        // The system ends the sender if this program ends early.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the sender is started");
        self.world.record.note(format!("sender {sender} is started"));
        self.children[sender] = Some(child);
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(20) {
            let ready = call(self.world.listen(sender), b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n", ms(500));
            if ready.is_some_and(|answer| answer.status() == 200) {
                self.world.record.note(format!("sender {sender} is ready"));
                return;
            }
            pause(20);
        }
        self.fail("a sender was not ready in 20 s");
    }

    pub fn signal(&mut self, sender: usize, signal: i32, name: &str) {
        if let Some(child) = &self.children[sender] {
            self.world.record.note(format!("{name} to sender {sender}"));
            unsafe { kill(child.id() as i32, signal) };
        }
        if signal == SIGKILL
            && let Some(mut child) = self.children[sender].take()
        {
            let _ = child.wait();
        }
    }

    /// The senders that have ended, though nobody asked them to.
    pub fn crashed(&mut self) -> Vec<usize> {
        let ended = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|c| c.try_wait().is_ok_and(|s| s.is_some()))
        };
        (0..self.children.len()).filter(|at| ended(&mut self.children[*at])).collect()
    }

    /// A sender's report for operators.
    pub fn report(&self, sender: usize, path: &str) -> String {
        let text = format!("GET {path} HTTP/1.1\r\nHost: n\r\n\r\n");
        let answer = call(self.world.mgmt(sender), text.as_bytes(), ms(1000));
        answer.map_or_else(String::new, |answer| String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Ends all senders.
    pub fn end(&mut self) {
        for child in self.children.iter_mut().filter_map(Option::take) {
            let mut child = child;
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The case could not be played.
    pub fn fail(&mut self, why: &str) -> ! {
        self.end();
        self.world.record.note(format!("could not run: {why}"));
        self.world.record.write(&record_path());
        eprintln!("could not run: {why}");
        std::process::exit(2);
    }

    /// Ends everything and exits: 1 if there are breaks, 0 if not.
    pub fn verdict(&mut self, breaks: &[String]) -> ! {
        self.end();
        for line in breaks {
            self.world.record.note(format!("BROKEN: {line}"));
            println!("BROKEN: {line}");
        }
        if breaks.is_empty() {
            self.world.record.note("the rule held");
            println!("the rule held");
        }
        self.world.record.write(&record_path());
        std::process::exit(i32::from(!breaks.is_empty()));
    }
}

pub fn record_path() -> PathBuf {
    std::env::var_os("RECORD").map(PathBuf::from).unwrap_or_else(|| "record.txt".into())
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A class of message in the settings.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub window_ms: u64,
    pub aim_ms: u64,
    pub deadline_ms: u64,
}

/// What the settings of the two deployments of the kit differ in, as far as it matters here.
pub struct Site {
    pub kinds: [&'static str; 2],
    pub zones: &'static str,
    pub second_copies: bool,
    pub try_limit: u32,
    pub idle_ms: u64,
    pub max_retry_ms: u64,
    pub cold_ms: u64,
}

pub const MF_UTILITY_HQ: Site = Site {
    kinds: ["bank-partner", "local-lender"],
    zones: r#""operations-bldg","annex-bldg""#,
    second_copies: true,
    try_limit: 6,
    idle_ms: 5_000,
    max_retry_ms: 3_000,
    cold_ms: 13_000,
};

pub const TBILISI_MAIN: Site = Site {
    kinds: ["distributor", "plant"],
    zones: r#""tbilisi-1""#,
    second_copies: false,
    try_limit: 12,
    idle_ms: 15_000,
    max_retry_ms: 2_000,
    cold_ms: 14_000,
};

/// The settings of a small deployment, in the form of the example on the wire's page.
pub fn settings(site: &Site, classes: &[Class], senders: usize) -> String {
    let class = |c: &Class| {
        format!(
            r#"{{"name":"{}","effect":"{}","group":"all","dedup_window_us":{},"on_time_us":{},"hard_limit_us":{},"importance":1.0,"late_worth":0.5,"stream":false}}"#,
            c.name,
            c.effect,
            c.window_ms * 1000,
            c.aim_ms * 1000,
            c.deadline_ms * 1000
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    let Site { kinds: [first, second], zones, second_copies, try_limit, .. } = site;
    format!(
        r#"{{"classes":[{}],"skus":["{first}","{second}"],"azs":[{zones}],
"balancers":{senders},"period_us":5000,"discovery":"push",
"family_info":{{"bundle_max":[20,1],"calls_out":15,"decay":"halves","own_limits":[false,false],"turned_away_price":0.05,"toll":[0.0,0.0]}},
"limits":{{"max_open":315,"try_limit":{try_limit},"connect_timeout_us":1000000,"idle_close_us":{},"max_retry_after_us":{},"second_copies":{second_copies},"cancelling":true,"probing":true,"peers":true,"retry_after":true,"streams_per_conn":1}},
"load_report":{{"fields":["x0","x1"],"how":"answers"}},"charges":{{"probe":0.01}},
"realms":[{{"name":"acme","quota_per_s":1000.0,"fraction":1.0}}],
"over_share_worth":0.1,"weights":"none","value_by":"request","workload":"deliver",
"obligations":{{"answer_slack_us":20000,"ask_every_us":10000000,"cold_share":0.17,"fall_multiple":2.0,"overload_for_us":3000000,"stop_sending_within_us":2000000,"warm_within_us":{}}}}}"#,
        classes.join(","),
        site.idle_ms * 1000,
        site.max_retry_ms * 1000,
        site.cold_ms * 1000
    )
}

/// The part that has work survive the loss of its sender, at its usual figures.
pub const TAKEOVER: &str = r#","takeover":{"tier":"loan-partners"}"#;

/// Two endpoints for each destination, all of one kind.
pub fn endpoints(site: &Site, destinations: u32, kind: usize) -> Vec<Listed> {
    let two = |group: u32| (0..2u8).map(move |n| (group, n));
    let listed = |(group, n): (u32, u8)| {
        let place = group as u8 * 2 + n;
        Listed {
            name: format!("s-{place:08x}"),
            zone: site.zones.split('"').nth(1).unwrap_or_default().into(),
            kind: site.kinds[kind].into(),
            group,
            place,
        }
    };
    (0..destinations).flat_map(two).map(listed).collect()
}

/// A fresh folder for the senders, and the project's root, as `run.sh` gives them.
pub fn folders() -> (PathBuf, PathBuf) {
    let dir =
        |name: &str| PathBuf::from(std::env::var_os(name).unwrap_or_else(|| panic!("{name} is not set")));
    (dir("WORK"), dir("ROOT"))
}
