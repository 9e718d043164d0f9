//! Replica groups of three senders, with chosen deliveries.

use std::collections::{BTreeMap, BTreeSet};

use myrtleyard::takeover::groups::{
    DurableState, GroupEvent, Item, Op, Out, Rank, ReplicaGroupId, ReplicaGroups, Update,
};

const GROUP: ReplicaGroupId = ReplicaGroupId { owner: 0, number: 7 };
const WITH_RECORD: Item = 1;
const WITHOUT_RECORD: Item = 2;

/// Three senders whose operations are delivered at once; the events of each are collected.
struct Tier {
    senders: Vec<ReplicaGroups>,
    events: Vec<(Rank, GroupEvent)>,
    /// Operations from and to this sender are kept back.
    cut_off: Option<Rank>,
}

impl Tier {
    fn new() -> Self {
        let durable = |rank: Rank| DurableState { id: u64::from(rank) + 1, promises: BTreeMap::new() };
        let senders = (0..3).map(|rank| ReplicaGroups::new(rank, durable(rank))).collect();
        Self { senders, events: Vec::new(), cut_off: None }
    }

    /// Has a sender act, and delivers what follows from it.
    fn act(&mut self, rank: Rank, act: impl FnOnce(&mut ReplicaGroups, &mut Out)) {
        let mut out = Out::default();
        act(&mut self.senders[usize::from(rank)], &mut out);
        self.events.extend(out.events.into_iter().map(|event| (rank, event)));
        for (to, op) in out.ops {
            if ![rank, to].iter().any(|end| self.cut_off == Some(*end)) {
                self.deliver(rank, to, op);
            }
        }
    }

    /// Has the first owner replicate an update.
    fn replicate(&mut self, item: Item, update: Update) {
        self.act(0, |groups, out| {
            groups.replicate((GROUP, item), update, 5, out);
        });
    }

    fn deliver(&mut self, from: Rank, to: Rank, op: Op) {
        self.act(to, |groups, out| groups.receive(from, op, out));
    }
}

/// Guards against a message that nobody ends: it was being replicated again, its attempts before its record, when its
/// backup took the group over without it and named it all the same.
#[test]
fn a_message_whose_record_did_not_arrive_stays_with_its_owner() {
    let mut tier = Tier::new();
    tier.act(0, |groups, out| groups.open(GROUP, [1, 2], out));
    assert!(tier.senders[0].ready(GROUP).is_some());
    tier.replicate(WITH_RECORD, Update::Record(vec![1]));
    tier.replicate(WITHOUT_RECORD, Update::Intent(0));
    tier.cut_off = Some(0);
    tier.replicate(WITHOUT_RECORD, Update::Record(vec![2]));
    for backup in [1, 2] {
        tier.act(backup, |groups, out| assert!(groups.lease_expired(0, out)));
    }
    let adopted = tier.events.iter().find_map(|(rank, event)| match event {
        GroupEvent::Adopt { items, .. } => Some((*rank, items.clone())),
        _ => None,
    });
    let (adopter, items) = adopted.expect("a backup takes the group over");
    assert_eq!(items.iter().map(|(item, _)| *item).collect::<Vec<_>>(), [WITH_RECORD]);
    // The first owner is heard again, and learns who owns its messages.
    tier.cut_off = None;
    tier.events.clear();
    let state_id = tier.senders[usize::from(adopter)].durable_state().id;
    tier.deliver(0, adopter, Op::Ask { group: GROUP, epoch: 0, state_id });
    let lost = tier.events.iter().find_map(|(rank, event)| match event {
        GroupEvent::Lost { items, .. } if *rank == 0 => Some(items.clone()),
        _ => None,
    });
    assert_eq!(lost, Some(BTreeSet::from([WITH_RECORD])));
    assert!(tier.senders[0].is_sole_owner(GROUP), "it ends the other one");
}
