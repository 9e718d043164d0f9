//! Convergence figures of the membership view in virtual time, over many seeds:
//! `cargo run --release --example membership -- 50`.

#[path = "../tests/common/tier.rs"]
mod tier;

use myrtleyard::interface::Micros;
use myrtleyard::membership::State;
use tier::{PERIOD, START, Tier};

/// Median, 99th percentile and maximum, in periods, and the number of runs in which the condition never held.
fn shown(mut periods: Vec<Option<u32>>) -> String {
    let runs = periods.len();
    let never = periods.iter().filter(|p| p.is_none()).count();
    periods.retain(Option::is_some);
    periods.sort_unstable();
    let at = |share: f64| {
        let place = (share * periods.len().saturating_sub(1) as f64).ceil() as usize;
        periods.get(place).copied().flatten().map_or("-".into(), |p| p.to_string())
    };
    let never = if never > 0 { format!(", never in {never}") } else { String::new() };
    format!("{} / {} / {} of {runs} seeds{never}", at(0.5), at(0.99), at(1.0))
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(10);
    let sizes: Vec<usize> = match std::env::args().nth(2) {
        Some(size) => size.parse().ok().into_iter().collect(),
        None => vec![2, 10, 100, 300],
    };
    let over = |figure: &dyn Fn(u64) -> Option<u32>| shown((1..=seeds).map(|n| figure(n * 7919)).collect());
    for size in sizes {
        println!("{size} members; periods as median / 99th percentile / maximum");
        println!(
            "  all start cold, until all views are complete: {}",
            over(&|seed| { Tier::new(size, seed).until(200, Tier::converged) })
        );
        if size > 2 {
            println!(
                "  one crashes, until it is dead in all views: {}",
                over(&|seed| {
                    let mut tier = settled(size, seed);
                    tier.remove(1);
                    tier.until(200, |tier| tier.all_see(1, State::Dead))
                })
            );
            println!(
                "  three in ten crash at once, until all of them are dead in all views: {}",
                over(&|seed| {
                    let mut tier = settled(size, seed);
                    (0..size * 3 / 10).for_each(|rank| drop(tier.remove(rank)));
                    tier.until(300, |t| (0..size * 3 / 10).all(|rank| t.all_see(rank, State::Dead)))
                })
            );
            println!(
                "  seven in ten crash at once, until all of them are dead in all views: {}",
                over(&|seed| {
                    let mut tier = settled(size, seed);
                    (0..size * 7 / 10).for_each(|rank| drop(tier.remove(rank)));
                    tier.until(300, |t| (0..size * 7 / 10).all(|rank| t.all_see(rank, State::Dead)))
                })
            );
            println!(
                "  these come back together, until all views are complete: {}",
                over(&|seed| {
                    let mut tier = settled(size, seed);
                    (0..size * 7 / 10).for_each(|rank| drop(tier.remove(rank)));
                    tier.pass(100 * PERIOD);
                    (0..size * 7 / 10).for_each(|rank| tier.start(rank));
                    tier.until(300, Tier::converged)
                })
            );
            println!(
                "  a split in halves for 60 periods heals, until all views are complete: {}",
                over(&|seed| {
                    let mut tier = settled(size, seed);
                    let half = size as u16 / 2;
                    tier.cut = Box::new(move |a, b, _| (a < half) != (b < half));
                    tier.pass(60 * PERIOD);
                    tier.cut = Box::new(|_, _, _| false);
                    tier.until(200, Tier::converged)
                })
            );
        }
        println!(
            "  one restarts at once, until all views are complete: {}",
            over(&|seed| {
                let mut tier = settled(size, seed);
                tier.remove(0);
                tier.start(0);
                tier.until(200, |t| {
                    t.converged()
                        && t.members[0].as_ref().is_some_and(|m| m.members()[0].record.incarnation > 1)
                })
            })
        );
        if size <= 100 {
            for loss in [0.05, 0.2, 0.4] {
                let periods: u32 = if size == 100 { 1000 } else { 3000 };
                let mut wronged = 0u64;
                for seed in 1..=seeds {
                    let mut tier = settled(size, seed);
                    tier.loss = loss;
                    for _ in 0..periods {
                        tier.pass(PERIOD);
                        wronged += u64::from(tier.false_deaths() > 0);
                    }
                }
                let all = seeds * u64::from(periods);
                println!("  loss {loss}: a running member considered dead in {wronged} of {all} periods");
            }
        }
        let mut tier = settled(size, 5);
        let before: (u64, u64) = cost(&tier);
        tier.pass(50 * PERIOD);
        let after = cost(&tier);
        let a_period = |n: u64| n as f64 / size as f64 / 50.0;
        println!(
            "  cost: {:.1} datagrams, {:.0} bytes per member and period",
            a_period(after.0 - before.0),
            a_period(after.1 - before.1)
        );
    }
}

fn cost(tier: &Tier) -> (u64, u64) {
    let counts = || tier.members.iter().flatten().map(|m| m.counts);
    (counts().map(|c| c.sent).sum(), counts().map(|c| c.sent_bytes).sum())
}

fn settled(size: usize, seed: u64) -> Tier {
    let mut tier = Tier::new(size, seed);
    tier.until(200, Tier::converged);
    let settled: Micros = 10 * PERIOD;
    tier.pass(settled);
    assert!(tier.now > START);
    tier
}
