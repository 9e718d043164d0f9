//! What queries of a shape really took, fading, and how wide intervals have to be so that they hold.
//!
//! Each figure's logarithm of found over said is followed by three quantiles ([`BAND`]), each moved a little by
//! each outcome: conformal quantile tracking (Angelopoulos, Candès, Tibshirani, 2023, after Gibbs and Candès, 2021). In
//! the long run the part within is what it should be, whatever the load does. A window of outcomes tells whether it is
//! so of late; where it is not, intervals widen at once, and say so.

use std::collections::BTreeMap;

use super::Interval;
use crate::interface::Micros;
use crate::membership::{MAX_MEMBERS, Rank};
use crate::status::Query;

/// Outcomes of a shape that are looked back at.
pub const WINDOW: u32 = 100;
/// Of them so many must have been within, or the intervals widen.
pub const TARGET_HIT_RATE: u32 = 88;
/// Outcomes from which on what was learned counts.
pub const MIN_SAMPLES: u32 = 20;
/// The quantiles that are followed. Nine in ten are to hold: with a little more, a window of [`WINDOW`] outcomes seldom
/// falls below [`TARGET_HIT_RATE`] by chance.
pub(super) const BAND: [f64; 3] = [0.04, 0.5, 0.96];
/// The widest that intervals get, as a factor to their logarithm.
const WIDEST: f64 = 8.0;
/// How far one outcome moves a quantile, in spreads.
const STEP: f64 = 0.5;
/// Part of the spread that an outcome tells.
const FADE: f64 = 0.05;

/// Which filters a query has: queries of one shape are told apart from others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shape(u8);

impl Shape {
    /// A query's.
    pub fn of(query: &Query) -> Self {
        let has = [
            !query.ids.is_empty(),
            query.from > 0 || query.to < Micros::MAX,
            !query.states.is_empty(),
            !query.classes.is_empty(),
            !query.destinations.is_empty(),
        ];
        Self(has.iter().enumerate().map(|(bit, has)| u8::from(*has) << bit).sum())
    }
}

/// What a prediction says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Figure {
    /// Shards.
    Shards,
    /// Entries.
    Entries,
    /// Bytes of entries.
    Bytes,
    /// Bytes between senders.
    WireBytes,
    /// Datagrams between senders.
    Datagrams,
    /// Rows.
    Rows,
}

/// Number of figures.
pub const FIGURES: usize = 6;

/// What a query really touched, in the order of [`Figure`], and how long it took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Touched {
    /// The figures.
    pub figures: [u64; FIGURES],
    /// Microseconds until its answer.
    pub took: Micros,
}

/// What a prediction was made from: goes back with what was touched.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Basis {
    /// Of which shape.
    pub shape: Shape,
    /// As the summaries alone have it.
    pub raw: [f64; FIGURES],
    /// As it was told.
    pub predicted: [Interval; FIGURES],
    /// Microseconds, as the links alone have it.
    pub raw_time: f64,
}

/// Follows one quantile of a stream.
#[derive(Debug, Clone, Copy)]
struct Quantile {
    part: f64,
    at: f64,
}

impl Quantile {
    fn learn(&mut self, seen: f64, step: f64) {
        self.at += if seen > self.at { step * self.part } else { step * (self.part - 1.0) };
        self.at = self.at.clamp(-50.0, 50.0);
    }
}

/// The quantiles of one figure.
#[derive(Debug, Clone, Copy)]
pub(super) struct Track {
    quantiles: [Quantile; 3],
    /// Mean distance from the middle, fading.
    spread: f64,
    /// Bit by bit, the newest first, whether the last outcomes were within.
    within: u128,
    seen: u32,
    /// Intervals are wider by this factor.
    wider: f64,
}

impl Track {
    pub(super) fn new(parts: [f64; 3]) -> Self {
        Self {
            quantiles: parts.map(|part| Quantile { part, at: 0.0 }),
            spread: 0.0,
            within: 0,
            seen: 0,
            wider: 1.0,
        }
    }

    pub(super) fn learn(&mut self, seen: f64, within: bool) {
        if self.seen == 0 {
            self.quantiles.iter_mut().for_each(|quantile| quantile.at = seen);
        }
        let off = (seen - self.quantiles[1].at).abs();
        self.spread += (off - self.spread) * if self.seen < MIN_SAMPLES { 0.2 } else { FADE };
        self.quantiles.iter_mut().for_each(|quantile| quantile.learn(seen, STEP * self.spread));
        self.seen = self.seen.saturating_add(1);
        self.within = self.within << 1 | u128::from(within);
        let hits = self.hits();
        if self.seen >= WINDOW && hits < TARGET_HIT_RATE && !within {
            self.wider = (self.wider * 1.1).min(WIDEST);
        } else if hits > TARGET_HIT_RATE + 2 {
            self.wider = (self.wider * 0.99).max(1.0);
        }
    }

