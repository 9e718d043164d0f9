//! The membership view in the running sender: the members, taken from the configuration, and the report for
//! operators. `myrtleyard::membership` is the protocol itself.

use std::net::SocketAddr;

use myrtleyard::interface::Micros;
use myrtleyard::membership::{self, Change, MAGIC, Member, Membership, MembershipView, Place, Rank, State};
use serde_json::{Value, json};

use super::super::config::Config;
use super::{Out, Part};

/// The membership part.
pub struct MembershipPart {
    core: Membership,
    section: membership::Config,
    peers: Vec<SocketAddr>,
    zones: Vec<String>,
    place: Place,
    seed: u64,
    /// Version of the view up to which changes have been logged.
    logged_version: u64,
}

impl MembershipPart {
    /// Creates the part; `None` without its section. The members are the senders of the tier, by rank.
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
            logged_version: 0,
        })
    }

    /// Applies a changed configuration. If the section, the peers or this sender's place has changed, the
    /// view is rebuilt from scratch; the other senders then report this sender's earlier incarnations to it.
    pub fn apply_config(&mut self, config: &Config, now: Micros) {
        let Some(section) = &config.membership else { return };
        let Some(place) = place(config, section) else { return };
        if *section != self.section || place != self.place || config.peers != self.peers {
            let seed = self.seed.wrapping_add(1);
            self.core = Membership::new(section, place, seed, now);
            (self.section, self.place, self.seed, self.logged_version) = (section.clone(), place, seed, 0);
            self.peers = config.peers.clone();
        }
        self.zones = config.names.zones.clone();
    }

    fn member(&self, rank: usize, member: &Member, now: Micros) -> Value {
        let ago = |at: Micros| now.saturating_sub(at) / 1000;
        let address = self.peers.get(rank);
        let suspected_by: Vec<Rank> = self.core.suspected_by(rank as Rank).collect();
        json!({"rank": rank, "address": address.map(SocketAddr::to_string),
               "host": address.map(|address| address.ip().to_string()),
               "zone": self.zones.get(usize::from(member.record.zone)),
               "state": member.state, "for_ms": ago(member.since), "incarnation": member.record.incarnation,
               "heard_ms": member.last_heard.map(ago), "news_ms": ago(member.last_updated),
               "accused_by": suspected_by})
    }
}

/// The rank, zone and tier of this sender.
pub fn place(config: &Config, section: &membership::Config) -> Option<Place> {
    let own = config.rank()?;
    let zone = config.document["settings"]["locality"].as_u64().and_then(|zone| u8::try_from(zone).ok());
    let tier = membership::tier_of(&section.tier);
    Some(Place { own, size: config.peers.len(), tier, zone: zone.unwrap_or(u8::MAX) })
}

impl MembershipPart {
    /// The facts about members on which other parts may base decisions.
    pub fn view(&self, now: Micros) -> MembershipView {
        self.core.view(now)
    }

    /// Logs the changes since the last call.
    fn log_changes(&mut self) {
        let new_changes = self.core.version - self.logged_version;
        if new_changes == 0 {
            return;
        }
        self.logged_version = self.core.version;
        let changes: Vec<&Change> = self.core.history().collect();
        for change in &changes[changes.len().saturating_sub(new_changes as usize)..] {
            let Change { member, incarnation, from, to, .. } = change;
            tracing::info!(member, incarnation, ?from, ?to, "membership view changed");
        }
    }
}

impl Part for MembershipPart {
    fn due(&self) -> Option<Micros> {
        Some(self.core.due())
    }

    fn tick(&mut self, now: Micros, out: &mut Out) {
        self.core.tick(now, out);
        self.log_changes();
    }

    fn datagram(&mut self, now: Micros, from: u16, bytes: &[u8], out: &mut Out) -> bool {
        let own = bytes.first() == Some(&MAGIC);
        if own {
            self.core.receive(now, from, bytes, out);
        }
        own
    }

    fn serving(&mut self, now: Micros, serving: bool, out: &mut Out) {
        if serving { self.core.rejoin(now) } else { self.core.leave(now, out) }
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
        let (pauses, last_pause) = self.core.pauses();
        json!({"own": self.core.own(), "size": members.len(), "tier": self.section.tier,
               "period_ms": self.core.period() / 1000, "version": self.core.version,
               "digest": format!("{:08x}", self.core.digest()),
               "alive": count(State::Alive), "suspect": count(State::Suspect), "dead": count(State::Dead),
               "left": count(State::Left), "joining": count(State::Joining),
               "isolated": self.core.isolated(now), "minority": self.core.minority(),
               "bounds_ms": {"accused_after": self.core.suspicion_timeout() / 1000,
                             "stale_after": self.core.stale_after() / 1000},
               "own_stops": pauses, "stopped_ms": last_pause.map(ago), "datagrams": self.core.counts,
               "members": listed.collect::<Vec<_>>(), "changes": changes.collect::<Vec<_>>()})
    }
}
