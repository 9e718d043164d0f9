//! Many runs: over seeds, of two programs in turn, in search of a schedule that breaks a rule, and to make
//! one smaller.

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

/// Why runs are not begun.
#[derive(Debug, thiserror::Error)]
pub enum NoRuns {
    /// No seeds.
    #[error("{0}: expected a seed, or a range such as 1..20 of 10,000 at most")]
    Seeds(String),
    /// This program does not know where it lies.
    #[error("{0}")]
    Place(#[from] io::Error),
    /// The sender's program is not there.
    #[error("the sender is not built: cargo build --release --locked")]
    NotBuilt,
}

coded_error! { NoRuns {
    Seeds => "fleet.seeds", "give a number, or two with .. between them, the smaller one first";
    Place => "fleet.place", "name the sender's program with --binary";
    NotBuilt => "fleet.not-built", "build it as the line says, or name one with --binary";
} }

/// Seeds as a range, `1..20`, both ends among them, or one alone.
///
/// # Errors
/// Tells what is expected.
pub fn seeds(text: &str) -> Result<Vec<u64>, NoRuns> {
    let wrong = || NoRuns::Seeds(text.to_owned());
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let (from, to) = (from.parse().map_err(|_| wrong())?, to.parse::<u64>().map_err(|_| wrong())?);
    if from <= to && to - from < 10_000 { Ok((from..=to).collect()) } else { Err(wrong()) }
}

/// Plays all of these, `jobs` at a time, and hands each to `done` with its place.
///
/// # Errors
/// Fails with the first that could not be played at all.
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

/// Median, least and most.
fn spread(mut values: Vec<f64>) -> [f64; 3] {
    values.sort_by(f64::total_cmp);
    match (values.first(), values.get(values.len() / 2), values.last()) {
        (Some(least), Some(median), Some(most)) => [*median, *least, *most],
        _ => [0.0; 3],
    }
}

fn cell(values: Vec<f64>) -> String {
    let [median, least, most] = spread(values);
    format!("{median:.1} ({least:.1} to {most:.1})")
}

/// A row for each scenario: medians over the seeds, with the least and the most.
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
    let starts: Vec<_> = groups.iter().filter(|(_, outcomes)| outcomes.iter().any(|o| shown(o))).collect();
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

/// Whether the start of a run is worth a row: of many senders, or at a list service that turned some away.
fn shown(outcome: &Outcome) -> bool {
    let start = &outcome.figures.start;
    start.senders > MANY || start.list_turned_away > 0
}

/// See [`shown`].
const MANY: usize = 30;

/// Figures of a start.
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
        // One that never gets there shows as what no run can have.
        ("as usual after s", &|o| o.figures.start.as_usual_s.unwrap_or(9999.0)),
    ];
    figures.into_iter()
}

/// A figure of a run, and its name.
type Figure<'a> = (&'a str, &'a dyn Fn(&Outcome) -> f64);

/// Differences of two programs on the same seeds, pair by pair, as text.
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
    let starts = pairs.iter().any(|(a, b)| shown(a) || shown(b));
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

/// The scenario with its faults written out, so that it can be made smaller.
pub fn written_out(scenario: &Scenario, seed: u64) -> Scenario {
    Scenario { fault: schedule(scenario, seed), mix: None, ..scenario.clone() }
}

/// Leaves faults out, as long as one of `broken` is still broken: halves first, then one by one (delta
/// debugging, Zeller and Hildebrandt, 2002, without its complements). A run that is doubted counts as kept,
/// so that what is left is sure.
///
/// # Errors
/// Fails when a run could not be played.
pub fn shrink(
    first: &Play,
    broken: &BTreeSet<Rule>,
    most_runs: usize,
    mut told: impl FnMut(usize, usize),
) -> io::Result<Scenario> {
    let mut smallest = written_out(&first.scenario, first.seed);
    let (mut runs, mut size) = (0, smallest.fault.len().div_ceil(2).max(1));
    loop {
        let mut from = 0;
        let mut smaller = false;
        while from < smallest.fault.len() {
            if runs >= most_runs {
                return Ok(smallest);
            }
            let mut tried = smallest.clone();
            let until = (from + size).min(tried.fault.len());
            tried.fault.drain(from..until);
            runs += 1;
            let outcome = play(&Play { scenario: tried.clone(), ..first.clone() })?;
            told(runs, tried.fault.len());
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

/// The sender's program beside this one, where cargo puts both.
///
/// # Errors
/// Tells how it is built.
pub fn own_binary() -> Result<PathBuf, NoRuns> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    // A test's program lies one folder deeper.
    let places = [folder.join("myrtleyard"), folder.join("../myrtleyard")];
    let found = places.into_iter().find(|place| place.is_file());
    found.ok_or(NoRuns::NotBuilt)
}
