//! Calibration: what queries of a shape really took, with older outcomes fading, and the interval width that
//! this needs.
//!
//! For each figure, three quantiles ([`BAND`]) of the logarithm of the ratio of actual to raw value are
//! tracked; each outcome moves them a little: conformal quantile tracking (Angelopoulos, Candès, Tibshirani,
//! 2023, after Gibbs and Candès, 2021). In the long run the share of outcomes within the interval converges
//! to its target whatever the load does. A window of recent outcomes shows whether that holds now; where it
//! does not, the intervals widen at once, and the prediction says so.

use std::collections::BTreeMap;

use super::Interval;
use crate::interface::Micros;
use crate::membership::{MAX_MEMBERS, Rank};
use crate::status::Query;

/// Number of recent outcomes of a shape that are remembered.
pub const WINDOW: u32 = 100;
/// If fewer than this many of them fell into their intervals, the intervals widen.
pub const TARGET_HIT_RATE: u32 = 88;
/// Number of outcomes from which calibration is used.
pub const MIN_SAMPLES: u32 = 20;
/// The quantiles that are tracked. The target is nine in ten; the band is a little wider, so that a window of
/// [`WINDOW`] outcomes seldom falls below [`TARGET_HIT_RATE`] by chance.
pub(super) const BAND: [f64; 3] = [0.04, 0.5, 0.96];
/// Maximum factor by which intervals are widened, on a logarithmic scale.
const MAX_WIDENING: f64 = 8.0;
/// How far one outcome moves a quantile, as a multiple of the spread.
const QUANTILE_STEP: f64 = 0.5;
/// Weight of one outcome in the running mean of the spread.
const SPREAD_WEIGHT: f64 = 0.05;

/// The set of filters that a query has. Each shape is calibrated on its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shape(u8);

impl Shape {
    /// The shape of a query.
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

/// The predicted figures.
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

/// What a prediction was calculated from; needed again to learn from the outcome.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Basis {
    /// The query's shape.
    pub shape: Shape,
    /// The figures by the summaries alone.
    pub raw: [f64; FIGURES],
    /// The intervals as reported.
    pub predicted: [Interval; FIGURES],
    /// Microseconds, by the round trips alone.
    pub raw_time: f64,
}

/// Tracks one quantile of a stream.
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

/// Tracks one figure.
#[derive(Debug, Clone, Copy)]
pub(super) struct Track {
    quantiles: [Quantile; 3],
    /// Running mean of the distance from the median.
    spread: f64,
    /// One bit for each recent outcome, the newest lowest: whether it fell into its interval.
    within: u128,
    seen: u32,
    /// Factor by which the intervals are widened.
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
        self.spread += (off - self.spread) * if self.seen < MIN_SAMPLES { 0.2 } else { SPREAD_WEIGHT };
        self.quantiles.iter_mut().for_each(|quantile| quantile.learn(seen, QUANTILE_STEP * self.spread));
        self.seen = self.seen.saturating_add(1);
        self.within = self.within << 1 | u128::from(within);
        let hits = self.hits();
        if self.seen >= WINDOW && hits < TARGET_HIT_RATE && !within {
            self.wider = (self.wider * 1.1).min(MAX_WIDENING);
        } else if hits > TARGET_HIT_RATE + 2 {
            self.wider = (self.wider * 0.99).max(1.0);
        }
    }

    /// The calibrated interval. `raw` and `expected` are the values before calibration; `doubt` widens it
    /// further.
    pub(super) fn interval(&self, raw: Interval, expected: f64, doubt: f64) -> Interval {
        let said = log(expected);
        if self.seen < MIN_SAMPLES {
            let most = raw.most.max(figure_of(said + std::f64::consts::LN_2 + doubt));
            return Interval { least: raw.least.min(raw.expected), expected: raw.expected, most };
        }
        let [low, middle, high] = self.quantiles.map(|quantile| quantile.at);
        let (low, high) = (low.min(middle), high.max(middle));
        let wide = |off: f64| off * self.wider;
        let least = figure_of(said + middle - wide(middle - low) - doubt);
        let most = (said + middle + wide(high - middle) + doubt).exp() - 1.0;
        let expected = figure_of(said + middle + 1e-9);
        Interval {
            least: least.min(expected),
            expected,
            most: (most - 1e-6).ceil().max(expected as f64) as u64,
        }
    }

    /// By how many percent the intervals are widened because too few recent outcomes fell into them.
    pub(super) fn widened(&self) -> Option<u32> {
        (self.missed() || self.wider > 1.05).then_some(((self.wider - 1.0) * 100.0) as u32)
    }

    /// How many of the last [`WINDOW`] outcomes fell into their intervals.
    fn hits(&self) -> u32 {
        (self.within & ((1 << WINDOW) - 1)).count_ones()
    }

    fn missed(&self) -> bool {
        self.seen >= WINDOW && self.hits() < TARGET_HIT_RATE
    }
}

