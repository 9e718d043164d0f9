//! Tests the checker: a valid history, and one violation inserted for each way in which each rule can be
//! broken.

use linenwing_fleet::ledger::checker::check;
use linenwing_fleet::ledger::reads::{Level, PlanRules};
use linenwing_fleet::ledger::rules::Rule;
use linenwing_fleet::ledger::{Asked, CallEnd, ClassRules, Entry, Head, History, Log, Row, What};

const S: u64 = 1_000_000;

fn head() -> Head {
    let class = |name: &str, once, window| ClassRules { name: name.into(), once, aim: 3 * S, window };
    Head {
        scenario: "made".into(),
        seed: 1,
        senders: 2,
        classes: vec![class("notice", false, 15 * S), class("disbursement", true, 0)],
        try_limit: 6,
        drain_grace: 2 * S,
        view_period: None,
        plans: vec![],
    }
}

fn offered(id: &str, class: usize, meant: u64) -> What {
    let (id, root) = (id.to_owned(), id.to_owned());
    What::Offered { id, root, sender: 0, class, dest: 3, meant, deadline: meant + 10 * S }
}

fn call(call: u64, id: &str, first: u64) -> What {
    call_at("s-003-0", call, id, first)
}

/// A call to the destination's other endpoint, which does not drain.
fn call_other(call: u64, id: &str, first: u64) -> What {
    call_at("s-003-1", call, id, first)
}

fn call_at(endpoint: &str, call: u64, id: &str, first: u64) -> What {
    let (endpoint, ids) = (endpoint.to_owned(), vec![id.to_owned()]);
    What::Call { call, sender: 0, endpoint, dest: 3, ids, first, last: first }
}

fn answered(call: u64, status: u16, written: u64, wait: Option<u64>, end: CallEnd) -> What {
    What::Answered { call, status, written, wait, ends: vec![end] }
}

fn notice(id: &str, status: &str) -> What {
    What::Notice { sender: 0, id: id.into(), status: status.into() }
}

fn effect(call: u64, id: &str) -> What {
    What::Effect { call, id: id.into(), repeat: false }
}

/// A valid history: messages of both classes that are delivered, refused or failed, a Retry-After that is
/// respected, a drain, and a process that is killed and returns with its messages.
fn valid_history() -> Vec<(u64, What)> {
    let heard = |id: &str, status| What::Heard { id: id.into(), status };
    let told = |status: &str| What::Told { sender: 0, endpoint: "s-003-0".into(), status: status.into() };
    vec![
        (0, What::Started { sender: 0, generation: 0, empty: false }),
        (0, What::Started { sender: 1, generation: 0, empty: false }),
        (S / 10, What::Ready { sender: 0, generation: 0 }),
        (S / 10, What::Ready { sender: 1, generation: 0 }),
        (S / 5, told("active")),
        (S, offered("n", 0, S)),
        (S + 5_000, heard("n", 202)),
        (S + 20_000, call(1, "n", S + 10_000)),
        (S + 50_000, answered(1, 500, S + 40_000, None, CallEnd::Maybe)),
        (3 * S, call(2, "n", 3 * S)),
        (3 * S + 100, effect(2, "n")),
        (3 * S + 200, answered(2, 200, 3 * S + 150, None, CallEnd::Done)),
        (4 * S, offered("d", 1, 4 * S)),
        (4 * S + 5_000, heard("d", 202)),
        (4 * S + 20_000, call(3, "d", 4 * S + 10_000)),
        (4 * S + 50_000, answered(3, 429, 4 * S + 40_000, Some(S), CallEnd::Never)),
        (6 * S, call(4, "d", 6 * S)),
        (6 * S + 100, effect(4, "d")),
        (6 * S + 200, answered(4, 200, 6 * S + 150, None, CallEnd::Done)),
        (7 * S, offered("k", 1, 7 * S)),
        (7 * S + 5_000, heard("k", 202)),
        (7 * S + 50_000, call(5, "k", 7 * S + 50_000)),
        (8 * S, What::Signal { sender: 0, generation: 0, signal: "SIGKILL".into() }),
        (8 * S, What::Ended { sender: 0, generation: 0, asked: Asked::Kill, code: None }),
        (9 * S, What::Started { sender: 0, generation: 1, empty: false }),
        (9 * S + 50_000, What::Ready { sender: 0, generation: 1 }),
        (9 * S + 60_000, notice("k", "undeliverable")),
        (10 * S, told("leaving")),
        (11 * S, offered("r", 1, 11 * S)),
        (11 * S + 5_000, heard("r", 202)),
        (12 * S, notice("r", "deferred")),
        (13 * S, offered("x", 1, 13 * S)),
        (13 * S + 5_000, heard("x", 503)),
        (20 * S, told("active")),
        (60 * S, What::Over),
    ]
}

