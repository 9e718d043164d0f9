//! Multiple runs: over seeds, of two programs alternately, in search of a fault schedule that breaks a rule,
//! and to shrink one.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::coded_error;
use crate::experiment::{Outcome, Play, play};
use crate::ledger::rules::Rule;
use crate::nemesis::schedule;
use crate::report;
use crate::scenario::Scenario;

/// Why runs can't be started.
#[derive(Debug, thiserror::Error)]
pub enum NoRuns {
    /// Invalid seeds.
    #[error("{0}: expected a seed, or a range such as 1..20 of at most 10,000 seeds")]
    Seeds(String),
    /// The path of this program is unknown.
    #[error("{0}")]
    Place(#[from] io::Error),
    /// The sender's program has not been built.
    #[error("the sender is not built: cargo build --release --locked")]
    NotBuilt,
}

coded_error! { NoRuns {
    Seeds => "fleet.seeds", "give a number, or two separated by .. with the smaller one first";
    Place => "fleet.place", "give the sender's program with --binary";
    NotBuilt => "fleet.not-built", "run the named build command, or give a program with --binary";
} }

/// Parses seeds: an inclusive range such as `1..20`, or a single seed.
///
/// # Errors
/// Fails when the text is neither.
pub fn seeds(text: &str) -> Result<Vec<u64>, NoRuns> {
    let invalid = || NoRuns::Seeds(text.to_owned());
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let (from, to) = (from.parse().map_err(|_| invalid())?, to.parse::<u64>().map_err(|_| invalid())?);
    if from <= to && to - from < 10_000 { Ok((from..=to).collect()) } else { Err(invalid()) }
}

/// Executes all runs, `jobs` at a time, and passes each outcome to `done` with its index.
///
/// # Errors
/// Fails with the error of the first run that could not be executed.
pub fn all(plays: &[Play], jobs: usize, done: impl Fn(usize, &Outcome) + Sync) -> io::Result<Vec<Outcome>> {
    let next = AtomicUsize::new(0);
    let outcomes: Mutex<BTreeMap<usize, io::Result<Outcome>>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let n = next.fetch_add(1, Ordering::Relaxed)
                    && let Some(one) = plays.get(n)
                {
                    let outcome = play(one);
                    if let Ok(outcome) = &outcome {
                        done(n, outcome);
                    }
                    if let Ok(mut outcomes) = outcomes.lock() {
                        outcomes.insert(n, outcome);
                    }
                }
            });
        }
    });
    outcomes.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner).into_values().collect()
}

/// The rules that a run broke; a sender that does not start breaks [`Rule::Process`].
pub fn rules(outcome: &Outcome) -> BTreeSet<Rule> {
    let mut rules: BTreeSet<Rule> = outcome.broken.iter().map(|breach| breach.rule).collect();
    if !outcome.troubles.is_empty() {
        rules.insert(Rule::Process);
    }
    rules
}

/// Median, minimum and maximum.
fn median_min_max(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    match (values.first(), values.get(values.len() / 2), values.last()) {
        (Some(least), Some(median), Some(most)) => [*median, *least, *most],
        _ => [0.0; 3],
    }
}

fn cell(values: Vec<f64>) -> String {
    let [median, least, most] = median_min_max(values);
    format!("{median:.1} ({least:.1} to {most:.1})")
}

