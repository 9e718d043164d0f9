use super::*;

/// Two sides and the datagrams in flight between them; each may be lost, delayed or duplicated.
struct Pair {
    sides: [Channel; 2],
    in_flight: Vec<(Micros, usize, Vec<u8>)>,
    rng: fastrand::Rng,
    now: Micros,
    loss: f64,
    messages: [Vec<Vec<u8>>; 2],
    restarts: [usize; 2],
}

impl Pair {
    fn new(seed: u64, loss: f64) -> Self {
        let sides = [Channel::new(TAKEOVER, seed * 2 + 1, 9), Channel::new(TAKEOVER, seed * 2 + 2, 9)];
        let rng = fastrand::Rng::with_seed(seed);
        let (messages, restarts) = (Default::default(), [0; 2]);
        Self { sides, in_flight: vec![], rng, now: 1_000_000, loss, messages, restarts }
    }

    fn run(&mut self, time: Micros) {
        let until = self.now + time;
        while self.now < until {
            self.now += 1_000;
            for side in 0..2 {
                let mut out = vec![];
                self.sides[side].flush(self.now, &mut |bytes| out.push(bytes));
                for bytes in out {
                    assert!(bytes.len() <= MAX_DATAGRAM_LEN);
                    let copies = if self.rng.f64() < 0.1 { 2 } else { 1 };
                    for _ in 0..copies {
                        let late = self.rng.u64(1_000..40_000);
                        if self.rng.f64() >= self.loss {
                            self.in_flight.push((self.now + late, 1 - side, bytes.clone()));
                        }
                    }
                }
            }
            let (come, later) = self.in_flight.drain(..).partition(|passed| passed.0 <= self.now);
            self.in_flight = later;
            for (_, side, bytes) in come {
                let received = self.sides[side].receive(self.now, &bytes, self.rng.u32(1..));
                self.messages[side].extend(received.messages);
                self.restarts[side] += usize::from(received.peer_restarted);
            }
        }
    }
}

/// Checks order and exactly-once delivery under loss, delay and duplication, for messages from zero bytes up
/// to many segments.
#[test]
fn messages_arrive_exactly_once_and_in_order() {
    for (seed, loss) in (0..12).zip([0.0, 0.05, 0.2, 0.4].into_iter().cycle()) {
        let mut pair = Pair::new(seed, loss);
        let messages: Vec<Vec<u8>> = (0..120).map(|n| vec![n as u8; pair.rng.usize(0..2_000)]).collect();
        pair.sides[0].greet(5);
        for message in &messages {
            assert!(pair.sides[0].send(message));
            pair.run(2_000);
        }
        pair.run(30_000_000);
        assert!(pair.messages[1] == messages, "seed {seed}, loss {loss}: {} of 120", pair.messages[1].len());
        assert!(pair.sides[0].window.is_empty() && pair.sides[0].due().is_none());
    }
}

/// Guards against datagrams sent by or to an earlier process: after a restart none of them is accepted.
#[test]
fn no_datagram_is_accepted_across_a_restart() {
    for seed in 0..12 {
        let mut pair = Pair::new(seed, 0.2);
        pair.sides[0].greet(5);
        pair.run(2_000_000);
        for n in 0..40 {
            assert!(pair.sides[0].send(&[n; 700]) && pair.sides[1].send(&[n; 700]));
        }
        pair.run(30_000);
        let before = pair.messages[1].len();
        pair.sides[1] = Channel::new(TAKEOVER, 1_000 + seed, 9);
        pair.run(3_000_000);
        assert_eq!((pair.messages[1].len(), pair.restarts[0]), (before, 1), "seed {seed}");
        let heard = pair.messages[0].len();
        assert!(pair.sides[0].send(b"to the new") && pair.sides[1].send(b"from the new"));
        pair.run(3_000_000);
        assert_eq!(pair.messages[1][before..], [b"to the new".to_vec()], "seed {seed}");
        assert_eq!(pair.messages[0][heard..], [b"from the new".to_vec()], "seed {seed}");
    }
}

/// Guards against datagrams that are truncated, corrupt, empty or from another tier.
#[test]
fn invalid_datagrams_are_dropped() {
    let mut other = Channel::new(TAKEOVER, 1, 9);
    other.greet(77);
    let mut sent = vec![];
    other.flush(1_000_000, &mut |bytes| sent.push(bytes));
    let sound = sent.remove(0);
    let mut side = Channel::new(TAKEOVER, 2, 9);
    for cut in 0..sound.len() {
        assert!(side.receive(0, &sound[..cut], 1).dropped);
        let mut corrupt = sound.clone();
        corrupt[cut] ^= 0x10;
        assert!(side.receive(0, &corrupt, 1).dropped);
    }
    assert!(Channel::new(TAKEOVER, 2, 8).receive(0, &sound, 1).dropped);
    assert!(!side.receive(0, &sound, 1).dropped);
}
