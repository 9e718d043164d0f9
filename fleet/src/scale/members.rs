//! Figures over the members of a tier.

use std::collections::BTreeMap;

use myrtleyard::membership::Counts;

use super::figure::Figure;

/// The value below which this share of the values lies, by rank.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let place = (share * sorted.len().saturating_sub(1) as f64).ceil() as usize;
    sorted.get(place).copied().unwrap_or(0.0)
}

/// What each member sent and received between two looks at its counts.
pub fn traffic(before: &[Counts], after: &[Counts], seconds: f64) -> BTreeMap<Figure, f64> {
    let each = |of: &dyn Fn(&Counts) -> u64| -> Vec<f64> {
        let members = before.iter().zip(after);
        members.map(|(before, after)| (of(after) - of(before)) as f64 / seconds).collect()
    };
    let mut figures = BTreeMap::new();
    let mut add = |names: [Figure; 3], values: Vec<f64>| {
        let shares = [0.5, 0.99, 1.0];
        figures.extend(names.into_iter().zip(shares.map(|share| quantile(&values, share))));
    };
    add([Figure::SentMedian, Figure::SentP99, Figure::SentWorst], each(&|c| c.sent));
    add(
        [Figure::SentBytesMedian, Figure::SentBytesP99, Figure::SentBytesWorst],
        each(&|counts| counts.sent_bytes),
    );
    add([Figure::ReceivedMedian, Figure::ReceivedP99, Figure::ReceivedWorst], each(&|c| c.received));
    add(
        [Figure::ReceivedBytesMedian, Figure::ReceivedBytesP99, Figure::ReceivedBytesWorst],
        each(&|counts| counts.received_bytes),
    );
    figures
}
