//! Conformance tables: one row a statement, played on the module in virtual time by one runner.

#[path = "../common/mod.rs"]
mod common;
mod design;

use common::*;
use myrtleyard::interface::*;
use std::collections::BTreeSet;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Milliseconds, as the rows give them.
const MS: Micros = SECOND / 1_000;
const OTHER: DestinationId = DestinationId(8);

/// Where a row is played: eight slots, an aim of four seconds, one destination unless another is named.
#[derive(Clone, Copy, Debug)]
enum World {
    /// A destination that is never cold, so that the breaker is seen alone.
    Warm,
    /// A destination that comes back with a fifth of its capacity.
    Cold,
    /// The same, of four hundred senders.
    Crowd,
    /// Two destinations that are never cold.
    Two,
    /// Two endpoints of one destination.
    Pair,
    /// Two endpoints, each a route of its own.
    Apart,
    /// Calls of up to five messages.
    Bundles,
    /// One slot.
    Narrow,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// So many messages are taken and delivered one after the other, four a second.
    Serve(usize),
    /// So many messages of a class come, each in a turn of its own.
    Take(usize, usize),
    /// So many come in one turn.
    Batch(usize, usize),
    /// One of a class comes with so many milliseconds left.
    Brief(usize, u64),
    /// So many come for the second destination.
    Elsewhere(usize),
    /// So many that must not run twice come, and the call of each ends so as soon as it is out.
    Each(usize, Outcome),
    /// The same with messages that may be repeated.
    Repeated(usize, Outcome),
    /// The oldest calls that are out, so many of them, end so.
    End(usize, Outcome),
    /// All messages of the oldest calls' turn end so in one turn.
    EndTurn(Outcome),
    /// The newest call that is out ends so.
    EndNewest(Outcome),
    /// For so many seconds a message comes each quarter of a second, and all that is out then ends so.
    Stream(u64, Outcome),
    /// The same, where every other call ends in an error.
    Halved(u64),
    /// Milliseconds pass.
    Pass(u64),
    /// The first endpoint told a wait of so many milliseconds, outside of any call.
    Told(u64),
    /// No endpoint is listed any more.
    Unlisted,
}

/// What is seen of the `when` alone, or at its end.
#[derive(Clone, Copy, Debug)]
enum Expect {
    /// Attempts sent: from, to.
    Sent(usize, usize),
    /// Attempts sent to the second destination.
    SentElsewhere(usize),
    /// Attempts that went to the endpoint of the last call before.
    SentThere(usize),
    /// Attempts out.
    Out(usize),
    /// Listed endpoints that a breaker keeps messages from.
    Shut(usize),
    /// Messages that are owed an answer.
    Held(usize),
    Refused(usize),
    Failed(usize),
    /// Advice of the last refusal in milliseconds: from, to.
    Return(u64, u64),
    /// Most attempts in any three seconds.
    Busiest(usize),
    /// Time that the newest call is given, in milliseconds: from, to.
    Given(u64, u64),
}

/// A statement in our words, and what shows it.
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
        World::Crowd => settings.senders = 400,
        World::Narrow => settings.slots = 1,
        _ => (settings.rules.cold_share, settings.rules.fall_multiple) = (1.0, 1_000.0),
    }
    let mut other = entry(2, 0);
    other.destination = OTHER;
    let entries = match world {
        World::Two => vec![entry(1, 0), other],
        World::Pair => vec![entry(1, 0), entry(2, 0)],
        World::Apart => vec![entry(1, 1), entry(2, 1)],
        World::Bundles => vec![entry(1, 2)],
        _ => vec![entry(1, 0)],
    };
    Sender::new(settings, &entries)
}

/// Until a call is out, for at most twenty seconds.
fn until_out(s: &mut Sender) {
    for _ in 0..400 {
        if !s.out.is_empty() {
            break;
        }
        s.pass(SECOND / 20);
    }
}

