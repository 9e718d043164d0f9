//! Judges a history by the protocol's rules. It knows nothing of a sender's inside, and what it calls a broken
//! rule is sure: where an outsider can't tell, it says nothing.

use std::collections::{BTreeMap, HashMap, HashSet};

use super::rules::{Breach, Rule};
use super::{Asked, CallEnd, Entry, Head, History, What};
use crate::Micros;

/// Every time limit of the protocol is so much longer on sockets.
const LONGER: Micros = 50_000;
/// After its time a message may have so long until it is lost.
const LOST_AFTER: Micros = 300_000;
/// A sender that came back has so long until its notices are overdue.
const BACK_SLACK: Micros = 1_500_000;
/// Calls that come so soon after a wait was told are let through.
const WAIT_SLACK: Micros = 100_000;
/// A process that went on after a stop may finish the write that it was stopped in.
const RESUME_SLACK: Micros = 200_000;
/// A message's end and a call of it may cross on two connections.
const END_SLACK: Micros = 100_000;
/// Datagrams hold at most so many bytes.
pub const DATAGRAM_LIMIT: usize = 256;

/// One try of a message, as outsiders saw it.
#[derive(Debug, Clone, Default)]
pub struct Try {
    /// The id of the first try.
    pub root: String,
    /// The sender that it was handed to.
    pub sender: usize,
    /// Its class.
    pub class: usize,
    /// Its destination.
    pub dest: u16,
    /// When it was meant to be handed in.
    pub meant: Micros,
    /// Until when it may be delivered.
    pub deadline: Micros,
    /// What the client heard and when.
    pub heard: Option<(Micros, u16)>,
    /// The client stopped waiting: nothing under this id counts.
    pub void: Option<Micros>,
    /// Its effects, the calls that made them.
    pub effects: Vec<(Micros, u64)>,
    /// When the endpoint wrote that it is delivered.
    pub delivered: Option<Micros>,
    /// Notices of its end.
    pub notices: Vec<(Micros, usize, String)>,
    /// Calls with it.
    pub calls: Vec<u64>,
}

impl Try {
    /// The client has heard that it is taken on.
    pub fn taken(&self) -> bool {
        matches!(self.heard, Some((_, 200 | 202))) && self.void.is_none()
    }

    /// When it ended, by whichever end came first.
    pub fn ended(&self) -> Option<Micros> {
        let noticed = self.notices.first().map(|notice| notice.0);
        [self.delivered, noticed].into_iter().flatten().min()
    }
}

/// A call, as the endpoint saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Who made it.
    pub sender: usize,
    /// The destination that it came to.
    pub dest: u16,
    /// The endpoint.
    pub endpoint: String,
    /// The sender wrote its first byte.
    pub first: Micros,
    /// The sender wrote its last byte.
    pub last: Micros,
    /// It had come.
    pub came: Micros,
    /// When its answer was written, came to the sender, and what it said.
    pub answered: Option<(Micros, Micros, Vec<CallEnd>)>,
    /// The messages in it.
    pub ids: Vec<String>,
}

impl Seen {
    /// Whether, as far as the sender can know at that time, the message may have run in this call.
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

/// A sender's life, as outsiders saw it.
#[derive(Debug, Clone, Default)]
pub struct Life {
    /// Times at which nothing can be asked of it: away, stopped, or not long back. The end may be open.
    pub excused: Vec<(Micros, Micros)>,
    /// It is not to come back.
    pub away: Option<Micros>,
    /// Its folder was emptied then.
    pub emptied: Vec<Micros>,
    /// Its processes were started then: what the one before was told is forgotten.
    pub starts: Vec<Micros>,
    /// It went on after a stop.
    pub resumed: Vec<Micros>,
}

/// The history by message, by call and by sender.
#[derive(Debug, Clone, Default)]
pub struct Reading {
    /// Tries, by id.
    pub tries: BTreeMap<String, Try>,
    /// Calls.
    pub calls: BTreeMap<u64, Seen>,
    /// Senders.
    pub lives: Vec<Life>,
    /// Tries that no client hands in again.
    pub closed: HashSet<String>,
    /// When the run ended; what has its time after that is not judged.
    pub over: Micros,
}

impl Reading {
    /// Reads a history.
    pub fn of(history: &History) -> Self {
        let mut reading = Self { lives: vec![Life::default(); history.head.senders], ..Self::default() };
        let mut down: HashMap<usize, Micros> = HashMap::new();
        // After a handover the process before ends beside one that serves.
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
                    let seen = Seen { sender, dest, endpoint, first, last, came: t, answered: None, ids };
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
                    "SIGCONT" => reading.back(&mut down, *sender, t, true),
                    _ => drop(down.entry(*sender).or_insert(t)),
                },
                What::Ended { sender, .. } => drop(down.entry(*sender).or_insert(t)),
                What::Ready { sender, .. } => reading.back(&mut down, *sender, t, false),
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

