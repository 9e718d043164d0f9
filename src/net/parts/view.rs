//! The view of the fleet at the running sender: who the members are, from the configuration, and what operators are
//! told. `myrtleyard::membership` is the protocol itself.

use std::net::SocketAddr;

use myrtleyard::interface::Micros;
use myrtleyard::membership::{self, Change, Facts, MAGIC, Member, Membership, Place, Rank, State};
use serde_json::{Value, json};

use super::super::config::Config;
use super::{Out, Part};

/// The part.
pub struct View {
    core: Membership,
    section: membership::Config,
    peers: Vec<SocketAddr>,
    zones: Vec<String>,
    place: Place,
    seed: u64,
    /// The version of the view as far as it is in the log.
    told: u64,
}

impl View {
    /// As the configuration has it; nothing without its section. Members are the senders of the tier, by number.
    pub fn open(config: &Config, now: Micros) -> Option<Self> {
        let section = config.membership.clone()?;
        let place = place(config, &section)?;
        Some(Self {
            core: Membership::new(&section, place, config.seed, now),
            section,
            peers: config.peers.clone(),
            zones: config.names.zones.clone(),
            place,
            seed: config.seed,
            told: 0,
        })
    }

    /// The configuration has changed. A changed list or period begins the view anew; others tell it of its lives.
    pub fn adopt(&mut self, config: &Config, now: Micros) {
        let Some(section) = &config.membership else { return };
        let Some(place) = place(config, section) else { return };
        if *section != self.section || place != self.place || config.peers != self.peers {
            let seed = self.seed.wrapping_add(1);
            self.core = Membership::new(section, place, seed, now);
            (self.section, self.place, self.seed, self.told) = (section.clone(), place, seed, 0);
            self.peers = config.peers.clone();
        }
        self.zones = config.names.zones.clone();
    }

    fn member(&self, rank: usize, member: &Member, now: Micros) -> Value {
        let ago = |at: Micros| now.saturating_sub(at) / 1000;
        let address = self.peers.get(rank);
        let accusers: Vec<Rank> = self.core.accused_by(rank as Rank).collect();
        json!({"rank": rank, "address": address.map(SocketAddr::to_string),
               "host": address.map(|address| address.ip().to_string()),
               "zone": self.zones.get(usize::from(member.record.zone)),
               "state": member.state, "for_ms": ago(member.since), "incarnation": member.record.incarnation,
               "heard_ms": member.heard.map(ago), "news_ms": ago(member.seen), "accused_by": accusers})
    }
}

/// This sender's place in its tier.
pub fn place(config: &Config, section: &membership::Config) -> Option<Place> {
    let own = config.rank()?;
    let zone = config.document["settings"]["locality"].as_u64().and_then(|zone| u8::try_from(zone).ok());
    let tier = membership::tier_of(&section.tier);
    Some(Place { own, size: config.peers.len(), tier, zone: zone.unwrap_or(u8::MAX) })
}

impl View {
    /// What other parts may rest a choice on.
    pub fn facts(&self, now: Micros) -> Facts {
        self.core.facts(now)
    }

    /// Writes down what has changed since the last time.
    fn tell(&mut self) {
        let news = self.core.version - self.told;
        if news == 0 {
            return;
        }
        self.told = self.core.version;
        let changes: Vec<&Change> = self.core.history().collect();
        for change in &changes[changes.len().saturating_sub(news as usize)..] {
            let Change { member, incarnation, from, to, .. } = change;
            tracing::info!(member, incarnation, ?from, ?to, "the view of the fleet has changed");
        }
    }
}

impl Part for View {
    fn due(&self) -> Option<Micros> {
        Some(self.core.due())
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.core.tick(now, out);
        self.tell();
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Out) -> bool {
        let own = bytes.first() == Some(&MAGIC);
        if own {
            self.core.receive(now, from, bytes, out);
        }
        own
    }

    fn serving(&mut self, now: Micros, serving: bool, out: &mut Out) {
        if serving { self.core.stay(now) } else { self.core.leave(now, out) }
    }

    fn report(&self, now: Micros) -> Value {
        let members = self.core.members();
        let count = |state| members.iter().filter(|member| member.state == state).count();
        let listed = members.iter().enumerate().map(|(rank, member)| self.member(rank, member, now));
        let ago = |at: Micros| now.saturating_sub(at) / 1000;
        let changes = self.core.history().map(|change| {
            json!({"ago_ms": ago(change.at), "rank": change.member, "incarnation": change.incarnation,
                   "from": change.from, "to": change.to})
        });
        let (stops, stopped) = self.core.stops();
        json!({"own": self.core.own(), "size": members.len(), "tier": self.section.tier,
               "period_ms": self.core.period() / 1000, "version": self.core.version,
               "digest": format!("{:08x}", self.core.digest()),
               "alive": count(State::Alive), "suspect": count(State::Suspect), "dead": count(State::Dead),
               "left": count(State::Left), "joining": count(State::Joining),
               "isolated": self.core.isolated(now), "minority": self.core.minority(),
               "bounds_ms": {"accused_after": self.core.patience() / 1000, "stale_after": self.core.stale_after() / 1000},
               "own_stops": stops, "stopped_ms": stopped.map(ago), "datagrams": self.core.counts,
               "members": listed.collect::<Vec<_>>(), "changes": changes.collect::<Vec<_>>()})
    }
}
