//! A start with others at once, at the running sender: what outlasts the process, when the list service is called, and
//! what operators are told. `myrtleyard::start` is the rest.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use myrtleyard::interface::Micros;
use myrtleyard::membership::{Facts, State};
use myrtleyard::start::kept::{EVERY, Kept, MOST_BYTES};
use myrtleyard::start::{Begin, Failed, Named, Phase, Start};
use myrtleyard::told::Told;
use serde_json::{Value, json};
use tokio::sync::Notify;

use super::super::Clock;
use super::super::config::Config;
use super::super::lasting;
use super::super::listing::{ListBody, Listing};
use super::{Out, Part};

/// The slot of a call that waits for its turn is looked at again so often: it moves with what is heard.
const LOOK: Duration = Duration::from_millis(100);

/// The part.
pub struct Starting {
    /// The start itself, shared with whoever follows the list.
    pub core: Rc<RefCell<Start>>,
    list_at: PathBuf,
    lives_at: PathBuf,
    /// The list that this process begins from, and where it is from.
    pub from: Option<ListBody>,
    source: &'static str,
    kept_at: Option<Micros>,
    /// When the list was last written down, and whether it has changed since.
    written: (Micros, bool),
    /// Names that are written down as active, with their destinations.
    active: BTreeSet<(String, u16)>,
    /// This process has come through its start.
    through: bool,
}

/// Those that may be called, with their destinations.
fn active(list: &[Listing]) -> BTreeSet<(String, u16)> {
    named(list).filter(|named| named.2).map(|(name, group, _)| (name, group)).collect()
}

/// The entries of a list as others are told them.
pub fn named(list: &[Listing]) -> impl Iterator<Item = Named> {
    list.iter().map(|listing| (listing.name.clone(), listing.group, listing.status == "active"))
}

impl Starting {
    /// As the configuration has it, with what earlier processes left; nothing without its section. What can't be read
    /// is told and left out.
    pub fn open(config: &Config, folder: &Path, now: Micros) -> Option<Self> {
        let section = config.start.as_ref()?;
        let own = config.rank()?;
        let (list_at, lives_at) = (folder.join("list"), folder.join("lives"));
        let lives = lasting::read(&lives_at).ok().flatten().and_then(|bytes| bytes.first().copied());
        let lives = lives.unwrap_or(0);
        // One more, until this process has come through.
        if let Err(e) = lasting::write(&lives_at, &[lives.saturating_add(1)]) {
            tracing::warn!("the count of starts can't be written down: {e}");
        }
        let tier = myrtleyard::membership::tier_of(&section.tier);
        let read = lasting::read(&list_at).map_err(|e| e.to_string());
        let read = read.and_then(|bytes| {
            let kept = bytes.map(|bytes| postcard::from_bytes::<Kept<Listing>>(&bytes));
            kept.transpose().map_err(|e| e.to_string())
        });
        let kept = match read {
            Ok(kept) => kept,
            Err(e) => {
                tracing::warn!("the list of endpoints that was kept can't be read, and is left out: {e}");
                None
            }
        };
        let active = kept.as_ref().map(|kept| active(&kept.entries)).unwrap_or_default();
        let bears = kept.as_ref().filter(|kept| kept.tier == tier).map(|kept| kept.bears);
        let fit = kept.filter(|kept| match kept.fit(tier, config.known.index, now) {
            Ok(()) => true,
            Err(why) => {
                let (code, remedy) = (why.code(), why.remedy());
                tracing::warn!(code, remedy, "the list of endpoints that was kept is not begun from: {why}");
                false
            }
        });
        let kept_at = fit.as_ref().map(|kept| kept.at);
        let from = fit.map(|kept| ListBody { index: kept.version, snapshot: true, endpoints: kept.entries });
        let source = match &from {
            Some(_) => "folder",
            None if config.known.endpoints.is_empty() => "none",
            None => "configuration",
        };
        let begun = from.as_ref().unwrap_or(&config.known);
        let begin = Begin {
            own,
            size: config.peers.len(),
            version: begun.index,
            bears,
            lives: lives.into(),
            watched: !config.settings.must_ask,
            grace: config.settings.rules.drain_grace,
            seed: config.seed,
        };
        let mut core = Start::new(section, begin, now);
        core.begins_from(begun.index, named(&begun.endpoints));
        let core = Rc::new(RefCell::new(core));
        let written = (now.saturating_sub(EVERY), false);
        Some(Self { core, list_at, lives_at, from, source, kept_at, written, active, through: false })
    }

