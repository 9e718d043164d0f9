//! Checks a history against the protocol's rules. It uses only what is visible from outside the senders, and
//! has no false positives by design: where an outside observer can't decide, it reports nothing.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::rules::{Breach, Rule};
use super::{Asked, CallEnd, Entry, Head, History, What};
use crate::Micros;

/// Added to every time limit of the protocol when it is measured on sockets.
const SOCKET_SLACK: Micros = 50_000;
/// Time after its deadline at which a message without an end counts as lost.
const LOST_AFTER: Micros = 300_000;
/// Time that a sender has for overdue notices after it has returned.
const BACK_SLACK: Micros = 1_500_000;
/// Calls within this time after a Retry-After was received are tolerated.
const WAIT_SLACK: Micros = 100_000;
/// A process resumed after a stop may finish the write that the stop interrupted.
const RESUME_SLACK: Micros = 200_000;
/// The end of a message and a call with it may cross on two connections.
const END_SLACK: Micros = 100_000;
/// Maximum size of a datagram, in bytes.
pub const DATAGRAM_LIMIT: usize = 256;

/// One try of a message, as seen from outside.
#[derive(Debug, Clone, Default)]
pub struct Try {
    /// The id of the first try.
    pub root: String,
    /// The sender that it was handed in at.
    pub sender: usize,
    /// Its class.
    pub class: usize,
    /// Its destination.
    pub dest: u16,
    /// Scheduled hand-in time.
    pub meant: Micros,
    /// Latest time of delivery.
    pub deadline: Micros,
    /// When the client received an answer, and its status.
    pub heard: Option<(Micros, u16)>,
    /// When the client stopped waiting: nothing under this id is counted.
    pub void: Option<Micros>,
    /// Its effects: when, and in which call.
    pub effects: Vec<(Micros, u64)>,
    /// When the endpoint confirmed its delivery.
    pub delivered: Option<Micros>,
    /// Notices of its end: when, from which sender, and their status.
    pub notices: Vec<(Micros, usize, String)>,
    /// Numbers of the calls that contain it.
    pub calls: Vec<u64>,
}

impl Try {
    /// Whether the client was told that it is accepted.
    pub fn taken(&self) -> bool {
        matches!(self.heard, Some((_, 200 | 202))) && self.void.is_none()
    }

    /// Time of its first end.
    pub fn ended(&self) -> Option<Micros> {
        let noticed = self.notices.first().map(|notice| notice.0);
        [self.delivered, noticed].into_iter().flatten().min()
    }
}

/// A call, as the endpoint saw it.
#[derive(Debug, Clone)]
pub struct SeenCall {
    /// The sender that made it.
    pub sender: usize,
    /// The destination at which it arrived.
    pub dest: u16,
    /// The endpoint.
    pub endpoint: String,
    /// When the sender wrote its first byte.
    pub first: Micros,
    /// When the sender wrote its last byte.
    pub last: Micros,
    /// When it had arrived whole.
    pub came: Micros,
    /// When its answer was written, when that arrived at the sender, and the outcome per message.
    pub answered: Option<(Micros, Micros, Vec<CallEnd>)>,
    /// The messages in it.
    pub ids: Vec<String>,
}

impl SeenCall {
    /// Whether the message may have run in this call, as far as the sender can know at time `at`.
    fn may_have_run(&self, id: &str, at: Micros) -> bool {
        match &self.answered {
            Some((written, _, ends)) if *written <= at => {
                let place = self.ids.iter().position(|other| other == id);
                place.and_then(|place| ends.get(place)) != Some(&CallEnd::Never)
            }
            _ => true,
        }
    }
}

/// Starts and interruptions of one sender, as seen from outside.
#[derive(Debug, Clone, Default)]
pub struct Life {
    /// Periods in which it owes nothing: down, stopped, or only just returned. The end may be open.
    pub excused: Vec<(Micros, Micros)>,
    /// When it left for good.
    pub away: Option<Micros>,
    /// When its state folder was emptied.
    pub emptied: Vec<Micros>,
    /// When its processes were started; a new process has forgotten what its predecessor was told.
    pub starts: Vec<Micros>,
    /// When it was resumed after a stop.
    pub resumed: Vec<Micros>,
}

