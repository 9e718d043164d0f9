//! The roles of a deployment at the design size: what each takes, by which record, and whether it holds.

use std::collections::BTreeMap;
use std::path::Path;

use super::book::Book;
use super::design::{self, DESTINATIONS, SENDER_EVENTS_PER_S, SENDERS};
use super::down::PLAYED_S;
use super::figure::Figure;
use super::page::shown;
use super::record::Unread;
use super::verdict::{Value, crossed};
use super::{Axis, DISK_MB};

/// Messages that a sender holds when all backlogs are at their most.
const BACKLOG_EACH: u64 = design::BACKLOG / SENDERS;
/// Messages that destinations which are down leave at a sender on an ordinary day, for the 24 s that each lives.
const ORDINARY_IN_HAND: f64 = 224.0 * 0.044 * 24.0;
/// The time between two turns of the module, microseconds.
const TURN_US: f64 = 5_000.0;
/// What replicas of the status index may be sent in a second, bytes.
const STATUS_BYTES_PER_S: f64 = 1_048_576.0;
/// Changes of the configuration a second.
pub const CHANGES_PER_S: f64 = design::CHANGES_PER_DAY as f64 / 86_400.0;

/// All axes, read.
pub struct Shelf(BTreeMap<Axis, Book>);

impl Shelf {
    /// Reads the files of all axes.
    ///
    /// # Errors
    /// Fails when one can't be read.
    pub fn read(folder: &Path) -> Result<Self, Unread> {
        let book = |axis| Ok((axis, Book::read(folder, axis)?));
        Axis::ALL.into_iter().map(book).collect::<Result<_, Unread>>().map(Self)
    }

    /// The book of an axis.
    pub fn of(&self, axis: Axis) -> &Book {
        &self.0[&axis]
    }

    /// A figure at a size.
    pub fn value(&self, axis: Axis, figure: Figure, size: u64) -> Value {
        Value::of(self.of(axis), figure, size)
    }

    /// A figure at a size that may be refused, if its form went on.
    pub fn beyond(&self, axis: Axis, figure: Figure, size: u64) -> Value {
        Value::beyond(self.of(axis), figure, size)
    }
}

/// A row of the table of roles.
pub struct Role {
    /// Its name.
    pub name: &'static str,
    /// What carries it, by its standard name.
    pub mechanism: &'static str,
    /// What it holds at the design size.
    pub state: String,
    /// Processor time, memory and bytes at the design size on an ordinary day.
    pub ordinary: String,
    /// The same at its worst hour.
    pub worst: String,
    /// The axes that it rests on.
    pub rests_on: &'static str,
    /// The budget, and the share of it that is used.
    pub budget: String,
    /// The verdict, and the share of the design size at which it breaks.
    pub verdict: (String, Option<f64>),
}

/// A share of a budget as a cell.
fn share(value: Option<f64>, budget: f64) -> String {
    value.map_or("not measured".to_owned(), |value| format!("{}%", shown(value / budget * 100.0)))
}

/// A figure at the largest size that was taken, as a cell.
pub fn largest(shelf: &Shelf, axis: Axis, figure: Figure) -> String {
    let last = shelf.of(axis).taken(figure).last().copied();
    last.map_or("not measured".to_owned(), |(size, value)| format!("{} at {}", shown(value), shown(size)))
}

/// All roles.
pub fn all(shelf: &Shelf) -> Vec<Role> {
    let mut roles = vec![journal(shelf), module(shelf), hand(shelf), connections(shelf), list(shelf)];
    roles.extend([view(shelf), takeover(shelf), status(), configuration(shelf)]);
    roles.extend([service(shelf), lines(shelf)]);
    roles.extend(unmeasured());
    roles
}

fn journal(shelf: &Shelf) -> Role {
    let at_disk = shelf.value(Axis::Disk, Figure::InHand, DISK_MB);
    let each = shelf.value(Axis::Journal, Figure::JournalEach, BACKLOG_EACH);
    let verdict = match at_disk.known() {
        Some(room) if room < BACKLOG_EACH as f64 => {
            let factor = shown(BACKLOG_EACH as f64 / room);
            let text = format!(
                "does not hold: room for {} of {BACKLOG_EACH}, short by a factor of {factor}",
                shown(room)
            );
            (text, Some(room / BACKLOG_EACH as f64))
        }
        Some(_) => ("holds as measured".to_owned(), None),
        None => ("not measured".to_owned(), None),
    };
    Role {
        name: "sender: intake and journal",
        mechanism: "write-ahead log, compacted; admission control by room",
        state: format!(
            "{BACKLOG_EACH} messages in hand with all backlogs; room at disk_mb {DISK_MB}: {}",
            at_disk.cell(1.0, "messages")
        ),
        ordinary: format!(
            "{} messages in hand (arithmetic: 24 s at destinations that are down); {} from intake to delivery of 224 events \
             a second, bytes written {}",
            shown(ORDINARY_IN_HAND),
            shelf.value(Axis::Events, Figure::CpuPerSecond, SENDER_EVENTS_PER_S).cell(1e-4, "% of a core"),
            shelf.value(Axis::Events, Figure::Written, SENDER_EVENTS_PER_S).cell(1e-3, "kB a second")
        ),
        worst: format!("journal: {} for {BACKLOG_EACH} messages", each.cell(BACKLOG_EACH as f64 / 1e9, "GB")),
        rests_on: "disk, journal, events",
        budget: "no part of control".to_owned(),
        verdict,
    }
}

