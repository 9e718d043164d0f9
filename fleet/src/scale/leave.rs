//! Many members that go at once and come back, and a split in three regions, in virtual time: how soon all know.

use std::collections::BTreeMap;

use myrtleyard::membership::State;

use super::figure::Figure;
use super::members::traffic;
use super::record::Measured;
use super::tier::{PERIOD, Tier};
use super::view::counts;
use super::{Point, Unmeasured};

/// Periods in which all have to know, or it is told that they did not.
const KNOWN_WITHIN: u32 = 300;
/// Periods of rest between two events.
const SETTLES: u64 = 10;
/// Periods that a split lasts.
const SPLIT: u64 = 120;
/// Regions of the design.
const REGIONS: usize = 3;
/// The parts of the tier that go at once, one in so many: a rack, a zone, a region.
const PARTS: [(usize, [Figure; 2]); 3] = [
    (100, [Figure::RackKnown, Figure::RackBack]),
    (12, [Figure::ZoneKnown, Figure::ZoneBack]),
    (REGIONS, [Figure::RegionKnown, Figure::RegionBack]),
];

/// Measures a point.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    let size = point.size as usize;
    let mut tier = Tier::new(size, point.seed);
    until(&mut tier, Tier::converged)?;
    tier.pass(SETTLES * PERIOD);
    let mut figures = BTreeMap::new();
    for (part, [known, back]) in PARTS {
        let gone = (size / part).max(1);
        (0..gone).for_each(|rank| drop(tier.remove(rank)));
        let all_see =
            |tier: &Tier| (0..gone).all(|rank| tier.all_see(rank, State::Dead)) && tier.views_equal();
        figures.insert(known, until(&mut tier, all_see)?);
        (0..gone).for_each(|rank| tier.start(rank));
        figures.insert(back, until(&mut tier, Tier::converged)?);
        tier.pass(SETTLES * PERIOD);
    }
    split(&mut tier, &mut figures)?;
    Ok(Measured { figures, ..Measured::default() })
}

/// Seconds of virtual time until it is so, in whole periods.
fn until(tier: &mut Tier, so: impl Fn(&Tier) -> bool) -> Result<f64, Unmeasured> {
    let periods = tier.until(KNOWN_WITHIN, so).ok_or(Unmeasured::Late("a view that all share"))?;
    Ok(f64::from(periods) * PERIOD as f64 / 1e6)
}

/// Whether each holds the members of its own region for alive, and all others for dead.
fn apart(tier: &Tier) -> bool {
    tier.members.iter().flatten().all(|member| {
        let own = usize::from(member.own()) % REGIONS;
        let held = |state| matches!(state, State::Dead);
        let others = member.members().iter().enumerate();
        others.into_iter().all(|(rank, other)| held(other.state) == (rank % REGIONS != own))
    })
}

fn split(tier: &mut Tier, figures: &mut BTreeMap<Figure, f64>) -> Result<(), Unmeasured> {
    let (before, begun) = (counts(tier), tier.now);
    tier.cut = Box::new(|from, to, _| usize::from(from) % REGIONS != usize::from(to) % REGIONS);
    figures.insert(Figure::SplitKnown, until(tier, apart)?);
    tier.pass((begun + SPLIT * PERIOD).saturating_sub(tier.now));
    let sent = traffic(&before, &counts(tier), (tier.now - begun) as f64 / 1e6);
    figures.insert(Figure::SplitBytesMedian, sent[&Figure::SentBytesMedian]);
    figures.insert(Figure::SplitBytesWorst, sent[&Figure::SentBytesWorst]);
    tier.cut = Box::new(|_, _, _| false);
    figures.insert(Figure::SplitBack, until(tier, Tier::converged)?);
    Ok(())
}