/// The history, indexed by message, call and sender.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Tries, by id.
    pub tries: BTreeMap<String, Try>,
    /// Calls, by number.
    pub calls: BTreeMap<u64, SeenCall>,
    /// Senders, by rank.
    pub lives: Vec<Life>,
    /// Messages that their client will not retry, by the id of the first try.
    pub closed: HashSet<String>,
    /// When the run ended; what falls due afterwards is not judged.
    pub over: Micros,
}

impl Reading {
    /// Indexes a history.
    pub fn of(history: &History) -> Self {
        let mut reading = Self { lives: vec![Life::default(); history.head.senders], ..Self::default() };
        let mut down: HashMap<usize, Micros> = HashMap::new();
        // After a handover the old process ends while its successor already serves.
        let mut newest: HashMap<usize, u32> = HashMap::new();
        reading.over = history.entries.last().map_or(0, |entry| entry.t);
        for Entry { t, what } in &history.entries {
            let t = *t;
            match what {
                What::Offered { id, root, sender, class, dest, meant, deadline } => {
                    let (root, sender, class, dest) = (root.clone(), *sender, *class, *dest);
                    let (meant, deadline) = (*meant, *deadline);
                    let new = Try { root, sender, class, dest, meant, deadline, ..Try::default() };
                    reading.tries.insert(id.clone(), new);
                }
                What::Heard { id, status } => {
                    if let Some(seen) = reading.tries.get_mut(id) {
                        seen.heard = Some((t, *status));
                    }
                }
                What::GaveUp { id } => {
                    if let Some(seen) = reading.tries.get_mut(id) {
                        seen.void = Some(t);
                    }
                }
                What::Closed { root } => {
                    reading.closed.insert(root.clone());
                }
                What::Call { call, sender, endpoint, dest, ids, first, last } => {
                    for id in ids {
                        if let Some(seen) = reading.tries.get_mut(id) {
                            seen.calls.push(*call);
                        }
                    }
                    let (endpoint, ids) = (endpoint.clone(), ids.clone());
                    let (sender, dest, first, last) = (*sender, *dest, *first, *last);
                    let seen = SeenCall { sender, dest, endpoint, first, last, came: t, answered: None, ids };
                    reading.calls.insert(*call, seen);
                }
                What::Effect { call, id, repeat } => {
                    if let (Some(seen), false) = (reading.tries.get_mut(id), repeat) {
                        seen.effects.push((t, *call));
                    }
                }
                What::Answered { call, written, ends, .. } => {
                    if let Some(seen) = reading.calls.get_mut(call) {
                        seen.answered = Some((*written, t, ends.clone()));
                        for (id, _) in seen.ids.iter().zip(ends).filter(|(_, end)| **end == CallEnd::Done) {
                            if let Some(seen) = reading.tries.get_mut(id) {
                                seen.delivered.get_or_insert(*written);
                            }
                        }
                    }
                }
                What::Notice { sender, id, status } => {
                    if let Some(seen) = reading.tries.get_mut(id) {
                        seen.notices.push((t, *sender, status.clone()));
                    }
                }
                What::Started { sender, empty, generation } => {
                    newest.insert(*sender, *generation);
                    if let Some(life) = reading.lives.get_mut(*sender) {
                        life.starts.push(t);
                        if *empty {
                            life.emptied.push(t);
                        }
                    }
                }
                What::Signal { sender, generation, .. } | What::Ended { sender, generation, .. }
                    if newest.get(sender) != Some(generation) => {}
                What::Signal { sender, signal, .. } => match signal.as_str() {
                    "SIGCONT" => reading.mark_back(&mut down, *sender, t, true),
                    _ => drop(down.entry(*sender).or_insert(t)),
                },
                What::Ended { sender, .. } => drop(down.entry(*sender).or_insert(t)),
                What::Ready { sender, .. } => reading.mark_back(&mut down, *sender, t, false),
                What::Away { sender } => {
                    if let Some(life) = reading.lives.get_mut(*sender) {
                        life.away = Some(t);
                    }
                }
                _ => {}
            }
        }
        for (sender, since) in down {
            if let Some(life) = reading.lives.get_mut(sender) {
                life.excused.push((since, Micros::MAX));
            }
        }
        reading
    }