    /// How many the view holds for there.
    pub fn look(&mut self, facts: Option<&Facts>) {
        let Some(facts) = facts else { return };
        let gone = |state: State| matches!(state, State::Dead | State::Left);
        let there = facts.members.iter().filter(|member| !gone(member.state)).count();
        self.core.borrow_mut().look(there);
    }

    /// The list service told a list, and this is all of it.
    pub fn listed(&mut self, now: Micros, version: u64, list: &[Listing]) {
        self.core.borrow_mut().listed(now, version, named(list).collect());
        self.source = "list service";
        self.written.1 = true;
        // A process that begins from the file must not call what was taken away: that does not wait.
        let away = !self.active.is_subset(&active(list));
        if away || now >= self.written.0 + EVERY {
            self.keep(now, list);
        }
    }

    /// The list is to be written down, if it has changed and was not for a while.
    pub fn to_keep(&self, now: Micros) -> bool {
        self.written.1 && now >= self.written.0 + EVERY
    }

    /// Writes the list down.
    pub fn keep(&mut self, now: Micros, list: &[Listing]) {
        let core = self.core.borrow();
        let (version, at) = core.list();
        let bears = if core.phase().0 == Phase::Steady { core.learned() } else { core.bears() };
        let entries = list.to_vec();
        let kept = Kept { tier: core.tier(), at: at.unwrap_or(now), version, bears, entries };
        drop(core);
        self.written = (now, false);
        let bytes = postcard::to_allocvec(&kept).unwrap_or_default();
        if bytes.len() > MOST_BYTES {
            tracing::warn!(bytes = bytes.len(), "the list of endpoints is too long to be kept");
        } else if let Err(e) = lasting::write(&self.list_at, &bytes) {
            tracing::warn!("the list of endpoints can't be written down: {e}");
            self.written.1 = true;
        } else {
            self.active = active(list);
        }
    }

    /// For whoever follows the list.
    pub fn pace(&self, clock: Clock) -> Rc<Pace> {
        Rc::new(Pace { core: self.core.clone(), clock, moved: Notify::new() })
    }
}

impl Part for Starting {
    fn due(&self) -> Option<Micros> {
        Some(self.core.borrow().due())
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.core.borrow_mut().tick(now, out);
        let through = self.core.borrow().phase().0 == Phase::Steady;
        if through && !self.through {
            self.through = true;
            // What was learned goes with the list, at the next turn that writes it.
            self.written.1 = true;
            if let Err(e) = lasting::write(&self.lives_at, &[0]) {
                tracing::warn!("the count of starts can't be written down: {e}");
            }
        }
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Out) -> bool {
        self.core.borrow_mut().receive(now, from, bytes, out)
    }

    fn report(&self, now: Micros) -> Value {
        let core = self.core.borrow();
        let (phase, since) = core.phase();
        let (version, told) = core.list();
        let ago = |at: Micros| now.saturating_sub(at) / 1000;
        json!({"phase": phase, "for_ms": ago(since), "waits_for": core.waits_for(now),
               "list": {"source": self.source, "version": version, "age_ms": told.or(self.kept_at).map(ago),
                        "told_by_others_to_be_gone": core.hidden()},
               "calls": core.counts, "old_messages_waiting": core.backlog.left(),
               "starting": core.starters() as u64, "spread_ms": core.spread(now) / 1000,
               "bears_per_s": core.bears(), "others_bear_per_s": core.others_bear(),
               "wider": core.trouble(now).exp2(), "starts_in_a_row": core.lives() + 1})
    }
}

/// When the list service is called, for whoever follows the list.
pub struct Pace {
    core: Rc<RefCell<Start>>,
    clock: Clock,
    moved: Notify,
}

impl Pace {
    /// Waits for this sender's turn, and takes it. Whether the whole list is to be asked for.
    pub async fn turn(&self) -> bool {
        loop {
            let now = self.clock.now();
            let at = self.core.borrow().ask_at(now).unwrap_or(now);
            if at <= now {
                let mut core = self.core.borrow_mut();
                let whole = core.whole();
                core.asked(now);
                return whole;
            }
            let rest = LOOK.min(Duration::from_micros(at - now));
            tokio::select! {
                () = tokio::time::sleep(rest) => {}
                () = self.moved.notified() => {}
            }
        }
    }

