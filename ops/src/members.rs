//! Who of the fleet is there: one table of what several senders say.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use comfy_table::{Table, presets};
use serde::Deserialize;
use serde_json::Value;

use super::call::{self, NoWord};
use super::error_code::CodedError;

/// Between two looks when changes are followed.
const LOOK: Duration = Duration::from_secs(1);

/// What one sender says, as far as the table needs it.
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

type Words = Vec<(SocketAddr, Result<(Value, View), NoWord>)>;

/// Asks all of them at once, so that one that is slow keeps nobody waiting.
fn ask(addresses: &[SocketAddr], within: Duration) -> Words {
    std::thread::scope(|scope| {
        let asked: Vec<_> = addresses
            .iter()
            .map(|address| {
                scope.spawn(move || {
                    let told = call::get(*address, "/control/members", within)?;
                    let view = View::deserialize(&told).map_err(|e| NoWord::Unread(e.to_string()))?;
                    Ok((told, view))
                })
            })
            .collect();
        let ended = asked.into_iter().map(|asked| asked.join().unwrap_or(Err(NoWord::Failed)));
        addresses.iter().copied().zip(ended).collect()
    })
}

fn seconds(ms: u64) -> String {
    match ms {
        0..1000 => format!("{ms} ms"),
        1000..100_000 => format!("{:.1} s", ms as f64 / 1000.0),
        100_000..6_000_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

/// What the views say of one member: each different word with who says it.
fn said(views: &[&View], rank: usize) -> BTreeMap<String, BTreeSet<usize>> {
    let mut said: BTreeMap<String, BTreeSet<usize>> = BTreeMap::new();
    for view in views {
        let word = view.members.iter().find(|member| member.rank == rank).map_or("unknown", |m| &m.state);
        said.entry(word.to_owned()).or_default().insert(view.own);
    }
    said
}

fn listed(ranks: &BTreeSet<usize>) -> String {
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
        let said = said(views, rank);
        // What most say stands in the table; who says otherwise behind it.
        let most =
            said.iter().max_by_key(|(_, who)| who.len()).map(|(word, _)| word.clone()).unwrap_or_default();
        let others = said.iter().filter(|(word, _)| **word != most);
        let others: Vec<String> = others.map(|(word, who)| format!("{word} to {}", listed(who))).collect();
        let first = of.iter().find(|member| member.state == most);
        let accusers: BTreeSet<usize> = of.iter().flat_map(|m| m.accused_by.iter().copied()).collect();
        let heard = of.iter().filter_map(|member| member.heard_ms).min();
        table.add_row(vec![
            rank.to_string(),
            first.and_then(|m| m.address.clone()).unwrap_or_default(),
            first.and_then(|m| m.zone.clone()).unwrap_or_default(),
            most,
            first.map(|m| seconds(m.for_ms)).unwrap_or_default(),
            of.iter().map(|m| m.incarnation).max().unwrap_or(0).to_string(),
            heard.map_or("never".into(), seconds),
            listed(&accusers),
            others.join(", "),
        ]);
    }
    table
}

/// The sender's own code and remedy, where its answer has them.
fn advice(why: &NoWord) -> (&str, &str) {
    match why {
        NoWord::Refused { told: Some((code, remedy)), .. } => (code, remedy),
        why => (why.code(), why.remedy()),
    }
}

fn line(why: &NoWord) -> String {
    let (code, remedy) = advice(why);
    format!("{why} ({code}: {remedy})")
}

/// Shows it once. Tells the exit code.
pub fn show(addresses: &[SocketAddr], within: Duration, json: bool) -> u8 {
    let told = ask(addresses, within);
    let views: Vec<&View> =
        told.iter().filter_map(|(_, told)| told.as_ref().ok().map(|told| &told.1)).collect();
    if json {
        for (address, told) in &told {
            let line = match told {
                Ok((told, _)) => serde_json::json!({"sender": address, "told": told}),
                Err(why) => {
                    let (code, remedy) = advice(why);
                    serde_json::json!({"sender": address, "code": code, "error": why.to_string(), "remedy": remedy})
                }
            };
            println!("{line}");
        }
    } else {
        println!("{}", table(&views));
        for view in &views {
            let how = match (view.isolated, view.minority) {
                (true, _) => ", hears nobody: what it says of others means nothing",
                (false, true) => ", sees at most half of the fleet",
                (false, false) => "",
            };
            println!("sender {}: view {}, version {}{how}", view.own, view.digest, view.version);
        }
        for (address, told) in &told {
            if let Err(why) = told {
                println!("{address}: {}", line(why));
            }
        }
    }
    let digests: BTreeSet<&str> = views.iter().map(|view| view.digest.as_str()).collect();
    match () {
        () if views.len() < told.len() => 3,
        () if digests.len() > 1 => 1,
        () => 0,
    }
}

/// State and life of each member, as one sender says.
type Lives = BTreeMap<usize, (String, u32)>;

/// Shows what changes until it is ended.
pub fn follow(addresses: &[SocketAddr], within: Duration) -> ! {
    let mut before: BTreeMap<SocketAddr, Result<Lives, NoWord>> = BTreeMap::new();
    loop {
        for (address, told) in ask(addresses, within) {
            let now = told.map(|(_, view)| {
                let states = view.members.into_iter().map(|m| (m.rank, (m.state, m.incarnation)));
                states.collect::<Lives>()
            });
            match (before.get(&address), &now) {
                (Some(Err(b)), Err(n)) if b == n => {}
                (_, Err(why)) => println!("{address}: {}", line(why)),
                (Some(Ok(b)), Ok(n)) => {
                    for (rank, (state, life)) in n.iter().filter(|(rank, now)| b.get(rank) != Some(now)) {
                        println!("{address}: member {rank} is {state}, life {life}");
                    }
                }
                (_, Ok(n)) => {
                    let alive = n.values().filter(|member| member.0 == "alive").count();
                    println!("{address}: {alive} of {} alive", n.len());
                }
            }
            before.insert(address, now);
        }
        std::thread::sleep(LOOK);
    }
}