    fn mark_back(&mut self, down: &mut HashMap<usize, Micros>, sender: usize, t: Micros, resumed: bool) {
        let Some(life) = self.lives.get_mut(sender) else { return };
        if let Some(since) = down.remove(&sender) {
            life.excused.push((since, t + BACK_SLACK));
        }
        if resumed {
            life.resumed.push(t);
        }
    }

    /// Whether the sender that had accepted a message lost its state folder, or left for good, before the
    /// message ended.
    pub fn orphaned(&self, seen: &Try) -> bool {
        self.orphaned_at(seen).is_some()
    }

    /// When a message became orphaned, see [`Reading::orphaned`].
    pub fn orphaned_at(&self, seen: &Try) -> Option<Micros> {
        let life = self.lives.get(seen.sender)?;
        let since = seen.heard.map_or(0, |heard| heard.0);
        // A message that ended before the loss is not orphaned; one that another sender ended after it is.
        let still_open = |t: &Micros| since <= *t && seen.ended().is_none_or(|ended| ended > *t);
        life.away.into_iter().chain(life.emptied.iter().copied()).filter(still_open).min()
    }

    /// When another sender first called for an orphaned message.
    pub fn called_elsewhere(&self, seen: &Try) -> Option<Micros> {
        let at = self.orphaned_at(seen)?;
        let calls = seen.calls.iter().filter_map(|call| self.calls.get(call));
        calls.filter(|call| call.sender != seen.sender && call.first >= at).map(|call| call.first).min()
    }

    /// Whether another sender could still deliver an orphaned message: it had at least `left` to its
    /// deadline, and it is not an at-most-once message that may have run in one of its owner's calls.
    pub fn deliverable(&self, seen: &Try, once: bool, left: Micros) -> bool {
        let Some(at) = self.orphaned_at(seen) else { return false };
        let calls = seen.calls.iter().filter_map(|call| self.calls.get(call));
        let mut own = calls.filter(|call| call.sender == seen.sender);
        let ran = own.any(|call| call.ids.iter().any(|id| call.may_have_run(id, Micros::MAX)));
        seen.deadline >= at + left && !(once && ran)
    }
}

/// Checks a history against all rules.
pub fn check(history: &History) -> Vec<Breach> {
    let reading = Reading::of(history);
    let mut all = Vec::new();
    for (id, seen) in &reading.tries {
        check_message(&history.head, &reading, id, seen, &mut all);
    }
    check_run(history, &reading, &mut all);
    all.extend(super::views::read(history).1);
    all.extend(super::reads::check(history));
    all.sort_by_key(|breach: &Breach| breach.t);
    all
}