    fn back(&mut self, down: &mut HashMap<usize, Micros>, sender: usize, t: Micros, resumed: bool) {
        let Some(life) = self.lives.get_mut(sender) else { return };
        if let Some(since) = down.remove(&sender) {
            life.excused.push((since, t + BACK_SLACK));
        }
        if resumed {
            life.resumed.push(t);
        }
    }

    /// Whether a sender that had taken a message on lost its folder, or went for good, before the message ended.
    pub fn orphaned(&self, seen: &Try) -> bool {
        self.orphaned_at(seen).is_some()
    }

    /// When that was.
    pub fn orphaned_at(&self, seen: &Try) -> Option<Micros> {
        let life = self.lives.get(seen.sender)?;
        let since = seen.heard.map_or(0, |heard| heard.0);
        // What ended before is not orphaned; what another ended afterwards was.
        let open = |t: &Micros| since <= *t && seen.ended().is_none_or(|ended| ended > *t);
        life.away.into_iter().chain(life.emptied.iter().copied()).filter(open).min()
    }

    /// When another sender first called for an orphaned message.
    pub fn called_elsewhere(&self, seen: &Try) -> Option<Micros> {
        let at = self.orphaned_at(seen)?;
        let calls = seen.calls.iter().filter_map(|call| self.calls.get(call));
        calls.filter(|call| call.sender != seen.sender && call.first >= at).map(|call| call.first).min()
    }

    /// Whether another could still deliver an orphaned message: it had so much time left, and no call of its owner's
    /// may have run where it must not run twice.
    pub fn deliverable(&self, seen: &Try, once: bool, left: Micros) -> bool {
        let Some(at) = self.orphaned_at(seen) else { return false };
        let calls = seen.calls.iter().filter_map(|call| self.calls.get(call));
        let mut own = calls.filter(|call| call.sender == seen.sender);
        let ran = own.any(|call| call.ids.iter().any(|id| call.may_have_run(id, Micros::MAX)));
        seen.deadline >= at + left && !(once && ran)
    }
}

/// Judges a history.
pub fn check(history: &History) -> Vec<Breach> {
    let reading = Reading::of(history);
    let mut all = Vec::new();
    for (id, seen) in &reading.tries {
        message(&history.head, &reading, id, seen, &mut all);
    }
    standing(history, &reading, &mut all);
    all.extend(super::views::read(history).1);
    all.extend(super::reads::check(history));
    all.sort_by_key(|breach: &Breach| breach.t);
    all
}

fn message(head: &Head, reading: &Reading, id: &str, seen: &Try, all: &mut Vec<Breach>) {
    let mut broken = |rule, t, what: String| all.push(Breach { rule, t, id: Some(id.to_owned()), what });
    let class = head.classes.get(seen.class);
    let calls: Vec<&Seen> = seen.calls.iter().filter_map(|call| reading.calls.get(call)).collect();

    let due = seen.deadline + LOST_AFTER + LONGER;
    let late = seen.ended().is_none_or(|ended| ended > due);
    if seen.taken() && late && due < reading.over && !reading.orphaned(seen) {
        let life = reading.lives.get(seen.sender);
        let excused = life.is_some_and(|life| {
            let covers = life.excused.iter().filter(|(from, to)| *from <= due && due < *to);
            // An end that came while it was excused is in time.
            covers.into_iter().any(|(_, to)| seen.ended().is_some_and(|e| e <= *to) || reading.over <= *to)
        });
        if !excused {
            let how = seen.ended().map_or("it has no end".to_owned(), |ended| {
                format!("its end came {} ms after its time", (ended - seen.deadline) / 1000)
            });
            broken(Rule::Lost, due, format!("taken on by sender {}, and {how}", seen.sender));
        }
    }

    if seen.void.is_none() {
        let ends: HashSet<&str> = seen.notices.iter().map(|notice| notice.2.as_str()).collect();
        let last = seen.notices.last().map_or(0, |notice| notice.0);
        if ends.len() > 1 {
            broken(Rule::OneEnd, last, "told as deferred and as undeliverable".into());
        }
        if let (true, Some(effect)) = (ends.contains("deferred"), seen.effects.first()) {
            let call = effect.1;
            broken(Rule::OneEnd, last.max(effect.0), format!("deferred, and took effect in call {call}"));
        }
        if let Some((refused, 429 | 503)) = seen.heard
            && let Some(call) = calls.iter().find(|call| call.first > refused + END_SLACK)
        {
            broken(Rule::OneEnd, call.first, "called after it was refused to its client".into());
        }
        if let Some(ended) = seen.ended()
            && let Some(call) = calls.iter().find(|call| call.first > ended + END_SLACK)
            && reading.lives.get(call.sender).is_some_and(|life| {
                let soon = |t: &Micros| *t <= call.first && call.first <= t + BACK_SLACK;
                // A process that came back may not know of an end that its last one did not write down.
                !life.starts.iter().any(|t| *t > ended) && !life.resumed.iter().any(soon)
            })
            && seen.notices.first().is_some_and(|notice| notice.0 == ended)
        {
            let sender = call.sender;
            broken(Rule::OneEnd, call.first, format!("called by sender {sender} after its end was told"));
        }
    }

    if calls.len() > head.try_limit {
        let first = calls.get(head.try_limit).map_or(0, |call| call.first);
        broken(Rule::Attempts, first, format!("{} calls of {} allowed", calls.len(), head.try_limit));
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
                    format!("called again by sender {sender} though it may have run"),
                );
            }
        }
    } else if class.window > 0 {
        let ran: Vec<_> = calls.iter().filter(|call| call.may_have_run(id, Micros::MAX)).collect();
        if let Some(first) = ran.first() {
            // The destination counts from when it came; the sender from when it wrote.
            let until = first.first + class.window + LONGER;
            for call in calls.iter().filter(|call| call.first > until) {
                let after = (call.first - first.first) / 1000;
                broken(Rule::Window, call.first, format!("called again {after} ms after it may have run"));
            }
        }
    }
}