/// A row per scenario: medians over the seeds, with minimum and maximum.
pub fn rows(groups: &[(String, Vec<&Outcome>)]) -> String {
    let mut table = report::table(&[
        "scenario",
        "runs",
        "doubted",
        "rules broken",
        "in time %",
        "late %",
        "deferred %",
        "failed %",
        "no end",
        "orphaned: ended / all",
        "deliverable: delivered / all",
        "taken over, ms",
        "late p99 ms",
    ]);
    for (name, outcomes) in groups {
        let trusted: Vec<&&Outcome> = outcomes.iter().filter(|outcome| outcome.doubt.is_none()).collect();
        let mut broken: BTreeMap<Rule, usize> = BTreeMap::new();
        for rule in trusted.iter().flat_map(|outcome| rules(outcome)) {
            *broken.entry(rule).or_default() += 1;
        }
        let broken: Vec<String> = broken.iter().map(|(rule, runs)| format!("{rule} in {runs}")).collect();
        let share = |count: &dyn Fn(&Outcome) -> u64| {
            cell(trusted.iter().map(|outcome| outcome.figures.all.share(count(outcome))).collect())
        };
        let sum = |count: &dyn Fn(&Outcome) -> u64| trusted.iter().map(|o| count(o)).sum::<u64>();
        table.add_row(vec![
            name.clone(),
            outcomes.len().to_string(),
            (outcomes.len() - trusted.len()).to_string(),
            if broken.is_empty() { "none".into() } else { broken.join(", ") },
            share(&|o| o.figures.all.in_time),
            share(&|o| o.figures.all.late),
            share(&|o| o.figures.all.deferred),
            share(&|o| o.figures.all.failed),
            sum(&|o| o.figures.all.without).to_string(),
            format!("{} / {}", sum(&|o| o.figures.orphaned_ended), sum(&|o| o.figures.orphaned)),
            format!("{} / {}", sum(&|o| o.figures.deliverable_delivered), sum(&|o| o.figures.deliverable)),
            cell(trusted.iter().flat_map(|o| o.figures.takeover_ms.iter().copied()).collect()),
            cell(outcomes.iter().map(|o| o.lateness_us[1] as f64 / 1000.0).collect()),
        ]);
    }
    let starts: Vec<_> =
        groups.iter().filter(|(_, outcomes)| outcomes.iter().any(|o| shows_start(o))).collect();
    if starts.is_empty() {
        return table.to_string();
    }
    let names: Vec<&str> = ["scenario"].into_iter().chain(starts_figures().map(|figure| figure.0)).collect();
    let mut second = report::table(&names);
    for (name, outcomes) in starts {
        let trusted: Vec<&&Outcome> = outcomes.iter().filter(|outcome| outcome.doubt.is_none()).collect();
        let cells = starts_figures().map(|(_, figure)| cell(trusted.iter().map(|o| figure(o)).collect()));
        second.add_row([name.clone()].into_iter().chain(cells).collect::<Vec<_>>());
    }
    format!("{table}\n{second}")
}

/// Whether the statistics of a run's start are shown: it had many senders, or the list service rejected
/// calls.
fn shows_start(outcome: &Outcome) -> bool {
    let start = &outcome.figures.start;
    start.senders > MANY_SENDERS || start.list_turned_away > 0
}

/// Above this number of senders the statistics of the start are shown.
const MANY_SENDERS: usize = 30;

/// Statistics of a start, by name.
fn starts_figures() -> impl Iterator<Item = Figure<'static>> {
    let figures: [Figure; 14] = [
        ("list calls", &|o| o.figures.start.list_calls as f64),
        ("in the worst second", &|o| o.figures.start.list_worst_second as f64),
        ("of a sender in 10 s", &|o| o.figures.start.list_first.0),
        ("turned away", &|o| o.figures.start.list_turned_away as f64),
        ("new connections", &|o| o.figures.start.connections as f64),
        ("at an endpoint in a second", &|o| o.figures.start.connections_worst as f64),
        ("falls", &|o| o.figures.start.falls.len() as f64),
        ("refused calls", &|o| o.figures.start.refused as f64),
        ("wasted calls", &|o| o.figures.start.wasted as f64),
        ("ready ms, median", &|o| o.figures.start.ready_ms[0]),
        ("ready ms, p99", &|o| o.figures.start.ready_ms[1]),
        ("all ready s", &|o| o.figures.start.all_ready_s),
        ("in time %, first 30 s", &|o| o.figures.start.in_time()),
        // A run that never gets back to normal shows as a value that no run can reach.
        ("as usual after s", &|o| o.figures.start.as_usual_s.unwrap_or(9999.0)),
    ];
    figures.into_iter()
}