fn broken(entries: Vec<(u64, What)>) -> Vec<Rule> {
    let entries = entries.into_iter().map(|(t, what)| Entry { t, what }).collect();
    let mut rules: Vec<Rule> = check(&History::new(head(), entries)).into_iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

fn with(more: Vec<(u64, What)>) -> Vec<(u64, What)> {
    valid_history().into_iter().chain(more).collect()
}

fn without(left_out: impl Fn(&What) -> bool) -> Vec<(u64, What)> {
    valid_history().into_iter().filter(|(_, what)| !left_out(what)).collect()
}

#[test]
fn valid_history_breaks_no_rule() {
    assert_eq!(broken(valid_history()), []);
}

/// Guards against a checker that misses violations: each inserted violation is reported, under its own rule
/// only.
#[test]
fn each_inserted_violation_is_reported_under_its_rule() {
    let oversize = What::Oversize { sender: 1, bytes: 257 };
    let fell = |knew| What::Fell { dest: 3, by: vec![(0, 20, knew), (1, 9, false)] };
    let ended = |asked, code| What::Ended { sender: 1, generation: 0, asked, code };
    let unanswered = What::Heard { id: "n".into(), status: 0 };
    let elsewhere = What::Call {
        call: 20,
        sender: 1,
        endpoint: "s-004-0".into(),
        dest: 4,
        ids: vec!["n".into()],
        first: 3 * S,
        last: 3 * S,
    };
    let many = (0..6).map(|n| (2 * S + n, call(30 + n, "n", 2 * S + n))).collect();
    let violations = [
        ("no notice of what a kill left", without(|w| *w == notice("k", "undeliverable")), Rule::Lost),
        ("a notice too late", with_late_notice(), Rule::Lost),
        ("two ends that differ", with(vec![(13 * S, notice("r", "undeliverable"))]), Rule::OneEnd),
        ("deferred, with an effect", with(vec![(11 * S + 9_000, effect(9, "r"))]), Rule::OneEnd),
        ("called after its end", with(vec![(14 * S, call_other(9, "r", 12 * S + 200_000))]), Rule::OneEnd),
        (
            "called after its refusal",
            with(vec![(14 * S, call_other(9, "x", 13 * S + 200_000))]),
            Rule::OneEnd,
        ),
        ("a second effect", with(vec![(6 * S + 300, effect(4, "d"))]), Rule::Duplicate),
        (
            "called though it may have run",
            with(vec![(7 * S + 80_000, call(9, "k", 7 * S + 80_000))]),
            Rule::Duplicate,
        ),
        ("called after its window", with(vec![(17 * S, call_other(9, "n", 17 * S))]), Rule::Window),
        ("called within a wait", with(vec![(5 * S, call(9, "n", 4 * S + 300_000))]), Rule::Wait),
        ("called a drained endpoint", with(vec![(13 * S, call(9, "n", 12 * S + 100_000))]), Rule::Drain),
        ("to another destination", with(vec![(3 * S, elsewhere)]), Rule::Misdirected),
        ("nobody handed it in", with(vec![(3 * S, call(9, "nobody", 3 * S))]), Rule::Misdirected),
        ("too many attempts", with(many), Rule::Attempts),
        ("no answer", with(vec![(2 * S, unanswered)]), Rule::Unanswered),
        ("a large datagram", with(vec![(S, oversize)]), Rule::Oversize),
        ("a crash", with(vec![(59 * S, ended(Asked::No, Some(0)))]), Rule::Process),
        ("a bad end", with(vec![(59 * S, ended(Asked::Terminate, Some(1)))]), Rule::Process),
        ("pushed over", with(vec![(30 * S, fell(true))]), Rule::Fallback),
    ];
    for (name, entries, rule) in violations {
        assert_eq!(broken(entries), [rule], "{name}");
    }
    assert_eq!(broken(with(vec![(30 * S, fell(false))])), [], "the senders had not seen the failure");
    assert_eq!(broken(with(vec![(59 * S, ended(Asked::Terminate, Some(0)))])), [], "a good end");
}

fn with_late_notice() -> Vec<(u64, What)> {
    let late = notice("r", "deferred");
    let moved = without(|w| *w == late);
    moved.into_iter().chain([(21 * S + 400_000, late)]).collect()
}

/// Guards against false reports: a message is not lost while its sender is stopped, but is once the sender is
/// back.
#[test]
fn message_of_a_stopped_sender_is_lost_only_after_its_return() {
    let signal = |signal: &str| What::Signal { sender: 0, generation: 1, signal: signal.into() };
    let late = notice("r", "deferred");
    let mut entries = without(|w| *w == late);
    entries.extend([(20 * S, signal("SIGSTOP")), (30 * S, signal("SIGCONT")), (30 * S + 100_000, late)]);
    assert_eq!(broken(entries.clone()), []);
    entries.retain(|(_, what)| *what != signal("SIGCONT") && *what != notice("r", "deferred"));
    entries.push((25 * S, signal("SIGCONT")));
    assert_eq!(broken(entries), [Rule::Lost], "back, and no notice comes");
}

/// Guards the rule on membership views: a running sender reported dead, and views that differ at the end.
#[test]
fn wrong_death_and_differing_or_absent_end_views_break_the_view_rule() {
    let view = |sender, states: &str, digest: &str| {
        let (states, digest) = (states.to_owned(), digest.to_owned());
        What::View { sender, generation: 0, states, digest, isolated: false, minority: false }
    };
    let both = |at, states: &str| vec![(at, view(0, states, "1")), (at, view(1, states, "1"))];
    let judged = |views: Vec<(u64, What)>, cuts: Option<(u64, u64)>| {
        let mut entries = vec![];
        for sender in 0..2 {
            entries.push((0, What::Started { sender, generation: 0, empty: false }));
            entries.push((S / 10, What::Ready { sender, generation: 0 }));
        }
        entries.extend(views);
        if let Some((from, to)) = cuts {
            let fault = |on| What::Fault { number: 0, on, what: String::new(), cuts: true };
            entries.extend([(from, fault(true)), (to, fault(false))]);
        }
        entries.push((60 * S, What::Over));
        let head = Head { view_period: Some(S / 5), ..head() };
        let entries = entries.into_iter().map(|(t, what)| Entry { t, what }).collect();
        check(&History::new(head, entries)).len()
    };
    assert_eq!(judged(both(S, "aa"), None), 0);
    assert_eq!(judged(both(S / 20, "aa"), None), 0, "view recorded before readiness");
    let wronged = [both(S, "aa"), vec![(20 * S, view(0, "ad", "2"))], both(30 * S, "aa")].concat();
    assert_eq!(judged(wronged.clone(), None), 1);
    assert_eq!(judged(wronged, Some((18 * S, 21 * S))), 0, "the senders were partitioned");
    assert_eq!(
        judged([both(S, "aa"), vec![(20 * S, view(0, "aa", "2"))]].concat(), None),
        1,
        "the views differ at the end"
    );
    assert_eq!(judged(vec![(S, view(0, "aa", "1"))], None), 1, "one sender reports no view");
}

/// A valid read of "a" and "b" by a session: the answer has both, with nothing missing.
fn read(plan: usize, sent: u64, change: impl FnOnce(&mut What)) -> (u64, What) {
    let row = |id: &str| Row { id: id.into(), states: 3, attempts: 1 };
    let mut read = What::Read {
        session: plan,
        plan,
        sender: 1,
        sent,
        status: 200,
        since: (plan == 0).then_some(0),
        given: plan == 0,
        asked: vec!["a".into(), "b".into()],
        rows: vec![row("a"), row("b")],
        partial: false,
        less: false,
        missing: vec![],
        logs: vec![Log { owner: 0, as_of: sent, known_since: 0 }],
    };
    change(&mut read);
    (sent + S / 100, read)
}

fn rows(of: impl FnOnce(&mut Vec<Row>)) -> impl FnOnce(&mut What) {
    |read| {
        if let What::Read { rows, .. } = read {
            of(rows);
        }
    }
}

/// Guards the rules on reads: for each level valid reads, reads marked as less or as partial, and one
/// violation for each way in which each rule can be broken.
#[test]
fn each_invalid_read_is_reported_under_its_rule_and_valid_reads_are_not() {
    let plan = |level| PlanRules { level, staleness: 2 * S, tokens: true };
    let judged = |plan_of: usize, reads: Vec<(u64, What)>| {
        let plans = [Level::Session, Level::Bounded, Level::Any].map(plan).to_vec();
        let mut entries = vec![];
        for (n, id) in [(1, "a"), (5, "b")] {
            entries.push((n * S, offered(id, 0, n * S)));
            entries.push((n * S + 5_000, What::Heard { id: id.into(), status: 202 }));
            let (session, plan, id, token) = (plan_of, plan_of, id.to_owned(), plan_of == 0);
            entries.push((n * S + 5_000, What::Wrote { session, plan, id, token }));
        }
        entries.extend(reads);
        // Only reads are tested: the run ends before any message is overdue.
        entries.push((9 * S, What::Over));
        let entries = entries.into_iter().map(|(t, what)| Entry { t, what }).collect();
        let history = History::new(Head { plans, ..head() }, entries);
        let mut rules: Vec<Rule> = check(&history).into_iter().map(|b| b.rule).collect();
        rules.dedup();
        rules
    };
    let without_b = || rows(|rows| drop(rows.pop()));
    let and = |one: &dyn Fn(&mut What), read: (u64, What)| {
        let (t, mut read) = read;
        one(&mut read);
        (t, read)
    };
    let less = |read: &mut What| {
        if let What::Read { less, .. } = read {
            *less = true;
        }
    };
    let missing = |read: &mut What| {
        if let What::Read { missing, partial, .. } = read {
            (*missing, *partial) = (vec![0], true);
        }
    };
    let silently = |read: &mut What| {
        if let What::Read { missing, .. } = read {
            *missing = vec![0];
        }
    };
    let as_of = |of: u64, since: u64| {
        move |read: &mut What| {
            if let What::Read { logs, .. } = read {
                *logs = vec![Log { owner: 0, as_of: of, known_since: since }];
            }
        }
    };
    let token = |read: &mut What| {
        if let What::Read { given, .. } = read {
            *given = !*given;
        }
    };
    let undone = |states, attempts| {
        rows(move |rows| {
            rows.iter_mut().for_each(|row| (row.states, row.attempts) = (states, attempts));
        })
    };
    for plan in 0..3 {
        assert_eq!(judged(plan, vec![read(plan, 6 * S, |_| ()), read(plan, 7 * S, |_| ())]), [], "{plan}");
        assert_eq!(judged(plan, vec![and(&less, read(plan, 8 * S, without_b()))]), [], "{plan} tells less");
        assert_eq!(judged(plan, vec![and(&missing, read(plan, 8 * S, without_b()))]), [], "{plan} names it");
        let late = as_of(8 * S, 6 * S);
        assert_eq!(judged(plan, vec![and(&late, read(plan, 8 * S, without_b()))]), [], "{plan}: horizon");
        assert_eq!(judged(plan, vec![read(plan, 4 * S, without_b())]), [], "{plan}: not written yet");
    }
    let old = |read: (u64, What)| and(&as_of(4 * S, 0), read);
    assert_eq!(judged(2, vec![old(read(2, 8 * S, without_b()))]), [], "old, with its age");
    assert_eq!(judged(1, vec![old(read(1, 5 * S + 900_000, without_b()))]), [], "old, within its bound");
    let violations = [
        ("own write not shown", 0, vec![old(read(0, 8 * S, without_b()))], Rule::Session),
        ("an end undone", 0, vec![read(0, 6 * S, undone(35, 1)), read(0, 7 * S, |_| ())], Rule::Monotonic),
        ("fewer attempts", 0, vec![read(0, 6 * S, undone(3, 2)), read(0, 7 * S, |_| ())], Rule::Monotonic),
        ("too old for its bound", 1, vec![old(read(1, 8 * S, without_b()))], Rule::Staleness),
        ("an old part", 1, vec![old(read(1, 8 * S, |_| ()))], Rule::Staleness),
        ("not told as missing", 2, vec![read(2, 8 * S, without_b())], Rule::Partial),
        ("missing, and said to be whole", 2, vec![and(&silently, read(2, 8 * S, |_| ()))], Rule::Partial),
        ("a token for nothing", 2, vec![and(&token, read(2, 8 * S, |_| ()))], Rule::Entitlement),
        ("no token for its plan", 0, vec![and(&token, read(0, 8 * S, |_| ()))], Rule::Entitlement),
    ];
    for (name, plan, reads, rule) in violations {
        assert_eq!(judged(plan, reads), [rule], "{name}");
    }
}