/// Rules that are not of one message.
fn standing(history: &History, reading: &Reading, all: &mut Vec<Breach>) {
    let head = &history.head;
    // Waits by sender and destination: when it came to know, from when, until when.
    let mut waits: HashMap<(usize, u16), Vec<(Micros, Micros)>> = HashMap::new();
    let mut leaving: HashMap<(usize, &str), Micros> = HashMap::new();
    let mut ready: HashMap<usize, u32> = HashMap::new();
    let mut broken = |rule, t, id: Option<&String>, what| all.push(Breach { rule, t, id: id.cloned(), what });
    let forgot = |sender: usize, from: Micros, to: Micros| {
        reading.lives.get(sender).is_some_and(|l| l.starts.iter().any(|t| from <= *t && *t <= to))
    };
    let stopped = |sender: usize, at: Micros| {
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
                    let within = *first > known + WAIT_SLACK + LONGER && *first + 1_000 < *until;
                    if within && !forgot(*sender, *known, *first) && !stopped(*sender, *first) {
                        let left = (until - first) / 1000;
                        let what = format!("sender {sender} called {endpoint} with {left} ms left to wait");
                        broken(Rule::Wait, *first, ids.first(), what);
                        break;
                    }
                }
                if let Some(told) = leaving.get(&(*sender, endpoint.as_str()))
                    && *first > told + head.drain_grace + LONGER
                    && !stopped(*sender, *first)
                {
                    let after = (first - told) / 1000;
                    let what = format!("sender {sender} called {endpoint} {after} ms after it was told");
                    broken(Rule::Drain, *first, ids.first(), what);
                }
                for id in ids {
                    match reading.tries.get(id) {
                        None => {
                            let what = format!("sender {sender} sent what no client handed in");
                            broken(Rule::Misdirected, *first, Some(id), what);
                        }
                        Some(seen) if seen.dest != *dest => {
                            let what = format!("for destination {}, sent to {dest}", seen.dest);
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
                broken(Rule::Oversize, *t, None, format!("sender {sender} sent {bytes} bytes"));
            }
            What::Ended { sender, asked, code, generation } => {
                let well = match asked {
                    Asked::Kill => true,
                    Asked::Terminate => *code == Some(0),
                    // One that has handed over may end when it likes.
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
                    let what = format!("destination {dest} fell over, {knew} of {calls} calls by who knew");
                    broken(Rule::Fallback, *t, None, what);
                }
            }
            _ => {}
        }
    }
}
