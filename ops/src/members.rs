//! The members of the fleet: one table made of the membership views of several senders.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use comfy_table::{Table, presets};
use serde::Deserialize;
use serde_json::Value;

use super::call::{self, CallError};
use super::error_code::CodedError;

/// Time between two polls with `--follow`.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// One sender's membership view, as far as the table needs it.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct View {
    own: usize,
    version: u64,
    digest: String,
    isolated: bool,
    minority: bool,
    members: Vec<Member>,
}

#[derive(Debug, Clone, PartialEq, Deserialize)]
struct Member {
    rank: usize,
    address: Option<String>,
    zone: Option<String>,
    state: String,
    for_ms: u64,
    incarnation: u32,
    heard_ms: Option<u64>,
    accused_by: Vec<usize>,
}

/// For each sender its raw answer with the view parsed from it, or why there is none.
type Answers = Vec<(SocketAddr, Result<(Value, View), CallError>)>;

/// Asks all senders concurrently, so that a slow one doesn't delay the others.
fn fetch_views(addresses: &[SocketAddr], within: Duration) -> Answers {
    std::thread::scope(|scope| {
        let calls: Vec<_> = addresses
            .iter()
            .map(|address| {
                scope.spawn(move || {
                    let answer = call::get(*address, "/control/members", within)?;
                    let view =
                        View::deserialize(&answer).map_err(|e| CallError::UnexpectedForm(e.to_string()))?;
                    Ok((answer, view))
                })
            })
            .collect();
        let results = calls.into_iter().map(|call| call.join().unwrap_or(Err(CallError::Failed)));
        addresses.iter().copied().zip(results).collect()
    })
}

fn human_duration(ms: u64) -> String {
    match ms {
        0..1000 => format!("{ms} ms"),
        1000..100_000 => format!("{:.1} s", ms as f64 / 1000.0),
        100_000..6_000_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

/// The states that the views give one member, each with the ranks of the senders that give it.
fn states_of(views: &[&View], rank: usize) -> BTreeMap<String, BTreeSet<usize>> {
    let mut states: BTreeMap<String, BTreeSet<usize>> = BTreeMap::new();
    for view in views {
        let state = view.members.iter().find(|member| member.rank == rank).map_or("unknown", |m| &m.state);
        states.entry(state.to_owned()).or_default().insert(view.own);
    }
    states
}

fn join_ranks(ranks: &BTreeSet<usize>) -> String {
    ranks.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ")
}

fn table(views: &[&View]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_HORIZONTAL_ONLY);
    table.set_header([
        "member",
        "address",
        "zone",
        "state",
        "for",
        "life",
        "last heard",
        "accused by",
        "disagreement",
    ]);
    let ranks: BTreeSet<usize> = views.iter().flat_map(|view| view.members.iter().map(|m| m.rank)).collect();
    for rank in ranks {
        let of: Vec<&Member> =
            views.iter().filter_map(|v| v.members.iter().find(|m| m.rank == rank)).collect();
        let states = states_of(views, rank);
        // The table shows the state that most views give; its last column names the senders that differ.
        let most = states.iter().max_by_key(|(_, senders)| senders.len());
        let most = most.map(|(state, _)| state.clone()).unwrap_or_default();
        let others = states.iter().filter(|(state, _)| **state != most);
        let others: Vec<String> =
            others.map(|(state, senders)| format!("{state} to {}", join_ranks(senders))).collect();
        let first = of.iter().find(|member| member.state == most);
        let suspecters: BTreeSet<usize> = of.iter().flat_map(|m| m.accused_by.iter().copied()).collect();
        let heard = of.iter().filter_map(|member| member.heard_ms).min();
        table.add_row(vec![
            rank.to_string(),
            first.and_then(|m| m.address.clone()).unwrap_or_default(),
            first.and_then(|m| m.zone.clone()).unwrap_or_default(),
            most,
            first.map(|m| human_duration(m.for_ms)).unwrap_or_default(),
            of.iter().map(|m| m.incarnation).max().unwrap_or(0).to_string(),
            heard.map_or("never".into(), human_duration),
            join_ranks(&suspecters),
            others.join(", "),
        ]);
    }
    table
}

/// The code and remedy of the sender's answer, or else this program's own.
fn code_and_remedy(why: &CallError) -> (&str, &str) {
    match why {
        CallError::Refused { coded: Some((code, remedy)), .. } => (code, remedy),
        why => (why.code(), why.remedy()),
    }
}

fn error_line(why: &CallError) -> String {
    let (code, remedy) = code_and_remedy(why);
    format!("{why} ({code}: {remedy})")
}

/// Shows the views once. Returns the exit code.
pub fn show(addresses: &[SocketAddr], within: Duration, json: bool) -> u8 {
    let answers = fetch_views(addresses, within);
    let views: Vec<&View> =
        answers.iter().filter_map(|(_, answer)| answer.as_ref().ok().map(|answer| &answer.1)).collect();
    if json {
        for (address, answer) in &answers {
            let line = match answer {
                Ok((body, _)) => serde_json::json!({"sender": address, "told": body}),
                Err(why) => {
                    let (code, remedy) = code_and_remedy(why);
                    let error = why.to_string();
                    serde_json::json!({"sender": address, "code": code, "error": error, "remedy": remedy})
                }
            };
            println!("{line}");
        }
    } else {
        println!("{}", table(&views));
        for view in &views {
            let warning = match (view.isolated, view.minority) {
                (true, _) => ", isolated: it hears from no member, so its view of the others is meaningless",
                (false, true) => ", in a minority: it sees at most half of the fleet",
                (false, false) => "",
            };
            println!("sender {}: view {}, version {}{warning}", view.own, view.digest, view.version);
        }
        for (address, answer) in &answers {
            if let Err(why) = answer {
                println!("{address}: {}", error_line(why));
            }
        }
    }
    let digests: BTreeSet<&str> = views.iter().map(|view| view.digest.as_str()).collect();
    match () {
        () if views.len() < answers.len() => 3,
        () if digests.len() > 1 => 1,
        () => 0,
    }
}

/// State and incarnation of each member by rank, as one sender sees them.
type States = BTreeMap<usize, (String, u32)>;

/// Prints each change until the program is ended.
pub fn follow(addresses: &[SocketAddr], within: Duration) -> ! {
    let mut before: BTreeMap<SocketAddr, Result<States, CallError>> = BTreeMap::new();
    loop {
        for (address, answer) in fetch_views(addresses, within) {
            let now = answer.map(|(_, view)| {
                let states = view.members.into_iter().map(|m| (m.rank, (m.state, m.incarnation)));
                states.collect::<States>()
            });
            match (before.get(&address), &now) {
                (Some(Err(b)), Err(n)) if b == n => {}
                (_, Err(why)) => println!("{address}: {}", error_line(why)),
                (Some(Ok(b)), Ok(n)) => {
                    for (rank, (state, incarnation)) in
                        n.iter().filter(|(rank, now)| b.get(rank) != Some(now))
                    {
                        println!("{address}: member {rank} is {state}, life {incarnation}");
                    }
                }
                (_, Ok(n)) => {
                    let alive = n.values().filter(|member| member.0 == "alive").count();
                    println!("{address}: {alive} of {} alive", n.len());
                }
            }
            before.insert(address, now);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
