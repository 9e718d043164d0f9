//! The view of the tier in virtual time: what a member sends, holds and computes, and how soon all know.

use myrtleyard::membership::{Counts, State};

use super::figure::Figure;
use super::machine::Usage;
use super::members::traffic;
use super::record::Measured;
use super::tier::{PERIOD, Tier};
use super::{Point, Unmeasured};

/// Periods in which all have to know, or it is told that they did not.
const KNOWN_WITHIN: u32 = 200;
/// Periods of rest before traffic is counted.
const SETTLES: u64 = 5;
/// Periods in which traffic is counted.
const COUNTED: u64 = 30;
/// The same, of a smoke run.
const COUNTED_SMOKE: u64 = 5;
/// The member that crashes.
const CRASHES: usize = 1;

/// Counts of all members that run.
pub fn counts(tier: &Tier) -> Vec<Counts> {
    tier.members.iter().flatten().map(|member| member.counts).collect()
}

/// Measures a point.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    let size = point.size as usize;
    let counted = if point.smoke { COUNTED_SMOKE } else { COUNTED };
    let empty = Usage::own()?;
    let mut tier = Tier::new(size, point.seed);
    let known = tier.until(KNOWN_WITHIN, Tier::converged).ok_or(Unmeasured::Late("a view that is whole"))?;
    tier.pass(SETTLES * PERIOD);
    let (before, begun) = (counts(&tier), Usage::own()?);
    tier.pass(counted * PERIOD);
    let (after, ended) = (counts(&tier), Usage::own()?);
    let seconds = (counted * PERIOD) as f64 / 1e6;
    let mut figures = traffic(&before, &after, seconds);
    let members = size as f64;
    let processor = (ended.processor_us - begun.processor_us) / members / seconds;
    let of_one = |bytes: u64| bytes.saturating_sub(empty.resident) as f64 / members;
    figures.insert(Figure::CpuMember, processor);
    figures.insert(Figure::MemberResident, of_one(ended.resident));
    figures.insert(Figure::MemberPeak, of_one(ended.peak));
    figures.insert(Figure::Known, f64::from(known) * PERIOD as f64 / 1e6);
    tier.remove(CRASHES);
    let seen = tier.until(KNOWN_WITHIN, |tier| tier.all_see(CRASHES, State::Dead));
    let seen = seen.ok_or(Unmeasured::Late("a crash that all see"))?;
    figures.insert(Figure::CrashKnown, f64::from(seen) * PERIOD as f64 / 1e6);
    Ok(Measured { figures, ..Measured::default() })
}
