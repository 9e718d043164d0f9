//! The policy after a restart: messages accepted by an earlier process are still tried, keyed ones within
//! their idempotency window and not after it.

mod common;

use common::*;
use myrtleyard::interface::*;

fn resumed(
    s: &mut Sender,
    class: usize,
    time_left: Micros,
    ran: &[(Micros, EndpointId)],
) -> (MessageId, Event) {
    let message = s.message(class, None, time_left);
    let attempts = ran.len() as u32;
    (message.id, Event::Resumed { message, attempts, may_have_run: ran.to_vec(), unconfirmed: None })
}

/// An untried message that another sender may have attempted since a second ago.
fn unconfirmed(s: &mut Sender, class: usize, time_left: Micros) -> (MessageId, Event) {
    let message = s.message(class, None, time_left);
    let may_have_run = Vec::new();
    (message.id, Event::Resumed { message, attempts: 0, may_have_run, unconfirmed: Some(SECOND) })
}

fn keyed(group: DedupScope, window: Micros) -> Settings {
    let mut settings = settings();
    settings.classes[KEYED].effect = Effect::Keyed { group, window };
    settings
}

/// Guards a keyed message whose call was in flight when its process ended: the next process may learn of its
/// endpoint only later.
#[test]
fn a_keyed_message_whose_endpoint_is_listed_later_is_repeated_only_within_its_window() {
    for group in [DedupScope::All, DedupScope::Zone, DedupScope::Endpoint] {
        let mut s = Sender::new(keyed(group, 6 * SECOND), &[]);
        let (_, event) = resumed(&mut s, KEYED, 20 * SECOND, &[(SECOND, endpoint(1))]);
        s.handle(vec![event]);
        s.advance(2 * SECOND);
        assert_eq!((s.failed.len(), s.sent.len()), (0, 0), "{group:?}: held");
        s.handle(vec![Event::Changes(vec![entry(1, 0)])]);
        assert_eq!(s.sent.len(), 1, "{group:?}");

        let mut late = Sender::new(keyed(group, 6 * SECOND), &[]);
        let (id, event) = resumed(&mut late, KEYED, 20 * SECOND, &[(SECOND, endpoint(1))]);
        late.handle(vec![event]);
        late.advance(5 * SECOND);
        late.handle(vec![Event::Changes(vec![entry(1, 0)])]);
        assert_eq!((late.sent.len(), &late.failed[..]), (0, &[id][..]), "{group:?}: its window is over");
    }
}

/// Guards restored, untried messages against a full buffer: they were accepted, messages that arrive in the
/// same turn were not.
#[test]
fn a_full_buffer_refuses_new_messages_before_it_defers_restored_ones() {
    let mut s = Sender::new(settings(), &[]);
    for _ in 0..52 {
        s.accept(ONCE);
    }
    s.advance(SECOND);
    let (old, mut events): (Vec<_>, Vec<_>) = (0..4).map(|_| resumed(&mut s, ONCE, 10 * SECOND, &[])).unzip();
    let new: Vec<Message> = (0..8).map(|_| s.message(ONCE, None, 20 * SECOND)).collect();
    let expected: Vec<MessageId> = new.iter().map(|message| message.id).take(4).collect();
    events.extend(new.into_iter().map(Event::Accepted));
    s.handle(events);
    let refused: Vec<MessageId> = s.refused.iter().map(|refused| refused.0).collect();
    assert!(old.iter().all(|id| !refused.contains(id)), "{old:?} of {refused:?}");
    assert_eq!(refused, expected);
}

/// Guards messages with short idempotency windows around restarts: a call that the next process could not
/// repeat does not begin, and one that may have run is repeated while there is time.
#[test]
fn at_the_end_of_a_process_a_short_window_delays_first_calls_but_not_repeats() {
    let mut s = Sender::new(keyed(DedupScope::All, SECOND), &[entry(1, 0)]);
    s.serve(20);
    let end = s.now + SECOND / 10;
    s.handle(vec![Event::Stopping(end)]);
    let before = s.sent.len();
    s.accept(KEYED);
    assert_eq!(
        s.sent.len(),
        before,
        "it would be in flight at the end, and its window over at the next start"
    );
    let (id, event) = resumed(&mut s, KEYED, 20 * SECOND, &[(SECOND / 2, endpoint(1))]);
    s.handle(vec![event]);
    assert_eq!(s.sent.len(), before + 1, "nothing is lost by its repeat");
    assert_eq!(s.sent[before].message, id);
}

