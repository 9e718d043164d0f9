use super::*;
use crate::channel::STATUS;

/// Runs two sides for a time over a link that drops the datagrams chosen by `lose`.
fn play(sides: &mut [Mesh; 2], from: Micros, until: Micros, lose: impl Fn(usize) -> bool) -> Vec<Vec<u8>> {
    let (mut messages, mut sent) = (Vec::new(), 0);
    for now in (from..until).step_by(1_000) {
        for side in 0..2 {
            let mut out = Outgoing::new();
            sides[side].flush(now, &mut out);
            for (to, bytes) in out {
                sent += 1;
                if !lose(sent) {
                    messages.extend(sides[usize::from(to)].receive(now, side as Rank, &bytes).messages);
                }
            }
        }
    }
    messages
}

fn pair() -> [Mesh; 2] {
    [Mesh::new(STATUS, 0, 2, 9, 1), Mesh::new(STATUS, 1, 2, 9, 2)]
}

#[test]
fn messages_arrive_whole_and_in_order_when_every_third_datagram_is_lost() {
    let mut sides = pair();
    let messages: Vec<Vec<u8>> = (0..40).map(|n: u8| vec![n; 700]).collect();
    for message in &messages {
        assert_eq!(sides[0].send(0, 1, message), Ok(()));
    }
    assert_eq!(play(&mut sides, 0, 5_000_000, |sent| sent % 3 == 0), messages);
    assert_eq!((sides[0].queued_bytes(), sides[0].take_dropped_peers()), (0, vec![]));
}

#[test]
fn silent_peer_is_dropped_and_reported_once() {
    let mut sides = pair();
    assert_eq!(sides[0].send(0, 1, b"anybody"), Ok(()));
    assert_eq!(play(&mut sides, 0, PEER_TIMEOUT + 2_000, |_| true), Vec::<Vec<u8>>::new());
    assert_eq!(
        (sides[0].take_dropped_peers(), sides[0].take_dropped_peers(), sides[0].queued_bytes()),
        (vec![1], vec![], 0)
    );
}

#[test]
fn send_beyond_the_limits_is_rejected_with_a_reason() {
    let mut mesh = Mesh::new(STATUS, 0, 300, 9, 1);
    assert_eq!(mesh.send(0, 0, b"own"), Err(SendError::UnknownPeer(0)));
    assert_eq!(mesh.send(0, 300, b"none"), Err(SendError::UnknownPeer(300)));
    let message = vec![0; 70_000];
    let results: Vec<_> = (1..300).map(|rank| mesh.send(0, rank, &message)).collect();
    let queued = results.iter().filter(|result| result.is_ok()).count();
    assert!(queued > 0 && queued * message.len() <= MAX_QUEUED_BYTES, "{queued}");
    assert_eq!(results.last(), Some(&Err(SendError::Full(299))));
    // Short messages: the number of channels is the limit.
    (1..300).for_each(|rank| {
        let _ = mesh.send(1, rank, b"short");
    });
    assert!(mesh.queued_bytes() <= MAX_QUEUED_BYTES);
    assert!((1..300).filter(|rank| mesh.heard(*rank).is_some()).count() <= MAX_CHANNELS);
}
