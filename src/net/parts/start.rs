//! Coordination of simultaneous starts, in the running sender: the state that survives the process, the
//! timing of calls to the list service, and the report for operators. `myrtleyard::start` has the rest.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use myrtleyard::endpoints::reader::List;
use myrtleyard::error_code::CodedError;
use myrtleyard::interface::Micros;
use myrtleyard::membership::{MembershipView, State};
use myrtleyard::start::cached_list::{CachedList, MAX_BYTES, MIN_WRITE_INTERVAL};
use myrtleyard::start::{Begin, CallFailure, Named, Phase, Start};
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::super::Clock;
use super::super::config::Config;
use super::super::listing::{ListBody, Listing, list_version};
use super::super::state_file;
use super::{Out, Part};

/// How often a waiting call to the list service checks its slot again. Hints from other senders move the
/// slot.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The startup part.
pub struct StartPart {
    /// The state of the start, shared with the task that follows the list.
    pub core: Rc<RefCell<Start>>,
    list_path: PathBuf,
    starts_path: PathBuf,
    /// The cached list that this process starts from, if it is usable.
    pub initial_list: Option<ListBody>,
    /// Origin of the list in use, for the report.
    source: &'static str,
    cached_at: Option<Micros>,
    /// When the list was last stored, and whether it has changed since.
    stored: (Micros, bool),
    /// Names and destinations of the endpoints that are active in the stored list.
    active: BTreeSet<(String, u32)>,
    /// The list is too long to be stored, and this has been logged.
    too_long: bool,
    /// This process has completed its start.
    completed: bool,
}

/// Names and destinations of the active endpoints.
fn active(list: &[Listing]) -> BTreeSet<(String, u32)> {
    named(list).filter(|named| named.2).map(|(name, group, _)| (name, group)).collect()
}

/// The entries of a list in the form that is sent to other senders.
pub fn named(list: &[Listing]) -> impl Iterator<Item = Named> {
    list.iter().map(to_named)
}

fn to_named(listing: &Listing) -> Named {
    (listing.name.clone(), listing.group, listing.status == "active")
}

/// The number of entries of a list.
fn entries(list: &List) -> usize {
    match list {
        List::Entries(list) => list.endpoints.len(),
        List::Table { table, .. } => table.len(),
    }
}

impl StartPart {
    /// Creates the part with the state that earlier processes left; `None` without its section. State that
    /// cannot be read is logged and ignored.
    pub fn open(config: &Config, folder: &Path, now: Micros) -> Option<Self> {
        let section = config.start.as_ref()?;
        let own = config.rank()?;
        let (list_path, starts_path) = (folder.join("list"), folder.join("lives"));
        let failed_starts =
            state_file::read(&starts_path).ok().flatten().and_then(|bytes| bytes.first().copied());
        let failed_starts = failed_starts.unwrap_or(0);
        // Counts this start as failed until the process has completed it.
        if let Err(e) = state_file::write(&starts_path, &[failed_starts.saturating_add(1)]) {
            tracing::warn!("cannot store the count of starts: {e}");
        }
        let tier = myrtleyard::membership::tier_of(&section.tier);
        let read = state_file::read(&list_path).map_err(|e| e.to_string());
        let read = read.and_then(|bytes| {
            let cached = bytes.map(|bytes| postcard::from_bytes::<CachedList<Listing>>(&bytes));
            cached.transpose().map_err(|e| e.to_string())
        });
        let cached = match read {
            Ok(cached) => cached,
            Err(e) => {
                tracing::warn!("cannot read the cached endpoint list; ignoring it: {e}");
                None
            }
        };
        let active = cached.as_ref().map(|cached| active(&cached.entries)).unwrap_or_default();
        let capacity = cached.as_ref().filter(|cached| cached.tier == tier).map(|cached| cached.capacity);
        let usable = cached.filter(|cached| match cached.fit(tier, list_version(&config.known).0, now) {
            Ok(()) => true,
            Err(why) => {
                let (code, remedy) = (why.code(), why.remedy());
                tracing::warn!(code, remedy, "not starting from the cached endpoint list: {why}");
                false
            }
        });
        let cached_at = usable.as_ref().map(|cached| cached.at);
        let initial_list = usable.map(|cached| ListBody {
            index: cached.version,
            snapshot: true,
            endpoints: cached.entries,
        });
        let source = match &initial_list {
            Some(_) => "folder",
            None if entries(&config.known) == 0 => "none",
            None => "configuration",
        };
        let index = initial_list.as_ref().map_or(list_version(&config.known).0, |list| list.index);
        let begin = Begin {
            own,
            size: config.peers.len(),
            version: index,
            capacity,
            lives: failed_starts.into(),
            watched: !config.settings.list_on_request,
            grace: config.settings.rules.drain_grace,
            seed: config.seed,
        };
        let mut core = Start::new(section, begin, now);
        match (&initial_list, &config.known) {
            (Some(list), _) | (None, List::Entries(list)) => core.load_cached(index, named(&list.endpoints)),
            (None, List::Table { table, .. }) => {
                core.load_cached(index, table.iter().map(|listing| to_named(&listing)))
            }
        }
        let core = Rc::new(RefCell::new(core));
        let stored = (now.saturating_sub(MIN_WRITE_INTERVAL), false);
        Some(Self {
            core,
            list_path,
            starts_path,
            initial_list,
            source,
            cached_at,
            stored,
            active,
            too_long: false,
            completed: false,
        })
    }

    /// Updates the number of senders that are present by the membership view.
    pub fn update_view(&mut self, view: Option<&MembershipView>) {
        let Some(view) = view else { return };
        let gone = |state: State| matches!(state, State::Dead | State::Left);
        let present = view.members.iter().filter(|member| !gone(member.state)).count();
        self.core.borrow_mut().set_peers(present);
    }

