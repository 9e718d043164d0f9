//! Replication of messages to backups, in the running sender: the state that survives the process, the choice
//! of candidates by the membership view, and the report for operators. `myrtleyard::takeover` is the protocol
//! itself.

use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::path::{Path, PathBuf};

use myrtleyard::channel::TAKEOVER;
use myrtleyard::interface::Micros;
use myrtleyard::membership::{MemberView, MembershipView, State};
use myrtleyard::takeover::groups::DurableState;
use myrtleyard::takeover::{BackupFitness, Takeover};
use serde_json::{Value, json};

use super::super::config::Config;
use super::super::state_file;
use super::{Out, Part};

/// The replication part.
pub struct TakeoverPart {
    /// The protocol.
    pub core: Takeover,
    path: PathBuf,
    /// Whether each sender, by rank, is on another host than this one.
    other_host: Vec<bool>,
    /// A promise has not been persisted yet; nothing is sent until it is.
    unsaved: bool,
}

/// A random number, unique among all processes of all senders.
fn random_id() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

impl TakeoverPart {
    /// Creates the part with the promises of earlier processes; `None` without its section.
    pub fn open(config: &Config, folder: &Path, now: Micros) -> Option<Self> {
        let section = config.takeover.as_ref()?;
        let own = config.rank()?;
        let path = folder.join("promises");
        let read = state_file::read(&path).map_err(|e| e.to_string());
        let read = read.and_then(|text| {
            text.map(|text| postcard::from_bytes(&text)).transpose().map_err(|e| e.to_string())
        });
        let state = read.unwrap_or_else(|e| {
            tracing::error!("cannot read the promises to other senders; they count as forgotten: {e}");
            None
        });
        let unsaved = state.is_none();
        let state = state.unwrap_or_else(|| DurableState { id: random_id(), promises: BTreeMap::new() });
        let host = |rank: usize| config.peers.get(rank).map(|peer| peer.ip());
        let other_host = (0..config.peers.len()).map(|rank| host(rank) != host(own.into())).collect();
        let core = Takeover::new(section, own, config.peers.len(), random_id(), state, now);
        Some(Self { core, path, other_host, unsaved })
    }

    /// Whether the next tick may choose backups.
    pub fn may_choose_backups(&self, now: Micros) -> bool {
        now >= self.core.next_tick_at()
    }

    /// Updates, from the membership view, which senders are suitable as backups.
    pub fn update_view(&mut self, view: Option<&MembershipView>) {
        let fit = |(rank, other_host): (usize, &bool)| match view.and_then(|view| view.members.get(rank)) {
            _ if !other_host => BackupFitness::Unfit,
            Some(MemberView { state: State::Dead | State::Left, .. }) => BackupFitness::Unfit,
            Some(MemberView { same_zone: true, .. }) => BackupFitness::Near,
            _ => BackupFitness::Far,
        };
        self.core.set_backup_fitness(self.other_host.iter().enumerate().map(fit).collect());
    }

    /// Sends what is due, after the promises that it depends on are persisted.
    pub fn flush(&mut self, now: Micros, out: &mut Out) {
        self.unsaved |= self.core.take_unsaved_state().is_some();
        if self.unsaved {
            let written = postcard::to_allocvec(self.core.durable_state()).map_err(std::io::Error::other);
            self.unsaved = match written.and_then(|bytes| state_file::write(&self.path, &bytes)) {
                Ok(()) => false,
                Err(e) => {
                    tracing::error!("cannot persist the promises to other senders; none is sent: {e}");
                    true
                }
            };
        }
        if !self.unsaved {
            self.core.flush(now, out);
        }
    }
}

impl Part for TakeoverPart {
    fn due(&self) -> Option<Micros> {
        Some(self.core.due())
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.core.tick(now);
        self.flush(now, out);
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], _out: &mut Out) -> bool {
        let own = bytes.first() == Some(&TAKEOVER);
        if own {
            // Replies are sent at the end of the turn, one for all datagrams received in it.
            self.core.receive(now, from, bytes);
        }
        own
    }

    fn serving(&mut self, now: Micros, serving: bool, out: &mut Out) {
        self.core.set_leaving(now, !serving);
        self.flush(now, out);
    }

    fn report(&self, now: Micros) -> Value {
        let (groups, messages, bytes) = self.core.held_for_others();
        let backups = self.core.current_backups(now).into_iter();
        let backups: Vec<Value> =
            backups.map(|(rank, heard)| json!({"rank": rank, "heard_ms": heard / 1000})).collect();
        let mut report = json!({"lease_ms": self.core.lease() / 1000, "covers": backups,
                                "held_for_others": {"lots": groups, "messages": messages, "bytes": bytes}});
        if let (Some(report), Ok(Value::Object(counts))) =
            (report.as_object_mut(), serde_json::to_value(&self.core.counts))
        {
            report.extend(counts);
        }
        report
    }
}
