//! Conformance tables: each row is one statement, which a runner checks on the decision module in virtual
//! time.

#[path = "../common/mod.rs"]
mod common;
mod design;

use common::*;
use myrtleyard::interface::*;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// A millisecond, the unit of time in the rows.
const MS: Micros = SECOND / 1_000;
const OTHER: DestinationId = DestinationId(8);

/// Environment of a row: eight slots, an aim of four seconds, and one destination unless it says otherwise.
#[derive(Clone, Copy, Debug)]
enum World {
    /// A destination that is never cold, so that only the breaker has an effect.
    Warm,
    /// A destination that returns from an outage with a fifth of its capacity.
    Cold,
    /// The same, in a tier of 400 senders.
    ManySenders,
    /// Two destinations that are never cold.
    TwoDestinations,
    /// Two endpoints of one destination.
    TwoEndpoints,
    /// Two endpoints, each of which is a route of its own.
    RoutePerEndpoint,
    /// Calls of up to five messages.
    Batches,
    /// One slot.
    OneSlot,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// This many messages are accepted and delivered one after the other, four per second.
    Serve(usize),
    /// This many messages of a class are submitted, each in a batch of its own.
    Take(usize, usize),
    /// This many messages of a class are submitted in one batch.
    Batch(usize, usize),
    /// A message of a class is submitted with this many milliseconds left.
    TakeWithTimeLeft(usize, u64),
    /// This many messages for the second destination are submitted.
    Elsewhere(usize),
    /// This many messages that must not run twice are submitted; each ends with the outcome as soon as it is
    /// sent.
    Each(usize, Outcome),
    /// The same with messages that may be repeated.
    Repeated(usize, Outcome),
    /// This many of the oldest outstanding attempts end with the outcome.
    End(usize, Outcome),
    /// All outstanding attempts end with the outcome in one batch.
    EndTurn(Outcome),
    /// The newest outstanding attempt ends with the outcome.
    EndNewest(Outcome),
    /// For this many seconds a message is submitted every quarter of a second, and all outstanding attempts
    /// end with the outcome.
    Stream(u64, Outcome),
    /// The same, but every other call ends with an error and the others are delivered.
    StreamHalfFailing(u64),
    /// Milliseconds pass.
    Pass(u64),
    /// The first endpoint requests a wait of this many milliseconds, outside of any call.
    WaitRequested(u64),
    /// No endpoint is listed any more.
    Unlisted,
}

/// Expected observation of the `when` steps, or of the state after them.
#[derive(Clone, Copy, Debug)]
enum Expect {
    /// Number of attempts sent: from, to.
    Sent(usize, usize),
    /// Number of attempts sent to the second endpoint, which may be of the second destination.
    SentElsewhere(usize),
    /// Number of attempts sent to the endpoint of the last call before.
    SentThere(usize),
    /// Number of outstanding attempts.
    Out(usize),
    /// Number of listed endpoints that a breaker keeps messages from.
    Unhealthy(usize),
    /// Number of messages without a final answer.
    Held(usize),
    /// Number of messages refused.
    Refused(usize),
    /// Number of messages failed.
    Failed(usize),
    /// Retry-After of the last refusal in milliseconds: from, to.
    RetryAfter(u64, u64),
    /// Maximum number of attempts in any three seconds.
    Busiest(usize),
    /// Time-out of the newest attempt in milliseconds: from, to.
    TimeoutMs(u64, u64),
}

/// A statement in words, and the steps that show it.
struct Row {
    name: &'static str,
    world: World,
    given: &'static [Step],
    when: &'static [Step],
    then: &'static [Expect],
}

fn world(world: World) -> Sender {
    let mut settings = settings();
    match world {
        World::Cold => {}
        World::ManySenders => settings.senders = 400,
        World::OneSlot => settings.slots = 1,
        _ => (settings.rules.cold_share, settings.rules.fall_multiple) = (1.0, 1_000.0),
    }
    let mut other = entry(2, 0);
    other.destination = OTHER;
    let entries = match world {
        World::TwoDestinations => vec![entry(1, 0), other],
        World::TwoEndpoints => vec![entry(1, 0), entry(2, 0)],
        World::RoutePerEndpoint => vec![entry(1, 1), entry(2, 1)],
        World::Batches => vec![entry(1, 2)],
        _ => vec![entry(1, 0)],
    };
    Sender::new(settings, &entries)
}

/// Waits until a call is outstanding, for at most 20 seconds.
fn until_out(s: &mut Sender) {
    for _ in 0..400 {
        if !s.out.is_empty() {
            break;
        }
        s.advance(SECOND / 20);
    }
}