fn step(s: &mut Sender, step: Step) {
    match step {
        Step::Serve(n) => s.serve(n),
        Step::Take(n, class) => (0..n).for_each(|_| _ = s.accept(class)),
        Step::Batch(n, class) => {
            let batch = (0..n).map(|_| Event::Accepted(s.message(class, None, 20 * SECOND))).collect();
            s.tell(batch);
        }
        Step::Brief(class, left) => {
            let message = s.message(class, None, left * MS);
            s.tell(vec![Event::Accepted(message)]);
        }
        Step::Elsewhere(n) => {
            for _ in 0..n {
                let mut message = s.message(SAFE, None, 20 * SECOND);
                message.destination = OTHER;
                s.tell(vec![Event::Accepted(message)]);
            }
        }
        Step::Each(n, outcome) => {
            for _ in 0..n {
                s.accept(ONCE);
                until_out(s);
                s.end_last(outcome);
            }
        }
        Step::Repeated(n, outcome) => s.suffer(n, outcome),
        Step::End(n, outcome) => (0..n).for_each(|_| s.end(outcome)),
        Step::EndTurn(outcome) => {
            let ends = s.out.iter().map(|out| s.ended(*out, outcome)).collect();
            s.out.clear();
            s.tell(ends);
        }
        Step::EndNewest(outcome) => s.end_last(outcome),
        Step::Stream(seconds, outcome) => {
            for _ in 0..seconds * 4 {
                s.accept(SAFE);
                s.pass(SECOND / 4);
                for _ in 0..s.out.len() {
                    s.end(outcome);
                }
            }
        }
        Step::Halved(seconds) => {
            for turn in 0..seconds * 4 {
                s.accept(ONCE);
                s.pass(SECOND / 4);
                for _ in 0..s.out.len() {
                    s.end(if turn % 2 == 0 { Outcome::Error } else { Outcome::Delivered });
                }
            }
        }
        Step::Pass(span) => s.pass(span * MS),
        Step::Told(wait) => s.tell(vec![Event::Wait { endpoint: endpoint(1), wait: wait * MS }]),
        Step::Unlisted => s.tell(vec![Event::List(vec![])]),
    }
}

/// What of a row does not hold.
fn play(row: &Row) -> Vec<String> {
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
            Expect::Shut(n) => (s.policy.avoided(), s.policy.avoided() == n),
            Expect::Held(n) => (s.policy.held(), s.policy.held() == n),
            Expect::Refused(n) => (s.refused.len() - refused, s.refused.len() - refused == n),
            Expect::Failed(n) => (s.failed.len() - failed, s.failed.len() - failed == n),
            Expect::Return(from, to) => (advice as usize, (from..=to).contains(&advice)),
            Expect::Busiest(most) => {
                let seen = new.iter().map(busiest).max().unwrap_or(0);
                (seen, seen <= most)
            }
            Expect::Given(from, to) => (newest as usize, (from..=to).contains(&newest)),
        };
        (!holds).then(|| format!("{expect:?}, seen {seen}"))
    };
    row.then.iter().filter_map(check).collect()
}

/// Plays all rows of a table and names those that fail.
fn run(table: &[Row]) {
    let names: BTreeSet<_> = table.iter().map(|row| row.name).collect();
    assert_eq!(names.len(), table.len(), "a name stands for one row");
    let mut broken = vec![];
    for row in table {
        assert!(!row.when.is_empty() && !row.then.is_empty(), "{}: says nothing", row.name);
        let failed = catch_unwind(AssertUnwindSafe(|| play(row)));
        let failed = failed.unwrap_or_else(|_| vec!["the play broke off".to_owned()]);
        if !failed.is_empty() {
            broken.push(format!("ROW {}: {}", row.name, failed.join("; ")));
        }
    }
    assert!(broken.is_empty(), "{} of {} rows\n{}", broken.len(), table.len(), broken.join("\n"));
}

#[test]
fn the_design_holds_row_by_row() {
    run(design::ROWS);
}
