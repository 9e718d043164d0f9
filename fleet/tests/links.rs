//! The datagram relays on real sockets: delivery, source addresses, and the effect of each fault.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use linenwing_fleet::ledger::{ClassRules, Head, History, Recorder, What};
use linenwing_fleet::links::Datagrams;
use linenwing_fleet::links::udp::Relays;
use tokio::net::UdpSocket;

const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

struct ThreeSenders {
    sockets: Vec<UdpSocket>,
    relays: Relays,
    recorder: Recorder,
    folder: tempfile::TempDir,
    writer: std::thread::JoinHandle<std::io::Result<()>>,
}

impl ThreeSenders {
    async fn new() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let classes: Vec<ClassRules> = vec![];
        let head = Head {
            scenario: String::new(),
            seed: 1,
            senders: 3,
            classes,
            try_limit: 6,
            drain_grace: 0,
            view_period: None,
            plans: vec![],
        };
        let (recorder, writer) = Recorder::begin(&folder.path().join("history"), &head).unwrap();
        let mut sockets = Vec::new();
        for _ in 0..3 {
            sockets.push(UdpSocket::bind((HOST, 0)).await.unwrap());
        }
        let addresses: Vec<SocketAddr> = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        let usual = vec![vec![[0.0, 1.0]; 3]; 3];
        let relays = Relays::open(HOST, &addresses, usual, recorder.clone(), 5).await.unwrap();
        Self { sockets, relays, recorder, folder, writer }
    }

    fn peers(&self, sender: usize) -> Vec<SocketAddr> {
        self.relays.peers(sender, self.sockets[sender].local_addr().unwrap())
    }

    async fn send(&self, from: usize, to: usize, bytes: &[u8]) {
        self.sockets[from].send_to(bytes, self.peers(from)[to]).await.unwrap();
    }

    /// The datagrams that arrive at a sender before a marker, with their senders. The marker is sent over a
    /// link without faults, 200 ms later.
    async fn received_until_marker(&self, at: usize, by: usize) -> Vec<(usize, Vec<u8>)> {
        let (mut all, mut buffer) = (Vec::new(), [0; 2048]);
        tokio::time::sleep(Duration::from_millis(200)).await;
        self.send(by, at, b"marker").await;
        loop {
            let got = self.sockets[at].recv_from(&mut buffer);
            let (size, source) = tokio::time::timeout(Duration::from_secs(20), got).await.unwrap().unwrap();
            if &buffer[..size] == b"marker" {
                return all;
            }
            let from = self.peers(at).iter().position(|peer| *peer == source);
            all.push((from.expect("the source is a peer's address"), buffer[..size].to_vec()));
        }
    }

    fn condition(&self, from: usize, to: usize, condition: Datagrams) {
        let mut all = vec![vec![Datagrams::default(); 3]; 3];
        all[from][to] = condition;
        self.relays.condition(all);
    }
}

#[tokio::test]
async fn relay_keeps_the_senders_address_and_a_datagram_to_all_reaches_all_others() {
    let three = ThreeSenders::new().await;
    three.send(0, 1, b"one").await;
    assert_eq!(three.received_until_marker(1, 2).await, [(0, b"one".to_vec())]);
    three.sockets[2].send_to(b"all", three.relays.peers_all(2)).await.unwrap();
    assert_eq!(three.received_until_marker(0, 1).await, [(2, b"all".to_vec())]);
    assert_eq!(three.received_until_marker(1, 0).await, [(2, b"all".to_vec())]);
    // A datagram from an unknown address is not forwarded.
    let stranger = UdpSocket::bind((HOST, 0)).await.unwrap();
    stranger.send_to(b"hello", three.peers(0)[1]).await.unwrap();
    assert_eq!(three.received_until_marker(1, 2).await, []);
}

#[tokio::test]
async fn link_fault_affects_only_its_link_and_direction() {
    let three = ThreeSenders::new().await;
    three.condition(0, 1, Datagrams { drop: 1.0, ..Datagrams::default() });
    three.send(0, 1, b"lost").await;
    three.send(1, 0, b"back").await;
    three.send(0, 2, b"other").await;
    assert_eq!(three.received_until_marker(1, 2).await, []);
    assert_eq!(three.received_until_marker(0, 2).await, [(1, b"back".to_vec())]);
    assert_eq!(three.received_until_marker(2, 1).await, [(0, b"other".to_vec())]);
    three.condition(0, 1, Datagrams { repeat: 1.0, ..Datagrams::default() });
    three.send(0, 1, b"twice").await;
    assert_eq!(three.received_until_marker(1, 2).await.len(), 2);
    three.condition(0, 1, Datagrams { spoil: 1.0, ..Datagrams::default() });
    three.send(0, 1, b"spoilt").await;
    let heard = three.received_until_marker(1, 2).await;
    assert!(heard.len() == 1 && heard[0].1.len() == 6 && heard[0].1 != b"spoilt");
    three.condition(0, 1, Datagrams { short: 1.0, ..Datagrams::default() });
    three.send(0, 1, b"shortened").await;
    assert!(three.received_until_marker(1, 2).await[0].1.len() < 9);
    three.condition(0, 1, Datagrams::default());
    three.send(0, 1, b"whole").await;
    assert_eq!(three.received_until_marker(1, 2).await, [(0, b"whole".to_vec())]);
}

#[tokio::test]
async fn datagram_above_the_limit_is_recorded_and_one_at_the_limit_is_not() {
    let three = ThreeSenders::new().await;
    three.send(0, 1, &[7; 257]).await;
    three.send(0, 1, &[7; 256]).await;
    assert_eq!(three.received_until_marker(1, 2).await.len(), 2);
    three.recorder.see(What::Over);
    three.writer.join().unwrap().unwrap();
    let history = History::read(&three.folder.path().join("history")).unwrap();
    let large = history.entries.iter().filter(|entry| entry.what == What::Oversize { sender: 0, bytes: 257 });
    assert_eq!(large.count(), 1);
}
