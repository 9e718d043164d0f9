//! Destinations that are down: what the shipping module's breakers see of them when a sender's load is spread over
//! many. Arrivals are Poisson, and each message goes to any destination with the same chance.

use std::collections::BTreeMap;

use myrtleyard::interface::{DestinationId, Event, Micros};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::agent::endpoints_of;
use super::design;
use super::figure::Figure;
use super::machine::Usage;
use super::module::{START, World};
use super::record::Measured;
use super::{Point, Unmeasured};

/// Virtual time that is played, and that of a smoke run, seconds: a message lives 24 s at most.
pub const PLAYED_S: [u64; 2] = [30, 10];
/// A smoke run has one part in so many of the destinations.
const SMOKE_PART: u64 = 10;
/// What the buffer holds at most, which is the bench's own bound.
const ROOM: u64 = 400;

/// Measures a point of [`super::Axis::Spread`].
pub fn spread(point: &Point) -> Result<Measured, Unmeasured> {
    played(point, point.size, design::DOWN_TENTHS)
}

/// Measures a point of [`super::Axis::Down`].
pub fn down(point: &Point) -> Result<Measured, Unmeasured> {
    let shortened = if point.smoke { SMOKE_PART } else { 1 };
    played(point, design::DESTINATIONS / shortened, point.size)
}

/// Whether a destination is down: by a hash, so that it says nothing of the number of its endpoints.
fn is_down(destination: DestinationId, tenths: u64) -> bool {
    let hash = u64::from(destination.0).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    hash % 1000 < tenths
}

fn played(point: &Point, destinations: u64, tenths: u64) -> Result<Measured, Unmeasured> {
    let mut rng = ChaCha8Rng::seed_from_u64(point.seed);
    let mut world = World::new(destinations, ROOM, point.seed, move |to| is_down(to, tenths))?;
    let span = PLAYED_S[usize::from(point.smoke)] * 1_000_000;
    let mut at = START;
    let mut messages = 0;
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / design::SENDER_EVENTS_PER_S as f64;
        at += (gap * 1e6) as Micros;
        if at >= START + span {
            break;
        }
        messages += 1;
        let message = world.message(rng.random_range(0..destinations));
        world.pass(at, vec![Event::Accepted(message)]);
    }
    let usage = Usage::own()?;
    let seconds = span as f64 / 1e6;
    let done = world.done;
    let avoided = world.policy.unhealthy_endpoints() as f64;
    let down = (0..destinations).filter(|to| is_down(DestinationId(*to as u32), tenths));
    let down_endpoints: u64 = down.map(endpoints_of).sum();
    let (ended, tries) = done.down_ended;
    let mut figures = BTreeMap::from([
        (Figure::Attempts, done.attempts as f64 / seconds),
        (Figure::Wasted, done.wasted as f64 / seconds),
        (Figure::Open, avoided),
        (Figure::Reused, done.reused as f64 / done.attempts.max(1) as f64),
        (Figure::CpuEach, done.module_us / f64::from(messages)),
        (Figure::CpuTurn, done.module_us / done.turns.max(1) as f64),
        (Figure::Resident, usage.resident as f64),
        (Figure::Peak, usage.peak as f64),
    ]);
    if ended > 0 {
        figures.insert(Figure::Tries, tries as f64 / ended as f64);
    }
    if down_endpoints > 0 {
        figures.insert(Figure::OpenShare, avoided / down_endpoints as f64);
    }
    Ok(Measured { figures, ..Measured::default() })
}