/// Answer times of one link.
#[derive(Debug, Clone, Copy)]
struct Link {
    /// Mean and mean deviation, microseconds.
    trip: (f64, f64),
}

/// The whole calibration; bounded by the number of shapes, of shard count classes and of members.
#[derive(Debug, Default)]
pub struct Calibration {
    figures: BTreeMap<Shape, [Option<Track>; FIGURES]>,
    /// By shape and logarithm of the number of shards.
    times: BTreeMap<(Shape, u32), Track>,
    links: BTreeMap<Rank, Link>,
}

/// Logarithm of a figure plus one, so that zero has one too.
pub(super) fn log(figure: f64) -> f64 {
    (figure + 1.0).ln()
}

fn figure_of(figure: f64) -> u64 {
    // The cast saturates at both ends.
    (figure.exp() - 1.0).max(0.0) as u64
}

impl Calibration {
    /// The calibrated interval of a figure; `doubt` widens it further.
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

    /// By how many percent the intervals of a shape are widened because too few recent outcomes fell into
    /// them.
    pub fn missed(&self, shape: Shape) -> Option<u32> {
        self.figures.get(&shape)?.iter().flatten().filter_map(Track::widened).max()
    }

    /// How many of the last [`WINDOW`] outcomes of a shape fell into the predicted interval of a figure.
    pub fn hit_rate(&self, shape: Shape, figure: Figure) -> Option<u32> {
        let track = self.figures.get(&shape)?[figure as usize].as_ref()?;
        (track.seen >= WINDOW).then(|| track.hits())
    }

    /// Time of a query, microseconds: median and 99th percentile.
    pub fn time(&self, shape: Shape, shards: u64, raw: f64) -> (Micros, Micros) {
        match self.times.get(&(shape, size_class(shards))).filter(|track| track.seen >= MIN_SAMPLES) {
            Some(track) => {
                let [_, middle, high] = track.quantiles.map(|quantile| quantile.at);
                (figure_of(log(raw) + middle), figure_of(log(raw) + high.max(middle)))
            }
            // Without samples the 99th percentile is taken to be four times the mean of one link.
            None => (raw as Micros, (raw * 4.0) as Micros),
        }
    }

    /// Learns from a query that was answered.
    pub fn learn(&mut self, basis: &Basis, touched: &Touched) {
        let tracks = self.figures.entry(basis.shape).or_insert([None; FIGURES]);
        for (at, track) in tracks.iter_mut().enumerate() {
            let (raw, told, found) = (basis.raw[at], basis.predicted[at], touched.figures[at]);
            let track = track.get_or_insert_with(|| Track::new(BAND));
            track.learn(log(found as f64) - log(raw), told.holds(found));
        }
        let key = (basis.shape, size_class(basis.predicted[Figure::Shards as usize].expected));
        let track = self.times.entry(key).or_insert_with(|| Track::new([BAND[0], 0.5, 0.99]));
        track.learn(log(touched.took as f64) - log(basis.raw_time), true);
    }

    /// Learns how long a partial result of an owner or replica took.
    pub fn link(&mut self, rank: Rank, took: Micros) {
        if usize::from(rank) >= MAX_MEMBERS {
            return;
        }
        let took = took as f64;
        let link = self.links.entry(rank).or_insert(Link { trip: (took, took / 2.0) });
        let (mean, off) = link.trip;
        link.trip = (mean + (took - mean) / 8.0, off + ((took - mean).abs() - off) / 8.0);
    }

    /// Mean plus mean deviation of the time of a sender's partial results, microseconds; `otherwise` without
    /// samples.
    pub fn round_trip(&self, rank: Rank, otherwise: f64) -> f64 {
        self.links.get(&rank).map_or(otherwise, |link| link.trip.0 + link.trip.1)
    }
}

fn size_class(shards: u64) -> u32 {
    shards.saturating_add(1).ilog2().min(12)
}