    /// What a figure is told as, when others than what was learned say so much.
    pub(super) fn interval(&self, raw: Interval, expected: f64, doubt: f64) -> Interval {
        let said = log(expected);
        if self.seen < MIN_SAMPLES {
            let most = raw.most.max(whole(said + std::f64::consts::LN_2 + doubt));
            return Interval { least: raw.least.min(raw.expected), expected: raw.expected, most };
        }
        let [low, middle, high] = self.quantiles.map(|quantile| quantile.at);
        let (low, high) = (low.min(middle), high.max(middle));
        let wide = |off: f64| off * self.wider;
        let least = whole(said + middle - wide(middle - low) - doubt);
        let most = (said + middle + wide(high - middle) + doubt).exp() - 1.0;
        let expected = whole(said + middle + 1e-9);
        Interval {
            least: least.min(expected),
            expected,
            most: (most - 1e-6).ceil().max(expected as f64) as u64,
        }
    }

    /// By how many percent its intervals are wider since too few held of late.
    pub(super) fn widened(&self) -> Option<u32> {
        (self.missed() || self.wider > 1.05).then_some(((self.wider - 1.0) * 100.0) as u32)
    }

    /// Of the last [`WINDOW`] outcomes those that were within.
    fn hits(&self) -> u32 {
        (self.within & ((1 << WINDOW) - 1)).count_ones()
    }

    fn missed(&self) -> bool {
        self.seen >= WINDOW && self.hits() < TARGET_HIT_RATE
    }
}

/// What one link's answers took.
#[derive(Debug, Clone, Copy)]
struct Link {
    /// Mean of the microseconds, and mean deviation.
    trip: (f64, f64),
}

/// All that was learned; bounded by the number of shapes, of sizes and of members.
#[derive(Debug, Default)]
pub struct Calibration {
    figures: BTreeMap<Shape, [Option<Track>; FIGURES]>,
    /// By shape and logarithm of the number of shards.
    times: BTreeMap<(Shape, u32), Track>,
    links: BTreeMap<Rank, Link>,
}

/// A figure's logarithm, so that none at all is one too.
pub(super) fn log(figure: f64) -> f64 {
    (figure + 1.0).ln()
}

fn whole(figure: f64) -> u64 {
    // A cast saturates at both ends.
    (figure.exp() - 1.0).max(0.0) as u64
}

impl Calibration {
    /// What a figure is told as: `doubt` widens it further.
    pub fn interval(
        &self,
        shape: Shape,
        figure: Figure,
        raw: Interval,
        expected: f64,
        doubt: f64,
    ) -> Interval {
        let track = self.figures.get(&shape).and_then(|tracks| tracks[figure as usize].as_ref());
        track.copied().unwrap_or(Track::new(BAND)).interval(raw, expected, doubt)
    }

    /// By how many percent the intervals of a shape are wider since too few held of late.
    pub fn missed(&self, shape: Shape) -> Option<u32> {
        self.figures.get(&shape)?.iter().flatten().filter_map(Track::widened).max()
    }

    /// Of the last [`WINDOW`] outcomes of a shape, how many were within what was told of a figure.
    pub fn hit_rate(&self, shape: Shape, figure: Figure) -> Option<u32> {
        let track = self.figures.get(&shape)?[figure as usize].as_ref()?;
        (track.seen >= WINDOW).then(|| track.hits())
    }

    /// The time for a query, microseconds: median and 99th percentile.
    pub fn time(&self, shape: Shape, shards: u64, raw: f64) -> (Micros, Micros) {
        match self.times.get(&(shape, size(shards))).filter(|track| track.seen >= MIN_SAMPLES) {
            Some(track) => {
                let [_, middle, high] = track.quantiles.map(|quantile| quantile.at);
                (whole(log(raw) + middle), whole(log(raw) + high.max(middle)))
            }
            // Nothing is known: the tail of one link is taken for four times its mean.
            None => (raw as Micros, (raw * 4.0) as Micros),
        }
    }

    /// A query was answered.
    pub fn learn(&mut self, basis: &Basis, touched: &Touched) {
        let tracks = self.figures.entry(basis.shape).or_insert([None; FIGURES]);
        for (at, track) in tracks.iter_mut().enumerate() {
            let (raw, told, found) = (basis.raw[at], basis.predicted[at], touched.figures[at]);
            let track = track.get_or_insert_with(|| Track::new(BAND));
            track.learn(log(found as f64) - log(raw), told.holds(found));
        }
        let key = (basis.shape, size(basis.predicted[Figure::Shards as usize].expected));
        let track = self.times.entry(key).or_insert_with(|| Track::new([BAND[0], 0.5, 0.99]));
        track.learn(log(touched.took as f64) - log(basis.raw_time), true);
    }

    /// An owner's or replica's part of an answer took so long.
    pub fn link(&mut self, rank: Rank, took: Micros) {
        if usize::from(rank) >= MAX_MEMBERS {
            return;
        }
        let took = took as f64;
        let link = self.links.entry(rank).or_insert(Link { trip: (took, took / 2.0) });
        let (mean, off) = link.trip;
        link.trip = (mean + (took - mean) / 8.0, off + ((took - mean).abs() - off) / 8.0);
    }

    /// What a sender's part of an answer takes, microseconds; `otherwise` where nothing is known.
    pub fn round_trip(&self, rank: Rank, otherwise: f64) -> f64 {
        self.links.get(&rank).map_or(otherwise, |link| link.trip.0 + link.trip.1)
    }
}

fn size(shards: u64) -> u32 {
    shards.saturating_add(1).ilog2().min(12)
}