/// Guards restored, untried messages whose destination is down: the breaker's trial may come after their
/// deadline, and they are still held for most of their time.
#[test]
fn a_restored_untried_message_is_not_deferred_early_because_a_breaker_is_open() {
    let mut s = Sender::new(settings(), &[entry(1, 0)]);
    s.serve(20);
    // Calls begun while the destination still looked healthy fail and open its breaker.
    s.fail_calls(5, Outcome::Error);
    let (id, event) = resumed(&mut s, ONCE, SECOND * 3 / 2, &[]);
    s.handle(vec![event]);
    s.advance(SECOND);
    assert!(s.refused.is_empty() && s.sent.iter().all(|out| out.message != id), "held");
    // An answer to an earlier call closes the breaker.
    s.advance(SECOND);
    assert_eq!(s.refused.iter().map(|refused| refused.0).collect::<Vec<_>>(), [id], "it ends in time");
}

/// Guards untried messages whose ownership is not confirmed: they are held past their window, and sent once it is confirmed.
#[test]
fn an_untried_message_waits_past_its_window_for_the_confirmation_of_its_ownership() {
    for group in [DedupScope::All, DedupScope::Zone, DedupScope::Endpoint] {
        let mut s = Sender::new(keyed(group, SECOND), &[entry(1, 0)]);
        let (keyed_id, keyed_event) = unconfirmed(&mut s, KEYED, 20 * SECOND);
        let (once_id, once_event) = unconfirmed(&mut s, ONCE, 20 * SECOND);
        s.handle(vec![keyed_event, once_event]);
        s.advance(10 * SECOND);
        assert_eq!((s.sent.len(), s.failed.len(), s.refused.len()), (0, 0, 0), "{group:?}: held");
        for id in [keyed_id, once_id] {
            s.handle(vec![Event::OwnershipConfirmed(id)]);
        }
        let sent: Vec<MessageId> = s.sent.iter().map(|out| out.message).collect();
        assert_eq!(sent, [keyed_id, once_id], "{group:?}");
    }
}

/// Guards the delivery while no confirmation comes: what another sender may have attempted is repeated where that does no harm.
#[test]
fn an_unconfirmed_message_is_sent_at_once_where_a_repeat_does_no_harm() {
    for (group, sent) in [(DedupScope::All, 2), (DedupScope::Zone, 1), (DedupScope::Endpoint, 1)] {
        let mut s = Sender::new(keyed(group, 6 * SECOND), &[entry(1, 0)]);
        for class in [SAFE, KEYED, ONCE] {
            let event = unconfirmed(&mut s, class, 20 * SECOND).1;
            s.handle(vec![event]);
        }
        assert_eq!(s.sent.len(), sent, "{group:?}");
    }
}

/// Guards against messages without an end: one whose ownership is never confirmed ends with its time.
#[test]
fn an_unconfirmed_message_ends_with_its_time() {
    let mut s = Sender::new(keyed(DedupScope::All, SECOND), &[entry(1, 0)]);
    let (id, event) = unconfirmed(&mut s, KEYED, 5 * SECOND);
    s.handle(vec![event]);
    s.advance(4 * SECOND);
    assert_eq!((s.sent.len(), s.failed.len(), s.refused.len()), (0, 0, 0), "held");
    s.advance(SECOND);
    assert_eq!(s.refused.iter().map(|refused| refused.0).collect::<Vec<_>>(), [id]);
    assert!(s.sent.is_empty());
}

/// Guards attempts of the earlier process itself: they count whoever owned the message since.
#[test]
fn a_confirmation_of_ownership_does_not_clear_known_attempts() {
    let mut s = Sender::new(keyed(DedupScope::All, 2 * SECOND), &[entry(1, 0)]);
    let message = s.message(KEYED, None, 20 * SECOND);
    let (id, may_have_run) = (message.id, vec![(3 * SECOND, endpoint(1))]);
    s.handle(vec![Event::Resumed { message, attempts: 1, may_have_run, unconfirmed: Some(4 * SECOND) }]);
    s.handle(vec![Event::OwnershipConfirmed(id)]);
    assert_eq!((s.sent.len(), &s.failed[..]), (0, &[id][..]), "its window is over");
}
