//! The report of a run: `report.json` with all statistics, a self-contained page with plots, and a table.

mod page;

use std::fs::File;
use std::io::{self, Read};
use std::path::Path;

use comfy_table::{Table, presets};
use serde_json::json;
use sha2::{Digest, Sha256};

use crate::experiment::{Outcome, Play};
use crate::ledger::History;
use crate::ledger::figures::{Figures, Tally};

/// A file's SHA-256, as hexadecimal text.
///
/// # Errors
/// Fails when the file can't be read.
pub fn digest(path: &Path) -> io::Result<String> {
    let (mut file, mut digest) = (File::open(path)?, Sha256::new());
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let size = file.read(&mut buffer)?;
        if size == 0 {
            return Ok(digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect());
        }
        digest.update(&buffer[..size]);
    }
}

/// Writes `report.json` and `page.html` into the run's folder.
///
/// # Errors
/// Fails when a file can't be written.
pub fn write(play: &Play, outcome: &Outcome, history: &History) -> io::Result<()> {
    let report = json!({
        "scenario": play.scenario.name, "seed": play.seed, "code": outcome.code(),
        "version": env!("CARGO_PKG_VERSION"),
        "binary": {"path": play.binary, "sha256": digest(&play.binary)?},
        "scenario_sha256": digest(&play.out.join("scenario.toml"))?,
        "outcome": outcome,
    });
    std::fs::write(play.out.join("report.json"), serde_json::to_vec_pretty(&report)?)?;
    std::fs::write(play.out.join("page.html"), page::page(play, outcome, history)?)
}

/// An empty table in this project's style.
pub fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY).set_header(header.to_vec());
    table
}

/// The run's summary, as text.
pub fn summary(play: &Play, outcome: &Outcome) -> String {
    let figures = &outcome.figures;
    let mut rows = table(&[
        "class",
        "messages",
        "in time %",
        "late %",
        "deferred %",
        "failed %",
        "no end",
        "p50 ms",
        "p90 ms",
        "p99 ms",
    ]);
    let mut row = |name: &str, tally: &Tally| {
        let share = |count| format!("{:.1}", tally.share(count));
        let ms = |n: usize| format!("{:.0}", tally.latency_ms[n]);
        rows.add_row(vec![
            name.to_owned(),
            tally.messages.to_string(),
            share(tally.in_time),
            share(tally.late),
            share(tally.deferred),
            share(tally.failed),
            tally.without.to_string(),
            ms(0),
            ms(1),
            ms(2),
        ]);
    };
    row("all", &figures.all);
    figures.classes.iter().for_each(|(name, tally)| row(name, tally));
    let mut text = format!("{}, seed {}\n{rows}\n", play.scenario.name, play.seed);
    let [median, most, _] = outcome.lateness_us.map(|us| us as f64 / 1000.0);
    text += &format!(
        "calls {}, repeats dropped by key {}, datagrams {} ({} bytes), the bench late by {median:.1} ms \
         (median), {most:.1} ms (99th percentile)\n",
        figures.calls, figures.repeats, figures.datagrams[0], figures.datagrams[1]
    );
    let cost = &outcome.cost;
    text += &format!(
        "the bench used {:.1} s of CPU time and at most {} descriptors; the senders used {:.1} s and \
         logged {:.1} MB\n",
        cost.bench_cpu_s,
        cost.descriptors,
        cost.senders_cpu_s,
        cost.log_bytes as f64 / 1e6
    );
    text += &start(figures);
    for (sessions, reads) in play.scenario.sessions.iter().zip(&figures.reads) {
        text += &format!(
            "reads of {} ({:?}): {}, served {}, with less {}, partial {}, refused {}, without an answer {}; \
             {:.0} ms (median), {:.0} ms (99th percentile)\n",
            sessions.tenant,
            sessions.level,
            reads.all,
            reads.served,
            reads.less,
            reads.partial,
            reads.refused,
            reads.silent,
            reads.latency_ms[0],
            reads.latency_ms[1]
        );
    }
    if figures.orphaned > 0 {
        text += &format!(
            "in hand at senders that left for good or lost their state folder: {}, ended in time {}, \
             delivered {}\n",
            figures.orphaned, figures.orphaned_ended, figures.orphaned_delivered
        );
        let times = &figures.takeover_ms;
        let at = |share: usize| times.get((times.len().saturating_sub(1)) * share / 100).copied();
        if let (Some(median), Some(most)) = (at(50), at(100)) {
            text += &format!(
                "deliverable with 3 s left {}, delivered {}; first call elsewhere after {median:.0} ms \
                 (median of {}), {most:.0} ms (maximum)\n",
                figures.deliverable,
                figures.deliverable_delivered,
                times.len()
            );
        }
    }
    for breach in outcome.broken.iter().take(MAX_SHOWN) {
        text += &format!("BROKEN {breach}\n");
    }
    if outcome.broken.len() > MAX_SHOWN {
        text += &format!("and {} more, in report.json\n", outcome.broken.len() - MAX_SHOWN);
    }
    for trouble in &outcome.troubles {
        text += &format!("FAILED {trouble}\n");
    }
    text += &match (&outcome.doubt, outcome.code()) {
        (Some(doubt), _) => format!("not trustworthy: {doubt}\n"),
        (None, 0) => "all rules kept\n".to_owned(),
        (None, _) => "rules broken\n".to_owned(),
    };
    text
}

/// The statistics of a start of the tier, in one line.
pub fn start(figures: &Figures) -> String {
    let start = &figures.start;
    format!(
        "start of {} at {:.1} s: ready after {:.0} ms (median), {:.0} ms (99th percentile), \
         all after {:.2} s; \
         list calls {}, {} in the worst second, {} turned away, {} silent, of a sender in its first 10 s \
         {:.2} (mean), {} (most); connections {}, {} at an endpoint in a second; falls {}; \
         calls refused {}, wasted {}; in time in the first 30 s {:.1}%, as usual after {} s\n",
        start.senders,
        start.at_s,
        start.ready_ms[0],
        start.ready_ms[1],
        start.all_ready_s,
        start.list_calls,
        start.list_worst_second,
        start.list_turned_away,
        start.list_silent,
        start.list_first.0,
        start.list_first.1,
        start.connections,
        start.connections_worst,
        start.falls.len(),
        start.refused,
        start.wasted,
        start.in_time(),
        start.as_usual_s.map_or("-".to_owned(), |s| format!("{s:.0}"))
    )
}

/// Maximum violations shown on the terminal.
const MAX_SHOWN: usize = 10;
