//! Replication in the running sender: which messages are replicated to backups and when, which calls and
//! notices wait for a grant, and what happens to messages that other senders lose or take over.
//! `myrtleyard::takeover` decides who owns what; the decision module decides what happens to an adopted
//! message, as it does for one restored from the journal.

use std::collections::{BTreeMap, BTreeSet};

use myrtleyard::interface::*;
use myrtleyard::takeover::ReplicaTag;
use myrtleyard::takeover::groups::{
    Attempt, GroupEvent, Item, MessageState, ReplicaGroupId, Update, next_attempt,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::super::control::Reply;
use super::super::errors::CallError;
use super::super::journal::{
    self, AcceptedMessage, Finish, GivenUp, PendingMessage, Record, acceptance_records,
};
use super::super::parts::Part;
use super::turn::PlannedCall;
use super::{Driver, MessageEnd, RETRY_WHEN_FULL};

/// Maximum number of messages adopted in one iteration. It keeps iterations short, so that messages from this
/// sender's own clients are handled in between.
const MAX_ADOPTIONS: usize = 16;
/// Maximum time that a call waits for its grant, or one lease if that is shorter; then the module is told
/// that the call was not made. It is well below the time in which calls to a draining endpoint must have
/// ceased.
const MAX_GRANT_WAIT: Micros = 500_000;

/// The record of a message that its backups store.
#[derive(Serialize, Deserialize)]
struct MessageRecord {
    taken: AcceptedMessage,
    owner: Option<String>,
    /// When it was accepted.
    since: Micros,
    /// Effect of repeating it by the settings that it was accepted with.
    effect: Option<Effect>,
}

/// The record as versions write it that do not replicate the effect.
#[derive(Deserialize)]
struct OlderMessageRecord {
    taken: AcceptedMessage,
    owner: Option<String>,
    since: Micros,
}

/// A call that waits for its grant.
pub(super) struct HeldCall {
    group: ReplicaGroupId,
    upto: u32,
    since: Micros,
    call: PlannedCall,
}

/// A notice that waits for its grant, or for the message's deadline.
struct HeldNotice {
    group: ReplicaGroupId,
    upto: u32,
    until: Micros,
    message: u32,
    how: GivenUp,
    id: String,
}

/// A message that waits to be adopted.
struct Adoption {
    record: MessageRecord,
    tag: ReplicaTag,
    /// Attempts of its first owner that the backups do not know of started at this time or later.
    heard: Micros,
    known: MessageState,
}

/// State of replicated messages. It is bounded by the messages in hand and by those of replica groups that
/// were taken over.
#[derive(Default)]
pub(super) struct ReplicationState {
    numbers: BTreeMap<(ReplicaGroupId, Item), u32>,
    /// Messages of earlier processes that another sender may own, until a backup denies it.
    unconfirmed: BTreeSet<u32>,
    calls: Vec<HeldCall>,
    notices: Vec<HeldNotice>,
    /// Sorted by deadline, the latest first.
    adoptions: Vec<Adoption>,
    beyond_reach: u64,
    /// Messages without usable backups, which may be replicated again.
    unreplicated: BTreeSet<u32>,
    replicated_again: u64,
}

impl ReplicationState {
    /// When this state must be checked next.
    pub(super) fn due(&self) -> Option<Micros> {
        let calls = self.calls.iter().map(|held| held.since + MAX_GRANT_WAIT);
        let notices = self.notices.iter().map(|held| held.until);
        // An adoption that failed is retried in the next iteration.
        let adoptions = self.adoptions.first().map(|_| 0);
        calls.chain(notices).chain(adoptions).min()
    }
}

impl MessageRecord {
    /// The record of a message accepted at `since`.
    fn of(taken: &AcceptedMessage, since: Micros) -> Self {
        Self { taken: taken.clone(), owner: taken.owner.clone(), since, effect: taken.effect }
    }

    /// Decodes a record, also of an older version.
    fn decode(bytes: &[u8]) -> Option<Self> {
        let older = || {
            let OlderMessageRecord { taken, owner, since } = postcard::from_bytes(bytes).ok()?;
            Some(Self { taken, owner, since, effect: None })
        };
        postcard::from_bytes(bytes).ok().or_else(older)
    }
}

/// The records that are written when a message is adopted.
fn adoption_records(
    message: u32,
    taken: &AcceptedMessage,
    (tag, since): (ReplicaTag, Micros),
    known: &MessageState,
) -> Vec<Record> {
    let mut records: Vec<Record> = acceptance_records(message, taken).collect();
    records.push(Record::Replicated(message, tag, since));
    for (attempt, intended) in &known.attempts {
        let (attempt, endpoint) = (*attempt, String::new());
        records.push(Record::AttemptBegun { message, attempt, endpoint, at: intended.at });
        if intended.never_ran {
            records.push(Record::AttemptEnded { message, attempt, never_ran: true });
        }
    }
    records
}

impl Driver {
    /// Assigns an accepted message to a replica group, if it can be replicated.
    pub(super) fn assign_group(&mut self, taken: &AcceptedMessage, now: Micros) -> Option<ReplicaTag> {
        let takeover = self.parts.takeover.as_mut()?;
        takeover.core.place(taken.body.len(), taken.deadline.saturating_sub(now)).ok()
    }

    /// Replicates a message that is in the journal to its backups.
    pub(super) fn replicate(&mut self, number: u32, now: Micros) {
        let Some(PendingMessage { accepted: taken, replicated: Some((tag, since)), .. }) =
            self.journal.pending().get(&number)
        else {
            return;
        };
        let Ok(record) = postcard::to_allocvec(&MessageRecord::of(taken, *since)) else { return };
        let (tag, id) = (tag.clone(), taken.id.clone());
        tracing::debug!(id, lot = tag.group.number, covers = ?tag.backups, "message replicated");
        self.replicated.numbers.insert((tag.group, tag.item), number);
        self.send_update(&tag, Update::Record(record), now);
    }

    fn send_update(&mut self, tag: &ReplicaTag, update: Update, now: Micros) -> Option<u32> {
        self.parts.takeover.as_mut()?.core.replicate(now, tag.group, tag.item, update)
    }

    /// Sends the backups an update of a replicated message.
    pub(super) fn update_backups(&mut self, number: u32, update: Update) {
        let live = self.journal.pending().get(&number);
        if let Some((tag, _)) = live.and_then(|live| live.replicated.clone()) {
            let over = update == Update::Over;
            self.send_update(&tag, update, self.clock.now());
            if over {
                self.replicated.numbers.remove(&(tag.group, tag.item));
                self.drop_held(number);
            }
        }
    }

    fn drop_held(&mut self, number: u32) {
        self.replicated.unreplicated.remove(&number);
        self.replicated.unconfirmed.remove(&number);
        let over = |held: &mut HeldCall| held.call.message.0 == number;
        let over: Vec<HeldCall> = self.replicated.calls.extract_if(.., over).collect();
        // The module counts them as in flight until it is told otherwise.
        over.into_iter().for_each(|held| self.report_not_made(held.call));
        self.replicated.notices.retain(|held| held.message != number);
    }

    /// Whether an attempt may start only with a grant: always if it must not happen twice; for a keyed
    /// message once the endpoint may have forgotten another sender's first attempt.
    fn needs_grant(&self, message: MessageId, live: &PendingMessage, since: Micros, now: Micros) -> bool {
        // A message keeps the class that it was accepted with, whatever the settings are now.
        let class = self.policy.class_of(message).or_else(|| self.names.borrow().class(&live.accepted.class));
        match class.and_then(|class| self.settings.classes.get(class)).map(|class| class.effect) {
            Some(Effect::Repeatable) => false,
            Some(Effect::Keyed { window, .. }) => {
                let margin = self.settings.connect_timeout.min(window / 4);
                now + margin >= since + window
            }
            Some(Effect::Once) | None => true,
        }
    }

    /// Replicates the intents of an iteration's calls, and holds back the calls that must wait for their
    /// grant.
    pub(super) fn hold_for_grants(&mut self, calls: Vec<PlannedCall>, now: Micros) -> Vec<PlannedCall> {
        if self.parts.takeover.is_none() {
            return calls;
        }
        let mut free = Vec::with_capacity(calls.len());
        for call in calls {
            let live = self.journal.pending().get(&call.message.0);
            let Some((live, (tag, since))) = live.and_then(|live| Some((live, live.replicated.clone()?)))
            else {
                free.push(call);
                continue;
            };
            let needs = self.needs_grant(call.message, live, since, now);
            let upto = self.send_update(&tag, Update::Intent(call.attempt), now);
            let owned = self.parts.takeover.as_ref().is_some_and(|takeover| takeover.core.owns(tag.group));
            match upto {
                Some(upto) if needs => {
                    self.replicated.calls.push(HeldCall { group: tag.group, upto, since: now, call });
                }
                // Another sender owns it, which is about to be reported here.
                None if needs && !owned => self.report_not_made(call),
                // No other sender can come to own it.
                None if owned => free.push(PlannedCall { owned_at: Some(now), ..call }),
                _ => free.push(call),
            }
        }
        free
    }

    /// Cancels all calls that wait for a grant; the next process is told so.
    pub(super) fn cancel_held_calls(&mut self) {
        for held in std::mem::take(&mut self.replicated.calls) {
            self.report_not_made(held.call);
        }
    }

    /// The same at the end of the process: the journal records that these attempts never ran.
    pub(super) fn record_held_calls(&mut self) {
        let calls = std::mem::take(&mut self.replicated.calls).into_iter();
        let never = calls.map(|held| {
            let PlannedCall { message, attempt, .. } = held.call;
            Record::AttemptEnded { message: message.0, attempt, never_ran: true }
        });
        if let Err(e) = self.journal.append(&never.collect::<Vec<_>>()) {
            tracing::error!("writing the journal failed: {e}");
        }
    }

    /// The outcome as far as this sender can prove it: without the section it can't ask the backups of a
    /// replicated message whether one of them has attempted it.
    pub(super) fn provable_outcome(&self, live: &PendingMessage, how: GivenUp) -> GivenUp {
        let harmless = live.accepted.effect == Some(Effect::Repeatable);
        let unknown = live.replicated.is_some() && self.parts.takeover.is_none() && !harmless;
        match how {
            GivenUp::Deferred(_) if unknown => GivenUp::Undeliverable,
            how => how,
        }
    }

    /// Notifies the platform of an outcome, once the backups know of it, too. A notice that is not granted by
    /// the message's deadline is sent all the same, with the outcome that is certain by then: nobody can
    /// deliver the message any more.
    pub(super) fn notify_when_granted(&mut self, number: u32, how: GivenUp, id: String) {
        let live = self.journal.pending().get(&number);
        let until = live.map_or(0, |live| live.accepted.deadline);
        let tag = live.and_then(|live| live.replicated.clone());
        let upto = tag.as_ref().and_then(|(tag, _)| {
            let upto = self.send_update(tag, Update::GivenUp(how), self.clock.now());
            upto.map(|upto| (tag.group, upto))
        });
        match upto {
            // It is too late to wait; `handle_takeover` does the same when a held notice is due.
            Some(_) if self.clock.now() >= until => self.send_notice(number, GivenUp::Undeliverable, id),
            Some((group, upto)) => {
                self.replicated.notices.push(HeldNotice { group, upto, until, message: number, how, id });
            }
            None => self.send_notice(number, how, id),
        }
    }

    /// Resumes the replica groups of an earlier process: asks the backups whether this process may go on with
    /// them.
    pub(super) fn resume_replicated(&mut self) {
        let live = self.journal.pending().iter();
        let tags: Vec<(u32, ReplicaTag)> =
            live.filter_map(|(number, live)| Some((*number, live.replicated.clone()?.0))).collect();
        let now = self.clock.now();
        let (alone, backed_up): (Vec<_>, Vec<_>) = tags.iter().partition(|(_, tag)| tag.backups.is_empty());
        self.replicated.unconfirmed.extend(backed_up.iter().map(|(number, _)| *number));
        // Without the section nobody can be asked, and the messages stay unconfirmed.
        let Some(takeover) = self.parts.takeover.as_mut() else { return };
        takeover.core.resume(now, tags.iter().map(|(_, tag)| tag.clone()));
        self.replicated.unreplicated.extend(alone.iter().map(|(number, _)| *number));
        let numbers = tags.into_iter().map(|(number, tag)| ((tag.group, tag.item), number));
        self.replicated.numbers.extend(numbers);
    }

    /// Carries out what followed from other senders' datagrams and from elapsed time.
    pub(super) fn handle_takeover(&mut self, events: &mut Vec<Event>) {
        let Some(takeover) = self.parts.takeover.as_mut() else { return };
        for event in takeover.core.take_events() {
            self.handle_group_event(event, events);
        }
        let now = self.clock.now();
        self.stop_waiting_for_grants(now);
        self.replicate_waiting(now);
        self.adopt_waiting(now, events);
    }

    fn handle_group_event(&mut self, event: GroupEvent, events: &mut Vec<Event>) {
        match event {
            GroupEvent::Granted { group, upto } => self.granted(group, upto),
            GroupEvent::Adopt { group, epoch, backups, last_heard, items } => {
                let messages = items.len();
                tracing::info!(
                    owner = group.owner,
                    lot = group.number,
                    epoch,
                    messages,
                    "replica group taken over"
                );
                for (item, known) in items {
                    let tag = ReplicaTag { group, epoch, item, backups: backups.clone() };
                    self.queue_adoption(tag, last_heard, known);
                }
                self.replicated.adoptions.sort_by_key(|a| std::cmp::Reverse(a.record.taken.deadline));
            }
            GroupEvent::SoleOwner(group) => self.sole_owner(group, events),
            GroupEvent::Lost { group, items } => {
                self.replicated.adoptions.retain(|a| a.tag.group != group || !items.contains(&a.tag.item));
                items.into_iter().for_each(|item| self.drop_lost((group, item), events));
            }
            GroupEvent::Finished(group, item) => {
                self.replicated.adoptions.retain(|a| (a.tag.group, a.tag.item) != (group, item));
                if let Some(takeover) = &mut self.parts.takeover {
                    takeover.core.replicate(self.clock.now(), group, item, Update::Over);
                }
                self.drop_lost((group, item), events);
            }
        }
    }

    fn queue_adoption(&mut self, tag: ReplicaTag, last_heard: Micros, known: MessageState) {
        let record = known.record.as_deref().unwrap_or_default();
        match MessageRecord::decode(record) {
            Some(record) => {
                let heard = last_heard.max(record.since);
                self.replicated.adoptions.push(Adoption { record, tag, heard, known });
            }
            None => {
                tracing::error!(
                    lot = tag.group.number,
                    item = tag.item,
                    "the replicated record of a message can't be decoded; the message is dropped"
                );
                self.send_update(&tag, Update::Over, self.clock.now());
            }
        }
    }

    /// Reports calls as not made that have waited too long for their grants, and sends notices whose messages'
    /// time is up.
    fn stop_waiting_for_grants(&mut self, now: Micros) {
        let lease = self.parts.takeover.as_ref().map_or(0, |takeover| takeover.core.lease());
        let late = |held: &mut HeldCall| now > held.since + lease.min(MAX_GRANT_WAIT);
        let late: Vec<HeldCall> = self.replicated.calls.extract_if(.., late).collect();
        late.into_iter().for_each(|held| self.report_not_made(held.call));
        let due = |held: &mut HeldNotice| now >= held.until;
        let due: Vec<HeldNotice> = self.replicated.notices.extract_if(.., due).collect();
        // Another sender may have attempted it or may be attempting it now, so it can't be claimed any more
        // that it never ran.
        due.into_iter().for_each(|held| self.send_notice(held.message, GivenUp::Undeliverable, held.id));
    }

    fn replicate_waiting(&mut self, now: Micros) {
        for _ in 0..MAX_ADOPTIONS {
            let Some(number) = self.replicated.unreplicated.pop_first() else { return };
            if !self.replicate_again(number, now) {
                self.replicated.unreplicated.insert(number);
                return;
            }
        }
    }

    fn adopt_waiting(&mut self, now: Micros, events: &mut Vec<Event>) {
        for _ in 0..MAX_ADOPTIONS {
            let Some(next) = self.replicated.adoptions.pop() else { return };
            if let Err(again) = self.adopt(next, now, events) {
                self.replicated.adoptions.push(*again);
                return;
            }
        }
    }

    /// No other sender owns the group or can come to own it: its messages may be called for and replicated
    /// again.
    fn sole_owner(&mut self, group: ReplicaGroupId, events: &mut Vec<Event>) {
        let (from, to) = ((group, Item::MIN), (group, Item::MAX));
        let numbers: Vec<u32> = self.replicated.numbers.range(from..=to).map(|(_, number)| *number).collect();
        let messages = numbers.len();
        tracing::debug!(
            owner = group.owner,
            lot = group.number,
            messages,
            "no other sender can own the group"
        );
        for number in &numbers {
            self.replicated.unconfirmed.remove(number);
            events.push(Event::OwnershipConfirmed(MessageId(*number)));
        }
        self.replicated.unreplicated.extend(numbers);
    }

    /// Moves a message whose replica group no other sender can come to own into a new group. Returns false if
    /// that is not possible now.
    fn replicate_again(&mut self, number: u32, now: Micros) -> bool {
        let Some(live) = self.journal.pending().get(&number).cloned() else { return true };
        let Some((old, since)) = live.replicated.clone() else { return true };
        let left = live.accepted.deadline.saturating_sub(now);
        if left == 0 {
            return true;
        }
        let Some(takeover) = self.parts.takeover.as_mut() else { return true };
        let Some(tag) = takeover.core.place_rereplicated(live.accepted.body.len(), left) else {
            return false;
        };
        let Ok(record) = postcard::to_allocvec(&MessageRecord::of(&live.accepted, since)) else {
            return true;
        };
        if let Err(e) = self.journal.append(&[Record::Replicated(number, tag.clone(), since)]) {
            tracing::error!("writing the journal failed: {e}");
            return false;
        }
        let attempt = |a: &journal::Attempt| (a.number, Attempt { at: a.at, never_ran: a.never_ran });
        let known = MessageState {
            record: Some(record),
            attempts: live.attempts.iter().map(attempt).collect(),
            given_up: live.given_up,
            over: false,
        };
        let id = &live.accepted.id;
        tracing::debug!(
            id,
            lot = tag.group.number,
            covers = ?tag.backups,
            "message replicated again, in a new group"
        );
        if let Some(takeover) = self.parts.takeover.as_mut() {
            takeover.core.replicate_all(now, tag.group, tag.item, &known);
        }
        self.send_update(&old, Update::Over, now);
        self.replicated.numbers.remove(&(old.group, old.item));
        self.replicated.numbers.insert((tag.group, tag.item), number);
        self.replicated.replicated_again += 1;
        true
    }

    fn granted(&mut self, group: ReplicaGroupId, upto: u32) {
        let now = self.clock.now();
        let free = |held: &mut HeldCall| held.group == group && held.upto <= upto;
        let free: Vec<HeldCall> = self.replicated.calls.extract_if(.., free).collect();
        let owed = |held: &HeldCall| {
            let live = self.journal.pending().get(&held.call.message.0);
            live.is_some_and(|live| live.given_up.is_none())
        };
        let (free, over): (Vec<HeldCall>, _) = free.into_iter().partition(owed);
        over.into_iter().for_each(|held| self.report_not_made(held.call));
        let left = |HeldCall { since, call, .. }: HeldCall| {
            let timeout = call.timeout.saturating_sub(now - since);
            PlannedCall { timeout, owned_at: Some(since), ..call }
        };
        self.start_calls(free.into_iter().map(left).collect(), now);
        let granted = |held: &mut HeldNotice| held.group == group && held.upto <= upto;
        let granted: Vec<HeldNotice> = self.replicated.notices.extract_if(.., granted).collect();
        granted.into_iter().for_each(|held| self.send_notice(held.message, held.how, held.id));
    }

    /// Gives up a message that another sender owns now, or that is over.
    fn drop_lost(&mut self, place: (ReplicaGroupId, Item), events: &mut Vec<Event>) {
        let Some(number) = self.replicated.numbers.remove(&place) else { return };
        self.drop_held(number);
        let Some(live) = self.journal.pending().get(&number) else { return };
        let id = live.accepted.id.clone();
        tracing::debug!(id, lot = place.0.number, "message is owned by another sender now, or over");
        events.push(Event::Withdrawn(MessageId(number)));
        self.journal.remember_finished(&id, Finish::Accepted);
        self.pending_records.push(Record::Finished(number, Finish::Accepted));
        self.release(number, &id);
    }

    /// Adopts a message of another sender. Returns it as the error if the journal can't be written.
    fn adopt(&mut self, from: Adoption, now: Micros, events: &mut Vec<Event>) -> Result<(), Box<Adoption>> {
        let Adoption { record, tag, heard, known } = &from;
        let mut known = known.clone();
        let class = self.names.borrow().class(&record.taken.class);
        let own_effect = class.and_then(|class| Some(self.settings.classes.get(class)?.effect));
        let effect = record.effect.or(own_effect);
        let taken = AcceptedMessage { owner: record.owner.clone(), effect, ..record.taken.clone() };
        // Its owner called for it without a grant, unless it must not be repeated.
        if effect != Some(Effect::Once) {
            known.count_unknown_attempts(*heard);
        }
        let class = class.map(|class| self.class_when_accepted(class, &taken, events));
        if self.held.contains_key(&taken.id) {
            // This sender has the message already by another way, which provides its outcome.
            let tag = tag.clone();
            self.send_update(&tag, Update::Over, now);
            return Ok(());
        }
        let number = self.next_message;
        let (id, place) = (taken.id.clone(), (tag.group, tag.item));
        let reach = class.is_some()
            && self.journal.has_capacity(&taken, 0)
            && self.policy.held() < self.settings.max_open;
        let how = known.given_up.or_else(|| (!reach).then(|| self.outcome_beyond_reach(class, &known)));
        let mut records = adoption_records(number, &taken, (tag.clone(), *heard), &known);
        records.extend(how.map(|how| Record::GivenUp(number, how)));
        if let Err(e) = self.journal.append(&records) {
            tracing::error!("writing the journal failed: {e}");
            return Err(Box::new(from));
        }
        self.next_message = number.wrapping_add(1);
        self.replicated.numbers.insert(place, number);
        self.held.insert(id.clone(), number);
        if self.parts.takeover.as_ref().is_some_and(|takeover| takeover.core.is_sole_owner(tag.group)) {
            self.replicated.unreplicated.insert(number);
        }
        self.index_adopted(&taken, record.since, tag.epoch, how);
        let attempts = next_attempt(known.attempts.keys().copied());
        let (from, destination) = (tag.group.owner, taken.destination);
        tracing::debug!(id, from, destination, attempts, ?how, "message adopted");
        if let Some(how) = how {
            self.replicated.beyond_reach += u64::from(!reach);
            self.counters.count_ended(&taken.class, MessageEnd::from(how));
            self.pending_notices.push((number, how, id));
            return Ok(());
        }
        let Some(live) = self.journal.pending().get(&number).cloned() else { return Ok(()) };
        self.resume(number, class.unwrap_or_default(), &live, now, events);
        Ok(())
    }

    /// The outcome of an adopted message that this sender can't take on.
    fn outcome_beyond_reach(&self, class: Option<usize>, known: &MessageState) -> GivenUp {
        let once = class.is_some_and(|class| self.settings.classes[class].effect == Effect::Once);
        // No other sender attempts it any more, and none has.
        let never_ran = once && !known.may_have_run();
        if never_ran { GivenUp::Deferred(RETRY_WHEN_FULL) } else { GivenUp::Undeliverable }
    }

    /// Passes a message to the module that the module did not accept itself.
    pub(super) fn resume(
        &mut self,
        number: u32,
        class: usize,
        live: &PendingMessage,
        now: Micros,
        events: &mut Vec<Event>,
    ) {
        self.load(live.accepted.destination, events);
        let may_have_run: Vec<_> = live
            .attempts
            .iter()
            .filter(|attempt| !attempt.never_ran)
            .map(|attempt| (now.saturating_sub(attempt.at), self.endpoint_id(&attempt.endpoint)))
            .collect();
        let attempts = next_attempt(live.attempts.iter().map(|attempt| attempt.number));
        let since = live.replicated.as_ref().map(|(_, since)| *since);
        let since = since.filter(|_| self.replicated.unconfirmed.contains(&number));
        let unconfirmed = since.map(|since| now.saturating_sub(since));
        tracing::debug!(
            id = live.accepted.id,
            attempts,
            ?may_have_run,
            ?unconfirmed,
            "message passed to the module"
        );
        self.attempts.insert(number, attempts);
        let message = self.message(number, class, &live.accepted, now);
        events.push(Event::Resumed { message, attempts: attempts.into(), may_have_run, unconfirmed });
    }

    /// The report on replication, for operators.
    pub(super) fn takeover_report(&self) -> Reply {
        let Some(takeover) = &self.parts.takeover else {
            return Reply::call_error(&CallError::TakeoverOff);
        };
        let mut report = takeover.report(self.clock.now());
        let replicated = self.journal.pending().values().filter(|live| live.replicated.is_some()).count();
        report["in_hand"] = json!({"covered": replicated, "all": self.journal.pending().len(),
                                   "calls_waiting": self.replicated.calls.len(),
                                   "notices_waiting": self.replicated.notices.len(),
                                   "unconfirmed": self.replicated.unconfirmed.len(),
                                   "adoptions_waiting": self.replicated.adoptions.len()});
        report["covered_anew"] = json!(self.replicated.replicated_again);
        report["beyond_reach"] = json!(self.replicated.beyond_reach);
        Reply::ok(&report)
    }
}
