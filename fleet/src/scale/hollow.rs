//! The view with real sockets and real time: one sender as it ships among hollow members, which run the shipping view and
//! nothing else, many in this process, each with a socket and an address of its own.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use myrtleyard::interface::Micros;
use myrtleyard::membership::{
    Config, Counts, MAX_DATAGRAM_LEN, MAX_MEMBERS, Membership, Place, Rank, State, tier_of,
};
use serde_json::{Value, json};
use tokio::net::UdpSocket;

use super::figure::Figure;
use super::machine::Usage;
use super::members::traffic;
use super::process::{self, Sender, Wish, usual_settings};
use super::record::Measured;
use super::{Point, Unmeasured};
use crate::world::senders::{Addresses, document};

/// The period of the view, milliseconds.
const PERIOD_MS: u32 = 1000;
/// How long it is looked whether all know each other.
const KNOWN_WITHIN: Duration = Duration::from_secs(30);
/// Traffic is counted for so long, and for so long in a smoke run.
const COUNTED: [Duration; 2] = [Duration::from_secs(8), Duration::from_secs(2)];
/// Destinations of the real sender.
const DESTINATIONS: u64 = 10;
/// Where the members of a configuration that is only checked would be.
const CHECKED_PORT: u16 = 7946;

/// A hollow member, which its task and the measurement share.
type Shared = Arc<Mutex<Membership>>;

/// Measures a point; a tier that is larger than a view takes is held against the real program's check.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    if point.size as usize > MAX_MEMBERS {
        return refused(point);
    }
    let members = point.size as usize;
    let change = |config: &mut Value| config["membership"] = json!({"period_ms": PERIOD_MS});
    let wish = Wish { members, change: Box::new(change), ..Wish::alone(DESTINATIONS) };
    process::with_sender(point, &wish, async |sender| measured(point, sender).await)
}

async fn measured(point: &Point, sender: &mut Sender) -> Result<Measured, Unmeasured> {
    let mut hollow = Vec::new();
    for own in 1..sender.peers.len() {
        hollow.push(hollow_member(own, &sender.peers, point.seed).await?);
    }
    sender.start().await?;
    let begun = Instant::now();
    let all = sender.peers.len() as u64;
    let whole = || async {
        let seen = sender.told("/control/members").await?;
        Ok(seen["alive"].as_u64() == Some(all) && hollow.iter().all(is_whole))
    };
    let known = sender.until(KNOWN_WITHIN, whole).await?.then(|| begun.elapsed().as_secs_f64());
    let counted = COUNTED[usize::from(point.smoke)];
    let (before, own_before, usage) = (counts(&hollow), Usage::own()?, sender.usage()?);
    let watched = Instant::now();
    tokio::time::sleep(counted).await;
    let seconds = watched.elapsed().as_secs_f64();
    let (after, own_after, later) = (counts(&hollow), Usage::own()?, sender.usage()?);
    let mut figures = traffic(&before, &after, seconds);
    let of_members = (own_after.processor_us - own_before.processor_us) / hollow.len() as f64;
    figures.insert(Figure::CpuMember, of_members / seconds);
    figures.insert(Figure::CpuPerSecond, (later.processor_us - usage.processor_us) / seconds);
    figures.insert(Figure::Resident, later.resident as f64);
    figures.insert(Figure::Peak, later.peak as f64);
    // A large view on a busy machine is never whole at one moment; its traffic is measured all the same.
    figures.extend(known.map(|known| (Figure::Known, known)));
    Ok(Measured { figures, ..Measured::default() })
}

fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}

/// Starts a member on its own socket.
async fn hollow_member(own: usize, peers: &[SocketAddr], seed: u64) -> Result<Shared, Unmeasured> {
    let socket = UdpSocket::bind(peers[own]).await?;
    let config = Config { period_ms: PERIOD_MS, tier: String::new() };
    let place = Place { own: own as Rank, size: peers.len(), tier: tier_of(""), zone: (own % 2) as u8 };
    let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ own as u64;
    let member = Arc::new(Mutex::new(Membership::new(&config, place, seed, now())));
    tokio::spawn(play(member.clone(), socket, peers.to_vec()));
    Ok(member)
}

/// Lets a member hear, and do what is due, for as long as the run lasts.
async fn play(member: Shared, socket: UdpSocket, peers: Vec<SocketAddr>) {
    let ranks: HashMap<SocketAddr, Rank> =
        peers.iter().enumerate().map(|(rank, address)| (*address, rank as Rank)).collect();
    let mut datagram = [0; MAX_DATAGRAM_LEN + 1];
    loop {
        let due = member.lock().map_or(0, |member| member.due());
        let rest = Duration::from_micros(due.saturating_sub(now()));
        let heard = tokio::time::timeout(rest, socket.recv_from(&mut datagram)).await;
        let mut out = Vec::new();
        if let Ok(mut member) = member.lock() {
            match heard {
                Ok(Ok((size, from))) => {
                    if let Some(rank) = ranks.get(&from) {
                        member.receive(now(), *rank, &datagram[..size], &mut out);
                    }
                }
                // An error here is an earlier datagram's that did not arrive.
                Ok(Err(_)) => {}
                Err(_) => member.tick(now(), &mut out),
            }
        }
        for (to, content) in out {
            let _ = socket.try_send_to(&content, peers[usize::from(to)]);
        }
    }
}

fn is_whole(member: &Shared) -> bool {
    member.lock().is_ok_and(|member| member.members().iter().all(|other| other.state == State::Alive))
}

fn counts(members: &[Shared]) -> Vec<Counts> {
    members.iter().filter_map(|member| member.lock().ok().map(|member| member.counts)).collect()
}

/// What the real program's check says of a configuration with so many senders.
fn refused(point: &Point) -> Result<Measured, Unmeasured> {
    let address = |number: u64| {
        let [_, high, middle, low] = (number as u32 + 1).to_be_bytes();
        SocketAddr::from(([127, high, middle, low], CHECKED_PORT))
    };
    let peers: Vec<SocketAddr> = (0..point.size).map(address).collect();
    let addresses = Addresses {
        listen: address(point.size),
        discovery: address(point.size),
        peer_listen: peers[0],
        peers,
        peers_all: address(point.size),
    };
    let mut config = document(0, point.seed, &addresses, usual_settings(0, point.size as usize));
    config["membership"] = json!({"period_ms": PERIOD_MS});
    let mut file = tempfile::NamedTempFile::new()?;
    file.write_all(config.to_string().as_bytes())?;
    let told = Command::new(&point.binary).arg("--check").arg(file.path()).output()?;
    let told: Value = serde_json::from_slice(&told.stdout)
        .map_err(|_| Unmeasured::Answer("--check of a configuration".to_owned()))?;
    let refused = match told["valid"].as_bool() {
        Some(true) => "taken by the check, and not run: hollow members are 1,024 at most".to_owned(),
        _ => told["faults"].to_string(),
    };
    Ok(Measured { refused: Some(refused), ..Measured::default() })
}