/// A statistic of a run, with its name.
type Figure<'a> = (&'a str, &'a dyn Fn(&Outcome) -> f64);

/// The differences of two programs on the same seeds, pair by pair, as text.
pub fn differences(pairs: &[(&Outcome, &Outcome)]) -> String {
    let mut table = report::table(&["figure", "A", "B", "B - A, by pairs"]);
    let figures: [Figure; 6] = [
        ("in time %", &|o| o.figures.all.share(o.figures.all.in_time)),
        ("late %", &|o| o.figures.all.share(o.figures.all.late)),
        ("failed or without end %", &|o| o.figures.all.share(o.figures.all.failed + o.figures.all.without)),
        ("p50 ms", &|o| o.figures.all.latency_ms[0]),
        ("p99 ms", &|o| o.figures.all.latency_ms[2]),
        ("calls", &|o| o.figures.calls as f64),
    ];
    let starts = pairs.iter().any(|(a, b)| shows_start(a) || shows_start(b));
    for (name, figure) in figures.into_iter().chain(starts_figures().filter(|_| starts)) {
        table.add_row(vec![
            name.to_owned(),
            cell(pairs.iter().map(|(a, _)| figure(a)).collect()),
            cell(pairs.iter().map(|(_, b)| figure(b)).collect()),
            cell(pairs.iter().map(|(a, b)| figure(b) - figure(a)).collect()),
        ]);
    }
    let broke = |n: usize| pairs.iter().filter(|p| !rules(if n == 0 { p.0 } else { p.1 }).is_empty()).count();
    format!("{table}\nruns with a broken rule, of {}: A {}, B {}", pairs.len(), broke(0), broke(1))
}

/// The scenario with its random faults listed explicitly, so that it can be shrunk.
pub fn with_explicit_faults(scenario: &Scenario, seed: u64) -> Scenario {
    Scenario { fault: schedule(scenario, seed), mix: None, ..scenario.clone() }
}

/// Removes faults as long as one of the rules in `broken` is still broken: halves first, then single faults
/// (delta debugging, Zeller and Hildebrandt, 2002, without its complements). An untrustworthy run counts as
/// breaking no rule, so that the result certainly breaks one.
///
/// # Errors
/// Fails when a run could not be executed.
pub fn shrink(
    first: &Play,
    broken: &BTreeSet<Rule>,
    max_runs: usize,
    mut on_run: impl FnMut(usize, usize),
) -> io::Result<Scenario> {
    let mut smallest = with_explicit_faults(&first.scenario, first.seed);
    let (mut runs, mut size) = (0, smallest.fault.len().div_ceil(2).max(1));
    loop {
        let mut from = 0;
        let mut smaller = false;
        while from < smallest.fault.len() {
            if runs >= max_runs {
                return Ok(smallest);
            }
            let mut tried = smallest.clone();
            let until = (from + size).min(tried.fault.len());
            tried.fault.drain(from..until);
            runs += 1;
            let outcome = play(&Play { scenario: tried.clone(), ..first.clone() })?;
            on_run(runs, tried.fault.len());
            if outcome.doubt.is_none() && !rules(&outcome).is_disjoint(broken) {
                smallest = tried;
                smaller = true;
            } else {
                from = until;
            }
        }
        if size == 1 && !smaller {
            return Ok(smallest);
        }
        size = (size / 2).max(1);
    }
}

/// The sender's program in the folder of this one, where cargo puts both.
///
/// # Errors
/// Fails, naming the build command, when it is not there.
pub fn own_binary() -> Result<PathBuf, NoRuns> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    // The program of a test is one folder deeper.
    let places = [folder.join("myrtleyard"), folder.join("../myrtleyard")];
    let found = places.into_iter().find(|place| place.is_file());
    found.ok_or(NoRuns::NotBuilt)
}
