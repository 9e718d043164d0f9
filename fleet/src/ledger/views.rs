//! Checks the senders' membership views against the faults and ends that occurred.

use std::collections::BTreeMap;

use serde::Serialize;

use super::rules::{Breach, Rule};
use super::{Entry, History, What};
use crate::Micros;

/// Statistics of the views; times in milliseconds.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Views {
    /// From the end of a process until all running senders see its sender as dead.
    pub death_ms: Vec<u64>,
    /// From a process's readiness until all running senders see its sender as alive and have equal views.
    pub back_ms: Vec<u64>,
    /// Observed changes of a view.
    pub changes: u64,
    /// Times that a running, reachable sender was reported dead.
    pub wrong: u64,
}

/// State of a sender at a point of the history.
#[derive(Debug, Clone, Default)]
struct Sender {
    /// Since when it runs and is ready.
    up: Option<Micros>,
    /// Number of its current process.
    generation: u32,
    /// Until when it was stopped; `Micros::MAX` while it still is.
    stopped: Option<Micros>,
    /// Its latest view: states, digest, and whether it is isolated.
    view: Option<(String, String, bool)>,
}

/// Replays a history.
struct Follower<'a> {
    senders: Vec<Sender>,
    /// Senders that ended, and when, until all others see them as dead.
    gone: BTreeMap<usize, Micros>,
    /// Senders that returned, and when, until all others see them as alive.
    back: BTreeMap<usize, Micros>,
    /// Faults that block traffic between senders: how many are active, and when that last changed.
    cuts: (i32, Micros),
    period: Micros,
    views: Views,
    broken: Vec<Breach>,
    entries: &'a [Entry],
}

/// Protocol periods after a fault in which views may still be converging; twice what the membership page
/// states.
const SETTLING: Micros = 30;

/// Checks the views of a history. Nothing is checked where the senders keep no views.
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
                            // It announces its leaving from now on.
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
                    // A sender may be asked for its view before it is seen to be ready.
                    if let Some(this) = self.senders.get_mut(*sender).filter(|s| s.generation == *generation)
                    {
                        this.view = Some((states.clone(), digest.clone(), *isolated));
                    }
                    self.check_view(*sender, states, t);
                    self.record_detection(t);
                }
                What::Over => self.check_end(t),
                _ => {}
            }
        }
    }

    /// Whether the sender has been up, running and reachable for long enough that others must see it as
    /// alive.
    fn settled_up(&self, sender: &Sender, t: Micros) -> bool {
        let long = SETTLING * self.period;
        let up = sender.up.is_some_and(|since| since + long < t);
        let ran = sender.stopped.is_none_or(|until| until < Micros::MAX && until + long < t);
        up && ran && self.cuts.0 == 0 && (self.cuts.1 == 0 || self.cuts.1 + long < t)
    }

    /// Checks that a settled sender reports no settled sender as dead or left.
    fn check_view(&mut self, by: usize, states: &str, t: Micros) {
        if !self.senders.get(by).is_some_and(|sender| self.settled_up(sender, t)) {
            return;
        }
        let wrongly_dead: Vec<usize> = states
            .chars()
            .enumerate()
            .filter(|(of, state)| {
                matches!(state, 'd' | 'l') && self.senders.get(*of).is_some_and(|s| self.settled_up(s, t))
            })
            .map(|(of, _)| of)
            .collect();
        for of in wrongly_dead {
            self.views.wrong += 1;
            let what = format!("sender {by} reports sender {of} as dead or left, but it is up and reachable");
            self.broken.push(Breach { rule: Rule::View, t, id: None, what });
        }
    }

    /// Records the detection times of ends and returns that all running senders now agree on.
    fn record_detection(&mut self, t: Micros) {
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

    /// Checks that at the end all running senders see each other as alive and have equal views.
    fn check_end(&mut self, t: Micros) {
        if self.cuts.0 != 0 {
            return;
        }
        let running: Vec<usize> =
            (0..self.senders.len()).filter(|of| self.senders[*of].up.is_some()).collect();
        let views: Vec<_> = running.iter().filter_map(|of| self.senders[*of].view.as_ref()).collect();
        let mut wrong = Vec::new();
        if views.len() < running.len() {
            wrong.push(format!("{} of {} senders reported a view", views.len(), running.len()));
        }
        if views.windows(2).any(|two| two[0].1 != two[1].1) {
            let digests: Vec<&str> = views.iter().map(|view| view.1.as_str()).collect();
            wrong.push(format!("the views differ at the end: {}", digests.join(", ")));
        }
        for (by, view) in running.iter().zip(&views) {
            let lost = running.iter().filter(|of| view.0.chars().nth(**of) != Some('a'));
            let lost: Vec<String> = lost.map(ToString::to_string).collect();
            if !lost.is_empty() {
                wrong.push(format!("sender {by} does not report as alive at the end: {}", lost.join(", ")));
            }
        }
        self.broken.extend(wrong.into_iter().map(|what| Breach { rule: Rule::View, t, id: None, what }));
    }
}