fn module(shelf: &Shelf) -> Role {
    let each = shelf.value(Axis::Spread, Figure::CpuEach, DESTINATIONS);
    let memory = shelf.value(Axis::Spread, Figure::Resident, DESTINATIONS);
    let open = shelf.value(Axis::Spread, Figure::OpenShare, DESTINATIONS);
    let verdict = match open.known() {
        Some(share) if share < 0.5 => {
            let percent = shown(share * 100.0);
            let text = format!(
                "does not hold: breakers guard {percent}% of the endpoints that are down after {} s",
                PLAYED_S[0]
            );
            (text, breaks(shelf))
        }
        Some(_) => ("holds as measured".to_owned(), None),
        None => ("not measured".to_owned(), None),
    };
    Role {
        name: "sender: module and breakers",
        mechanism: "circuit breaker, one a destination, five consecutive failures",
        state: format!("{}, list and breakers of the module", memory.cell(1e-6, "MB")),
        ordinary: format!(
            "{} at 224 events a second; {}",
            each.cell(SENDER_EVENTS_PER_S as f64 / 1e4, "% of a core"),
            shelf.value(Axis::Spread, Figure::Wasted, DESTINATIONS).cell(1.0, "wasted attempts a second")
        ),
        worst: ends(shelf),
        rests_on: "spread, down, traffic",
        budget: "no part of control".to_owned(),
        verdict,
    }
}

/// The smallest share of the design's destinations at which breakers guard under half of what is down.
fn breaks(shelf: &Shelf) -> Option<f64> {
    let points = shelf.of(Axis::Spread).taken(Figure::OpenShare);
    points.iter().rev().find(|(_, share)| *share >= 0.5).map(|(size, _)| size / DESTINATIONS as f64)
}

fn hand(shelf: &Shelf) -> Role {
    let turn = shelf.beyond(Axis::Hand, Figure::CpuTurn, BACKLOG_EACH);
    let crossed = crossed(shelf.of(Axis::Hand), Figure::CpuTurn, TURN_US, BACKLOG_EACH);
    let verdict = crossed.unwrap_or_else(|| turn.verdict(TURN_US, BACKLOG_EACH));
    Role {
        name: "sender: messages in hand at the module",
        mechanism: "ordered map, walked in each turn",
        state: format!(
            "{} for {BACKLOG_EACH} messages",
            shelf.value(Axis::Hand, Figure::ResidentEach, BACKLOG_EACH).cell(BACKLOG_EACH as f64 / 1e9, "GB")
        ),
        ordinary: "part of the row above".to_owned(),
        worst: format!("processor time of a turn, us: {}", largest(shelf, Axis::Hand, Figure::CpuTurn)),
        rests_on: "hand",
        budget: format!("5 ms a turn: {}", share(turn.known(), TURN_US)),
        verdict,
    }
}

fn connections(shelf: &Shelf) -> Role {
    let reused = shelf.value(Axis::Spread, Figure::Reused, DESTINATIONS);
    let verdict = match reused.known() {
        Some(share) if share < 0.01 => {
            ("holds, without use: no connection is used again, and each attempt opens one".to_owned(), None)
        }
        Some(_) => ("holds as measured".to_owned(), None),
        None => ("not measured".to_owned(), None),
    };
    Role {
        name: "sender: connections",
        mechanism: "keep-alive pool, closed when idle",
        state: "not measured".to_owned(),
        ordinary: format!("{} of attempts find a connection", reused.cell(100.0, "%")),
        worst: "not measured".to_owned(),
        rests_on: "spread, events",
        budget: "no part of control".to_owned(),
        verdict,
    }
}