fn step(s: &mut Sender, step: Step) {
    match step {
        Step::Serve(n) => s.serve(n),
        Step::Take(n, class) => (0..n).for_each(|_| _ = s.accept(class)),
        Step::Batch(n, class) => {
            let batch = (0..n).map(|_| Event::Accepted(s.message(class, None, 20 * SECOND))).collect();
            s.handle(batch);
        }
        Step::TakeWithTimeLeft(class, left) => {
            let message = s.message(class, None, left * MS);
            s.handle(vec![Event::Accepted(message)]);
        }
        Step::Elsewhere(n) => {
            for _ in 0..n {
                let mut message = s.message(SAFE, None, 20 * SECOND);
                message.destination = OTHER;
                s.handle(vec![Event::Accepted(message)]);
            }
        }
        Step::Each(n, outcome) => {
            for _ in 0..n {
                s.accept(ONCE);
                until_out(s);
                s.end_last(outcome);
            }
        }
        Step::Repeated(n, outcome) => s.fail_calls(n, outcome),
        Step::End(n, outcome) => (0..n).for_each(|_| s.end(outcome)),
        Step::EndTurn(outcome) => {
            let ends = s.out.iter().map(|out| s.ended(*out, outcome)).collect();
            s.out.clear();
            s.handle(ends);
        }
        Step::EndNewest(outcome) => s.end_last(outcome),
        Step::Stream(seconds, outcome) => {
            for _ in 0..seconds * 4 {
                s.accept(SAFE);
                s.advance(SECOND / 4);
                for _ in 0..s.out.len() {
                    s.end(outcome);
                }
            }
        }
        Step::StreamHalfFailing(seconds) => {
            for turn in 0..seconds * 4 {
                s.accept(ONCE);
                s.advance(SECOND / 4);
                for _ in 0..s.out.len() {
                    s.end(if turn % 2 == 0 { Outcome::Error } else { Outcome::Delivered });
                }
            }
        }
        Step::Pass(span) => s.advance(span * MS),
        Step::WaitRequested(wait) => {
            s.handle(vec![Event::RetryAfter { endpoint: endpoint(1), wait: wait * MS }])
        }
        Step::Unlisted => s.handle(vec![Event::List(vec![])]),
    }
}

/// Runs a row; returns the expectations that do not hold.
fn failures_of(row: &Row) -> Vec<String> {
    let mut s = world(row.world);
    row.given.iter().for_each(|given| step(&mut s, *given));
    let (sent, refused, failed) = (s.sent.len(), s.refused.len(), s.failed.len());
    let last = s.sent.last().map(|out| out.endpoint);
    row.when.iter().for_each(|when| step(&mut s, *when));
    let new = &s.sent[sent..];
    let busiest =
        |from: &Out| new.iter().filter(|out| (from.sent..from.sent + 3 * SECOND).contains(&out.sent)).count();
    let newest = s.sent.last().map_or(0, |out| (out.until - out.sent) / MS);
    let advice = s.refused.last().map_or(0, |refused| refused.1 / MS);
    let check = |expect: &Expect| {
        let (seen, holds) = match *expect {
            Expect::Sent(from, to) => (new.len(), (from..=to).contains(&new.len())),
            Expect::SentElsewhere(n) => {
                let seen = new.iter().filter(|out| out.endpoint == endpoint(2)).count();
                (seen, seen == n)
            }
            Expect::SentThere(n) => {
                let seen = new.iter().filter(|out| Some(out.endpoint) == last).count();
                (seen, seen == n)
            }
            Expect::Out(n) => (s.out.len(), s.out.len() == n),
            Expect::Unhealthy(n) => (s.policy.unhealthy_endpoints(), s.policy.unhealthy_endpoints() == n),
            Expect::Held(n) => (s.policy.held(), s.policy.held() == n),
            Expect::Refused(n) => (s.refused.len() - refused, s.refused.len() - refused == n),
            Expect::Failed(n) => (s.failed.len() - failed, s.failed.len() - failed == n),
            Expect::RetryAfter(from, to) => (advice as usize, (from..=to).contains(&advice)),
            Expect::Busiest(most) => {
                let seen = new.iter().map(busiest).max().unwrap_or(0);
                (seen, seen <= most)
            }
            Expect::TimeoutMs(from, to) => (newest as usize, (from..=to).contains(&newest)),
        };
        (!holds).then(|| format!("{expect:?}, seen {seen}"))
    };
    row.then.iter().filter_map(check).collect()
}

/// Runs all rows of a table and fails with the names of those that do not hold.
fn run(table: &[Row]) {
    let names: BTreeSet<_> = table.iter().map(|row| row.name).collect();
    assert_eq!(names.len(), table.len(), "row names are unique");
    let mut failed_rows = vec![];
    for row in table {
        assert!(
            !row.when.is_empty() && !row.then.is_empty(),
            "{}: the row has no steps or no expectations",
            row.name
        );
        let failed = catch_unwind(AssertUnwindSafe(|| failures_of(row)));
        let failed = failed.unwrap_or_else(|_| vec!["the row panicked".to_owned()]);
        if !failed.is_empty() {
            failed_rows.push(format!("ROW {}: {}", row.name, failed.join("; ")));
        }
    }
    assert!(
        failed_rows.is_empty(),
        "{} of {} rows\n{}",
        failed_rows.len(),
        table.len(),
        failed_rows.join("\n")
    );
}

#[test]
fn every_row_of_the_design_table_holds() {
    run(design::ROWS);
}
