//! What the senders said of each other, held against what befell them.

use std::collections::BTreeMap;

use serde::Serialize;

use super::rules::{Breach, Rule};
use super::{Entry, History, What};
use crate::Micros;

/// Figures of the views, milliseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Views {
    /// From the end of a process until all others that run hold its sender for dead.
    pub death_ms: Vec<u64>,
    /// From its being ready until all that run hold it for alive and their views are equal.
    pub back_ms: Vec<u64>,
    /// Changes of a view that were seen.
    pub changes: u64,
    /// Deaths that were told of somebody who was there.
    pub wrong: u64,
}

/// A sender, as the history has it at a time.
#[derive(Debug, Clone, Default)]
struct Sender {
    /// It runs and has been ready, since then.
    up: Option<Micros>,
    /// Of its processes.
    generation: u32,
    /// It is stopped, or was until then.
    stopped: Option<Micros>,
    view: Option<(String, String, bool)>,
}

/// Follows a history.
struct Follower<'a> {
    senders: Vec<Sender>,
    /// Senders that ended, and when, until all know.
    gone: BTreeMap<usize, Micros>,
    /// Senders that are back, and when.
    back: BTreeMap<usize, Micros>,
    /// Faults that separate senders: how many are on, and when the last one changed.
    cuts: (i32, Micros),
    period: Micros,
    views: Views,
    broken: Vec<Breach>,
    entries: &'a [Entry],
}

/// Periods after a fault in which views may still be settling; twice what the part's own page states.
const SETTLING: Micros = 30;

/// Reads what the senders said. The period is the view's own; nothing is judged where no sender told a view.
pub fn read(history: &History) -> (Views, Vec<Breach>) {
    let Some(period) = history.head.view_period else { return Default::default() };
    let mut follower = Follower {
        senders: vec![Sender::default(); history.head.senders],
        gone: BTreeMap::new(),
        back: BTreeMap::new(),
        cuts: (0, 0),
        period,
        views: Views::default(),
        broken: vec![],
        entries: &history.entries,
    };
    follower.follow();
    (follower.views, follower.broken)
}

impl Follower<'_> {
    fn follow(&mut self) {
        for Entry { t, what } in self.entries {
            let t = *t;
            match what {
                What::Started { sender, generation, .. } => {
                    if let Some(sender) = self.senders.get_mut(*sender) {
                        sender.generation = *generation;
                    }
                }
                What::Ready { sender, generation } => {
                    if let Some(this) = self.senders.get_mut(*sender).filter(|s| s.generation == *generation)
                    {
                        this.up = Some(t);
                        self.gone.remove(sender);
                        self.back.insert(*sender, t);
                    }
                }
                What::Ended { sender, generation, .. } => {
                    if let Some(this) = self.senders.get_mut(*sender).filter(|s| s.generation == *generation)
                    {
                        (this.up, this.view) = (None, None);
                        self.back.remove(sender);
                        self.gone.insert(*sender, t);
                    }
                }
                What::Signal { sender, signal, generation } => {
                    if let Some(this) = self.senders.get_mut(*sender).filter(|s| s.generation == *generation)
                    {
                        match signal.as_str() {
                            // From then on it is on its way out, and says so.
                            "SIGTERM" => this.up = None,
                            "SIGSTOP" => this.stopped = Some(Micros::MAX),
                            "SIGCONT" => this.stopped = Some(t),
                            _ => {}
                        }
                    }
                }
                What::Fault { on, cuts: true, .. } => self.cuts = (self.cuts.0 + if *on { 1 } else { -1 }, t),
                What::View { sender, generation, states, digest, isolated, .. } => {
                    self.views.changes += 1;
                    // It may be asked for its view before it is seen to be ready.
                    if let Some(this) = self.senders.get_mut(*sender).filter(|s| s.generation == *generation)
                    {
                        this.view = Some((states.clone(), digest.clone(), *isolated));
                    }
                    self.judge(*sender, states, t);
                    self.settle(t);
                }
                What::Over => self.end(t),
                _ => {}
            }
        }
    }

    /// It is there, has been for long enough to be known, and nothing was in its way.
    fn there(&self, sender: &Sender, t: Micros) -> bool {
        let long = SETTLING * self.period;
        let up = sender.up.is_some_and(|since| since + long < t);
        let ran = sender.stopped.is_none_or(|until| until < Micros::MAX && until + long < t);
        up && ran && self.cuts.0 == 0 && (self.cuts.1 == 0 || self.cuts.1 + long < t)
    }

    /// Nobody that is there is held for dead or gone by one that is there.
    fn judge(&mut self, by: usize, states: &str, t: Micros) {
        if !self.senders.get(by).is_some_and(|sender| self.there(sender, t)) {
            return;
        }
        let wronged: Vec<usize> = states
            .chars()
            .enumerate()
            .filter(|(of, state)| {
                matches!(state, 'd' | 'l') && self.senders.get(*of).is_some_and(|s| self.there(s, t))
            })
            .map(|(of, _)| of)
            .collect();
        for of in wronged {
            self.views.wrong += 1;
            let what = format!("sender {by} holds sender {of} for dead, which is there");
            self.broken.push(Breach { rule: Rule::View, t, id: None, what });
        }
    }

    fn settle(&mut self, t: Micros) {
        let views = || self.senders.iter().filter(|s| s.up.is_some()).map(|s| s.view.as_ref());
        let all = |of: usize, state: char| {
            views().all(|view| view.is_some_and(|view| view.0.chars().nth(of) == Some(state)))
        };
        let dead: Vec<usize> = self.gone.keys().copied().filter(|of| all(*of, 'd')).collect();
        let mut digests = views().map(|view| view.map(|view| view.1.as_str()));
        let first = digests.next().flatten();
        let equal = first.is_some() && digests.all(|digest| digest == first);
        let back: Vec<usize> = self.back.keys().copied().filter(|of| equal && all(*of, 'a')).collect();
        for of in dead {
            self.views.death_ms.extend(self.gone.remove(&of).map(|since| (t - since) / 1000));
        }
        for of in back {
            self.views.back_ms.extend(self.back.remove(&of).map(|since| (t - since) / 1000));
        }
    }

    /// In the end all that run hold each other for alive, and hold everybody for the same.
    fn end(&mut self, t: Micros) {
        if self.cuts.0 != 0 {
            return;
        }
        let running: Vec<usize> =
            (0..self.senders.len()).filter(|of| self.senders[*of].up.is_some()).collect();
        let views: Vec<_> = running.iter().filter_map(|of| self.senders[*of].view.as_ref()).collect();
        let mut wrong = Vec::new();
        if views.len() < running.len() {
            wrong.push(format!("{} of {} senders told a view", views.len(), running.len()));
        }
        if views.windows(2).any(|two| two[0].1 != two[1].1) {
            let digests: Vec<&str> = views.iter().map(|view| view.1.as_str()).collect();
            wrong.push(format!("the views differ in the end: {}", digests.join(", ")));
        }
        for (by, view) in running.iter().zip(&views) {
            let lost = running.iter().filter(|of| view.0.chars().nth(**of) != Some('a'));
            let lost: Vec<String> = lost.map(ToString::to_string).collect();
            if !lost.is_empty() {
                wrong.push(format!("sender {by} does not hold for alive in the end: {}", lost.join(", ")));
            }
        }
        self.broken.extend(wrong.into_iter().map(|what| Breach { rule: Rule::View, t, id: None, what }));
    }
}
