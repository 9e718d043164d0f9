//! Messages in hand at the shipping module, in virtual time: memory of each, and processor time of a turn. All
//! destinations are down, so that nothing ends.

use std::collections::BTreeMap;

use myrtleyard::interface::Event;

use super::figure::Figure;
use super::machine::Usage;
use super::module::{START, World};
use super::record::Measured;
use super::{Point, Unmeasured};

/// Destinations that the messages are spread over.
const DESTINATIONS: u64 = 31_000;
/// Turns in which the messages are handed in, and the time between two of them, microseconds.
const TURNS: u64 = 10;
/// See [`TURNS`].
const GAP: u64 = 10_000;
/// Turns in which nothing happens, which are measured.
const MEASURED: u32 = 5;
/// Messages that the module may hold, as a multiple of those that are handed in.
const ROOM: u64 = 2;

/// Measures a point.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    let mut world = World::new(DESTINATIONS, point.size * ROOM, point.seed, |_| true)?;
    let empty = Usage::own()?;
    for turn in 1..=TURNS {
        let messages = (point.size * (turn - 1) / TURNS)..(point.size * turn / TURNS);
        let accepted = messages.map(|number| Event::Accepted(world.message(number % DESTINATIONS)));
        let accepted = accepted.collect();
        world.pass(START + turn * GAP, accepted);
    }
    let (held, usage, before) = (world.policy.held() as f64, Usage::own()?, world.done.module_us);
    for _ in 0..MEASURED {
        world.turn(&[]);
    }
    let turns = world.done.module_us - before;
    let added = usage.resident.saturating_sub(empty.resident) as f64;
    let figures = BTreeMap::from([
        (Figure::InHand, held),
        (Figure::Resident, usage.resident as f64),
        (Figure::Peak, usage.peak as f64),
        (Figure::ResidentEach, added / held.max(1.0)),
        (Figure::CpuEach, before / point.size as f64),
        (Figure::CpuTurn, turns / f64::from(MEASURED)),
    ]);
    Ok(Measured { figures, ..Measured::default() })
}