    /// The list service sent a list; `list` is the complete result.
    pub fn list_received(&mut self, now: Micros, version: u64, list: &[Listing]) {
        self.core.borrow_mut().listed(now, version, named(list).collect());
        self.source = "list service";
        self.stored.1 = true;
        // A process that starts from the file must not call removed endpoints, so removals are stored at
        // once.
        let removed = !self.active.is_subset(&active(list));
        if removed || now >= self.stored.0 + MIN_WRITE_INTERVAL {
            self.store_list(now, list);
        }
    }

    /// The list service sent a list that is too long to be stored or to be sent to other senders.
    pub fn long_list_received(&mut self, now: Micros, version: u64) {
        self.core.borrow_mut().listed_long(now, version);
        self.source = "list service";
        self.discard_cached_list(now);
    }

    /// Removes the stored list, because the current one is too long to be stored: the next process starts
    /// without a list rather than from an outdated one.
    pub fn discard_cached_list(&mut self, now: Micros) {
        self.stored = (now, false);
        if std::mem::replace(&mut self.too_long, true) {
            return;
        }
        tracing::warn!("the endpoint list is too long to be cached");
        match std::fs::remove_file(&self.list_path) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => {
                tracing::warn!("cannot remove the cached endpoint list: {e}");
                self.too_long = false;
            }
            _ => self.active.clear(),
        }
    }

    /// Whether the list has changed and its last storing is long enough ago to store it again.
    pub fn is_store_due(&self, now: Micros) -> bool {
        self.stored.1 && now >= self.stored.0 + MIN_WRITE_INTERVAL
    }

    /// Stores the list.
    pub fn store_list(&mut self, now: Micros, list: &[Listing]) {
        self.too_long = false;
        let core = self.core.borrow();
        let (version, at) = core.list();
        let capacity = if core.phase().0 == Phase::Steady { core.learned() } else { core.capacity() };
        let entries = list.to_vec();
        let cached = CachedList { tier: core.tier(), at: at.unwrap_or(now), version, capacity, entries };
        drop(core);
        self.stored = (now, false);
        let bytes = postcard::to_allocvec(&cached).unwrap_or_default();
        if bytes.len() > MAX_BYTES {
            tracing::warn!(bytes = bytes.len(), "the endpoint list is too long to be cached");
        } else if let Err(e) = state_file::write(&self.list_path, &bytes) {
            tracing::warn!("cannot store the endpoint list: {e}");
            self.stored.1 = true;
        } else {
            self.active = active(list);
        }
    }

    /// The pacing handle for the task that follows the list.
    pub fn list_pacer(&self, clock: Clock) -> Rc<ListPacer> {
        Rc::new(ListPacer { core: self.core.clone(), clock, address_changed: Notify::new() })
    }
}

impl Part for StartPart {
    fn due(&self) -> Option<Micros> {
        Some(self.core.borrow().due())
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.core.borrow_mut().tick(now, out);
        let completed = self.core.borrow().phase().0 == Phase::Steady;
        if completed && !self.completed {
            self.completed = true;
            // What was learned about the list service is stored together with the list, in the next turn that
            // does so.
            self.stored.1 = true;
            if let Err(e) = state_file::write(&self.starts_path, &[0]) {
                tracing::warn!("cannot store the count of starts: {e}");
            }
        }
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Out) -> bool {
        self.core.borrow_mut().receive(now, from, bytes, out)
    }

    fn report(&self, now: Micros) -> Value {
        let core = self.core.borrow();
        let (phase, since) = core.phase();
        let (version, received_at) = core.list();
        let ago = |at: Micros| now.saturating_sub(at) / 1000;
        json!({"phase": phase, "for_ms": ago(since), "waits_for": core.waits_for(now),
               "list": {"source": self.source, "version": version,
                        "age_ms": received_at.or(self.cached_at).map(ago),
                        "told_by_others_to_be_gone": core.hidden()},
               "calls": core.counts, "old_messages_waiting": core.backlog.left(),
               "starting": core.starters() as u64, "spread_ms": core.spread(now) / 1000,
               "bears_per_s": core.capacity(), "others_bear_per_s": core.lowest_peer_capacity(),
               "wider": core.trouble(now).exp2(), "starts_in_a_row": core.failed_starts() + 1})
    }
}

/// Schedules the calls to the list service for the task that follows the list.
pub struct ListPacer {
    core: Rc<RefCell<Start>>,
    clock: Clock,
    address_changed: Notify,
}

impl ListPacer {
    /// Waits for this sender's slot and starts a call in it. Returns whether to request the whole list.
    pub async fn wait_turn(&self) -> bool {
        loop {
            let now = self.clock.now();
            let at = self.core.borrow().ask_at(now).unwrap_or(now);
            if at <= now {
                let mut core = self.core.borrow_mut();
                let whole = core.needs_whole_list();
                core.asked(now);
                return whole;
            }
            let rest = SLOT_CHECK_INTERVAL.min(Duration::from_micros(at - now));
            tokio::select! {
                () = tokio::time::sleep(rest) => {}
                () = self.address_changed.notified() => {}
            }
        }
    }

    /// Reports the result of the call: whether its answer had news, or how it failed.
    pub fn call_ended(&self, result: Result<bool, CallFailure>) {
        let now = self.clock.now();
        match result {
            Ok(news) => self.core.borrow_mut().answered(now, news),
            Err(result) => self.core.borrow_mut().failed(now, result),
        }
    }

    /// The address of the list service has changed.
    pub fn service_moved(&self) {
        self.core.borrow_mut().address_changed(self.clock.now());
        self.address_changed.notify_one();
    }
}

#[cfg(test)]
mod tests;