fn list(shelf: &Shelf) -> Role {
    let memory = shelf.beyond(Axis::List, Figure::Resident, DESTINATIONS);
    let processor = shelf.beyond(Axis::List, Figure::CpuPerSecond, DESTINATIONS);
    let refused = shelf.value(Axis::List, Figure::Resident, DESTINATIONS);
    let book = shelf.of(Axis::List);
    let worst = book.bounds().1.map_or_else(
        || anew(shelf),
        |from| {
            let at = |figure| book.at(from, figure).unwrap_or(0.0);
            format!(
                "refused at {from} destinations: {} calls, {} MB and {}% of a core a second, without end",
                shown(at(Figure::Calls)),
                shown(at(Figure::CallBytes) / 1e6),
                shown(at(Figure::CpuPerSecond) / 1e4)
            )
        },
    );
    Role {
        name: "sender: list",
        mechanism: "watch by long poll, snapshot and changes",
        state: format!("{DESTINATIONS} destinations, {} endpoints", design::ENDPOINTS),
        ordinary: format!(
            "{}, {}{}",
            processor.cell(1e-4, "% of a core"),
            memory.cell(1e-6, "MB"),
            if book.bounds().1.is_some() { ", if the form of what is taken went on" } else { "" }
        ),
        worst,
        rests_on: "list, traffic",
        budget: format!("32 MB: {}", share(memory.known(), design::MEMORY_BYTES)),
        verdict: refused.verdict(design::MEMORY_BYTES, DESTINATIONS),
    }
}

/// Figures of the axis `traffic` at the design size; nothing where one was not measured.
fn of_traffic<const N: usize>(shelf: &Shelf, figures: [Figure; N]) -> Option<[f64; N]> {
    let values = figures.map(|figure| shelf.of(Axis::Traffic).at(DESTINATIONS, figure));
    values.iter().all(Option::is_some).then(|| values.map(Option::unwrap_or_default))
}

/// What a whole list that comes again takes, and one change a second.
fn anew(shelf: &Shelf) -> String {
    let figures = [Figure::PeakOver, Figure::P99Ratio, Figure::CpuChanges];
    of_traffic(shelf, figures).map_or("not measured".to_owned(), |[peak, ratio, changes]| {
        format!(
            "a second whole list: {} MB over a sender of 30 destinations at the peak, {} times the latency to the 202; one \
             change a second: {}% of a core",
            shown(peak / 1e6),
            shown(ratio),
            shown(changes / 1e4)
        )
    })
}

/// What became of messages under the design's load.
fn ends(shelf: &Shelf) -> String {
    let counts = [
        Figure::LoadedFor,
        Figure::Answered202,
        Figure::EndDelivered,
        Figure::EndNotice,
        Figure::EndLost,
        Figure::EndLate,
        Figure::EndTwice,
        Figure::Misdirected,
        Figure::WorkingSet,
    ];
    let Some(counts) = of_traffic(shelf, counts) else { return "not measured".to_owned() };
    let [seconds, taken, delivered, noticed, lost, late, twice, misdirected, working] = counts.map(shown);
    format!(
        "real sender, {seconds} s of 224 messages a second: {taken} answered 202, {delivered} delivered, {noticed} ended by \
         notice, {lost} lost, {late} late, {twice} ended twice, {misdirected} misdirected; {working} destinations at the module"
    )
}

fn view(shelf: &Shelf) -> Role {
    let sent = shelf.beyond(Axis::View, Figure::SentBytesWorst, SENDERS);
    let processor = shelf.beyond(Axis::View, Figure::CpuMember, SENDERS);
    let refused =
        shelf.value(Axis::Hollow, Figure::SentBytesWorst, SENDERS).verdict(design::BYTES_PER_S, SENDERS);
    let crossed = crossed(shelf.of(Axis::View), Figure::SentBytesWorst, design::BYTES_PER_S, SENDERS);
    let verdict = match crossed {
        Some((text, share)) => (format!("{text}; the check: {}", refused.0), share),
        None => refused,
    };
    Role {
        name: "sender: view",
        mechanism: "gossip membership with several observers a member, as Rapid",
        state: format!(
            "bytes of a member {}, the network's queue included",
            largest(shelf, Axis::View, Figure::MemberResident)
        ),
        ordinary: format!(
            "{}; bytes a second sent {} (median), {} (worst member)",
            processor.cell(1e-4, "% of a core"),
            largest(shelf, Axis::View, Figure::SentBytesMedian),
            largest(shelf, Axis::View, Figure::SentBytesWorst)
        ),
        worst: format!(
            "regions apart: bytes a second sent {} (worst member)",
            largest(shelf, Axis::Leave, Figure::SplitBytesWorst)
        ),
        rests_on: "view, hollow, leave",
        budget: format!("3 kB a second: {}", share(sent.known(), design::BYTES_PER_S)),
        verdict,
    }
}