/// Checks the rules that concern one message.
fn check_message(head: &Head, reading: &Reading, id: &str, seen: &Try, all: &mut Vec<Breach>) {
    let mut broken = |rule, t, what: String| all.push(Breach { rule, t, id: Some(id.to_owned()), what });
    let class = head.classes.get(seen.class);
    let calls: Vec<&SeenCall> = seen.calls.iter().filter_map(|call| reading.calls.get(call)).collect();

    let due = seen.deadline + LOST_AFTER + SOCKET_SLACK;
    let late = seen.ended().is_none_or(|ended| ended > due);
    if seen.taken() && late && due < reading.over && !reading.orphaned(seen) {
        let life = reading.lives.get(seen.sender);
        let excused = life.is_some_and(|life| {
            let excuses = life.excused.iter().filter(|(from, to)| *from <= due && due < *to);
            // An end within an excused period is in time.
            excuses.into_iter().any(|(_, to)| seen.ended().is_some_and(|e| e <= *to) || reading.over <= *to)
        });
        if !excused {
            let how = seen.ended().map_or("it has no end".to_owned(), |ended| {
                format!("it ended {} ms after its deadline", (ended - seen.deadline) / 1000)
            });
            broken(Rule::Lost, due, format!("accepted by sender {}, but {how}", seen.sender));
        }
    }

    if seen.void.is_none() {
        let ends: HashSet<&str> = seen.notices.iter().map(|notice| notice.2.as_str()).collect();
        let last = seen.notices.last().map_or(0, |notice| notice.0);
        if ends.len() > 1 {
            broken(Rule::OneEnd, last, "reported both as deferred and as undeliverable".into());
        }
        if let (true, Some(effect)) = (ends.contains("deferred"), seen.effects.first()) {
            let call = effect.1;
            broken(Rule::OneEnd, last.max(effect.0), format!("deferred, but took effect in call {call}"));
        }
        if let Some((refused, 429 | 503)) = seen.heard
            && let Some(call) = calls.iter().find(|call| call.first > refused + END_SLACK)
        {
            broken(Rule::OneEnd, call.first, "called after its client was told of the refusal".into());
        }
        if let Some(ended) = seen.ended()
            && let Some(call) = calls.iter().find(|call| call.first > ended + END_SLACK)
            && reading.lives.get(call.sender).is_some_and(|life| {
                let soon = |t: &Micros| *t <= call.first && call.first <= t + BACK_SLACK;
                // A restarted process may not know of an end that its predecessor had not written to its
                // journal.
                !life.starts.iter().any(|t| *t > ended) && !life.resumed.iter().any(soon)
            })
            && seen.notices.first().is_some_and(|notice| notice.0 == ended)
        {
            let sender = call.sender;
            broken(
                Rule::OneEnd,
                call.first,
                format!("called by sender {sender} after its end had been reported"),
            );
        }
    }

    if calls.len() > head.try_limit {
        let first = calls.get(head.try_limit).map_or(0, |call| call.first);
        broken(Rule::Attempts, first, format!("{} calls, {} allowed", calls.len(), head.try_limit));
    }

    let Some(class) = class else { return };
    if class.once {
        if let [_, (t, call), ..] = seen.effects.as_slice() {
            broken(Rule::Duplicate, *t, format!("a second effect, in call {call}"));
        }
        for (n, call) in calls.iter().enumerate() {
            if calls[..n].iter().any(|earlier| earlier.may_have_run(id, call.first)) {
                let sender = call.sender;
                broken(
                    Rule::Duplicate,
                    call.first,
                    format!("called again by sender {sender} although it may have run"),
                );
            }
        }
    } else if class.window > 0 {
        let ran: Vec<_> = calls.iter().filter(|call| call.may_have_run(id, Micros::MAX)).collect();
        if let Some(first) = ran.first() {
            // The destination counts the window from the arrival of the call, the sender from its first byte.
            let until = first.first + class.window + SOCKET_SLACK;
            for call in calls.iter().filter(|call| call.first > until) {
                let after = (call.first - first.first) / 1000;
                broken(Rule::Window, call.first, format!("called again {after} ms after it may have run"));
            }
        }
    }
}