    /// The call that had its turn ended so: with news or without, or not at all.
    pub fn ended(&self, how: Result<bool, Failed>) {
        let now = self.clock.now();
        match how {
            Ok(news) => self.core.borrow_mut().answered(now, news),
            Err(how) => self.core.borrow_mut().failed(now, how),
        }
    }

    /// The list service has moved.
    pub fn moved(&self) {
        self.core.borrow_mut().moved(self.clock.now());
        self.moved.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::super::super::config;
    use super::*;

    const NOW: Micros = 1_000_000_000_000_000;

    fn configured(tier: &str, known: u64) -> Option<Config> {
        let text = json!({
            "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1",
            "limits": {"disk_mb": 3}, "known": {"index": known}, "peer_listen": "127.0.0.1:3",
            "peers": ["127.0.0.1:3", "127.0.0.1:4"], "membership": {}, "start": {"tier": tier},
            "settings": {
                "classes": [{"name": "order", "effect": "once", "on_time_us": 5, "hard_limit_us": 9}],
                "family_info": {"calls_out": 8}, "period_us": 5, "limits": {"max_open": 100, "try_limit": 6},
                "obligations": {"answer_slack_us": 1, "cold_share": 0.2, "warm_within_us": 1, "fall_multiple": 2,
                                "overload_for_us": 3, "stop_sending_within_us": 2}}});
        config::check(text.to_string().as_bytes(), None).ok()
    }

    fn listing(name: &str) -> Listing {
        let text = |text: &str| text.to_owned();
        let (address, zone, kind, status) = (text("10.0.0.1:9"), text("a"), text("m"), text("active"));
        Listing { name: text(name), address, zone, kind, group: 4, status, weight: 2.5, since_ms: 7 }
    }

    /// What an earlier process left is begun from only if it is whole, of this tier, young, and not behind.
    #[test]
    fn a_kept_list_is_begun_from_or_left_out_and_early_ends_are_counted() -> std::io::Result<()> {
        let folder = tempfile::tempdir()?;
        let open = |tier: &str, known, now| Starting::open(&configured(tier, known)?, folder.path(), now);
        let from = |tier: &str, known, now| open(tier, known, now).and_then(|part| part.from);
        let kept = [listing("s-1"), listing("s-2")];
        let Some(mut first) = open("x", 40, NOW) else { panic!("the part is off") };
        assert_eq!((first.source, first.core.borrow().lives()), ("none", 0));
        first.listed(NOW, 43, &kept);
        let Some(second) = from("x", 40, NOW + 1) else { panic!("nothing is begun from") };
        assert_eq!((second.index, &second.endpoints[..]), (43, &kept[..]));
        // What only changes waits a while; what is taken away does not.
        let mut later = vec![listing("s-1"), listing("s-2"), listing("s-3")];
        first.listed(NOW + 2, 44, &later);
        assert_eq!(from("x", 40, NOW + 2).map(|from| from.index), Some(43));
        "leaving".clone_into(&mut later[1].status);
        first.listed(NOW + 3, 45, &later);
        assert_eq!(from("x", 40, NOW + 3).map(|from| from.endpoints), Some(later.clone()));
        later.remove(0);
        first.listed(NOW + 4, 46, &later);
        assert_eq!(from("x", 40, NOW + 4).map(|from| from.endpoints), Some(later));
        first.listed(NOW + EVERY + 4, 43, &kept);
        assert!(from("y", 40, NOW).is_none() && from("x", 44, NOW).is_none());
        assert!(
            from("x", 40, NOW + 86_400_000_000).is_none() && from("x", 40, NOW - 86_400_000_000).is_none()
        );
        // Nobody has come through a start yet: six were made.
        let lives = open("x", 40, NOW).map(|part| part.core.borrow().lives());
        assert_eq!(lives, Some(myrtleyard::start::kept::MOST_LIVES));
        let path = folder.path().join("list");
        let whole = std::fs::read(&path)?;
        for end in (0..whole.len()).step_by(7) {
            std::fs::write(&path, &whole[..end])?;
            assert!(from("x", 40, NOW).is_none(), "cut off at {end}");
            let mut bad = whole.clone();
            bad[end] ^= 1;
            std::fs::write(&path, &bad)?;
            assert!(from("x", 40, NOW).is_none(), "changed at {end}");
        }
        Ok(())
    }
}