fn takeover(shelf: &Shelf) -> Role {
    let sent = shelf.value(Axis::Cover, Figure::SentBytesMedian, SENDER_EVENTS_PER_S);
    Role {
        name: "sender: takeover",
        mechanism: "leases, two replicas of each message's record",
        state: "not measured".to_owned(),
        ordinary: format!(
            "{} at 224 events a second, {} of them covered; three senders, bodies of 512 bytes",
            sent.cell(1e-3, "kB a second sent"),
            shelf.value(Axis::Cover, Figure::Covered, SENDER_EVENTS_PER_S).cell(100.0, "%")
        ),
        worst: "not measured".to_owned(),
        rests_on: "cover",
        budget: format!("3 kB a second: {}", share(sent.known(), design::BYTES_PER_S)),
        verdict: sent.verdict(design::BYTES_PER_S, SENDER_EVENTS_PER_S),
    }
}

fn status() -> Role {
    Role {
        name: "sender: status index",
        mechanism: "sharded index, log shipping to replicas",
        state: "not measured".to_owned(),
        ordinary: "not measured".to_owned(),
        worst: format!("{} kB a second sent (its own bound, arithmetic)", shown(STATUS_BYTES_PER_S / 1e3)),
        rests_on: "arithmetic",
        budget: format!("3 kB a second: up to {}", share(Some(STATUS_BYTES_PER_S), design::BYTES_PER_S)),
        verdict: ("not measured; its own bound is over the budget".to_owned(), None),
    }
}

fn configuration(shelf: &Shelf) -> Role {
    let each = shelf.beyond(Axis::Reload, Figure::CpuEach, DESTINATIONS);
    let per_s = each.known().map(|each| each * CHANGES_PER_S);
    Role {
        name: "sender: configuration",
        mechanism: "file and SIGHUP, checked as a whole",
        state: "one document of 256 KiB at most".to_owned(),
        ordinary: format!("{} each, one every 18 s", each.cell(1e-3, "ms of a core")),
        worst: "not measured".to_owned(),
        rests_on: "reload",
        budget: format!("2.2% of a core: {}", share(per_s, design::CPU_US_PER_S)),
        verdict: match each {
            Value::BySlope(each) => {
                Value::BySlope(each * CHANGES_PER_S).verdict(design::CPU_US_PER_S, DESTINATIONS)
            }
            value => value.verdict(design::CPU_US_PER_S / CHANGES_PER_S, DESTINATIONS),
        },
    }
}

fn service(shelf: &Shelf) -> Role {
    let book = shelf.of(Axis::List);
    let bytes = book.bounds().1.and_then(|from| book.at(from, Figure::CallBytes));
    let worst = bytes.map_or("not measured".to_owned(), |bytes| {
        format!(
            "{} GB a second if all {SENDERS} senders ask for a list that they refuse (arithmetic, from the smallest refused)",
            shown(bytes * SENDERS as f64 / 1e9)
        )
    });
    Role {
        name: "agent and list service",
        mechanism: "long poll, whole snapshots",
        state: "not measured".to_owned(),
        ordinary: format!("calls a second of a sender {}", largest(shelf, Axis::List, Figure::Calls)),
        worst,
        rests_on: "list",
        budget: "not set".to_owned(),
        verdict: ("not measured".to_owned(), None),
    }
}

fn lines(shelf: &Shelf) -> Role {
    Role {
        name: "lines between zones and regions",
        mechanism: "datagrams, two in three to another region",
        state: "none".to_owned(),
        ordinary: format!(
            "the view's bytes a second of a member {}, two in three of them to another region (arithmetic)",
            largest(shelf, Axis::View, Figure::SentBytesMedian)
        ),
        worst: "not measured".to_owned(),
        rests_on: "view",
        budget: "not set".to_owned(),
        verdict: ("not measured".to_owned(), None),
    }
}

/// Roles of which no axis tells anything yet.
fn unmeasured() -> Vec<Role> {
    let role = |name, mechanism, state: &str| Role {
        name,
        mechanism,
        state: state.to_owned(),
        ordinary: "not measured".to_owned(),
        worst: "not measured".to_owned(),
        rests_on: "-",
        budget: "not measured".to_owned(),
        verdict: ("not measured".to_owned(), None),
    };
    vec![
        role("sender: estimates", "learned cost model, summaries by gossip", "not measured"),
        role("sender: plans", "sessions with tokens, token bucket", "not measured"),
        role(
            "sender: start",
            "paced first calls, kept list",
            "not measured; docs/start.md has runs of 300 senders",
        ),
        role("the 8 control machines", "none: nothing runs there today", "none"),
        role("operators' program", "one call a sender, one after another or many at a time", "not measured"),
    ]
}