/// Checks the rules that don't concern a single message.
fn check_run(history: &History, reading: &Reading, all: &mut Vec<Breach>) {
    let head = &history.head;
    // Retry-After by sender and destination: when the sender received it, and until when it lasts.
    let mut waits: HashMap<(usize, u16), Vec<(Micros, Micros)>> = HashMap::new();
    let mut leaving: HashMap<(usize, &str), Micros> = HashMap::new();
    let mut ready: HashMap<usize, u32> = HashMap::new();
    let mut broken = |rule, t, id: Option<&String>, what| all.push(Breach { rule, t, id: id.cloned(), what });
    let restarted = |sender: usize, from: Micros, to: Micros| {
        reading.lives.get(sender).is_some_and(|l| l.starts.iter().any(|t| from <= *t && *t <= to))
    };
    let just_resumed = |sender: usize, at: Micros| {
        reading.lives.get(sender).is_some_and(|l| l.resumed.iter().any(|t| *t <= at && at < t + RESUME_SLACK))
    };
    for Entry { t, what } in &history.entries {
        match what {
            What::Answered { call, written, wait: Some(wait), .. } => {
                if let Some(seen) = reading.calls.get(call) {
                    waits.entry((seen.sender, seen.dest)).or_default().push((*t, written + wait));
                }
            }
            What::Started { sender, .. } => leaving.retain(|told, _| told.0 != *sender),
            What::Told { sender, endpoint, status } => {
                let key = (*sender, endpoint.as_str());
                match status.as_str() {
                    "active" => drop(leaving.remove(&key)),
                    _ => drop(leaving.entry(key).or_insert(*t)),
                }
            }
            What::Call { sender, endpoint, dest, ids, first, .. } => {
                let told = waits.get(&(*sender, *dest)).into_iter().flatten();
                for (known, until) in told {
                    let within = *first > known + WAIT_SLACK + SOCKET_SLACK && *first + 1_000 < *until;
                    if within && !restarted(*sender, *known, *first) && !just_resumed(*sender, *first) {
                        let left = (until - first) / 1000;
                        let what = format!(
                            "sender {sender} called {endpoint} {left} ms before its Retry-After had elapsed"
                        );
                        broken(Rule::Wait, *first, ids.first(), what);
                        break;
                    }
                }
                if let Some(told) = leaving.get(&(*sender, endpoint.as_str()))
                    && *first > told + head.drain_grace + SOCKET_SLACK
                    && !just_resumed(*sender, *first)
                {
                    let after = (first - told) / 1000;
                    let what =
                        format!("sender {sender} called {endpoint} {after} ms after its drain or removal");
                    broken(Rule::Drain, *first, ids.first(), what);
                }
                for id in ids {
                    match reading.tries.get(id) {
                        None => {
                            let what = format!("sender {sender} sent a message that no client handed in");
                            broken(Rule::Misdirected, *first, Some(id), what);
                        }
                        Some(seen) if seen.dest != *dest => {
                            let what = format!("meant for destination {}, sent to {dest}", seen.dest);
                            broken(Rule::Misdirected, *first, Some(id), what);
                        }
                        Some(_) => {}
                    }
                }
            }
            What::Heard { id, status: 0 } => {
                let sender = reading.tries.get(id).map_or(0, |seen| seen.sender);
                let away = reading.lives.get(sender).is_some_and(|life| {
                    life.excused.iter().any(|(from, to)| *from <= *t + BACK_SLACK && *t < *to)
                });
                if !away {
                    let what = format!("sender {sender} ended the connection without an answer");
                    broken(Rule::Unanswered, *t, Some(id), what);
                }
            }
            What::Ready { sender, generation } => drop(ready.insert(*sender, *generation)),
            What::Oversize { sender, bytes } => {
                broken(Rule::Oversize, *t, None, format!("sender {sender} sent a datagram of {bytes} bytes"));
            }
            What::Ended { sender, asked, code, generation } => {
                let well = match asked {
                    Asked::Kill => true,
                    Asked::Terminate => *code == Some(0),
                    // A process that has handed over may end at any time.
                    Asked::No => {
                        *code == Some(0) && ready.get(sender).is_some_and(|newer| newer > generation)
                    }
                };
                if !well {
                    let what = format!(
                        "process {generation} of sender {sender} ended, asked {asked:?}, code {code:?}"
                    );
                    broken(Rule::Process, *t, None, what);
                }
            }
            What::Fell { dest, by } => {
                let calls: u64 = by.iter().map(|(_, calls, _)| calls).sum();
                let knew: u64 = by.iter().filter(|by| by.2).map(|(_, calls, _)| calls).sum();
                if calls > 0 && knew * 3 >= calls * 2 {
                    let what = format!(
                        "destination {dest} overloaded, {knew} of {calls} calls by senders that saw it fail"
                    );
                    broken(Rule::Fallback, *t, None, what);
                }
            }
            _ => {}
        }
    }
}
