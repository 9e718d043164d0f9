//! The trace of one message over all processes, in order of time, from the history and the senders' logs.

use std::fmt::Write as _;
use std::io;
use std::path::Path;

use crate::ledger::checker::{Reading, check};
use crate::ledger::{Entry, History, What};

/// Maximum log lines of the senders in a trace.
const MAX_LOG_LINES: usize = 200;

/// Returns the trace as text; `id` may be that of any try.
///
/// # Errors
/// Fails when the history can't be read or doesn't contain the message.
pub fn story(folder: &Path, id: &str) -> io::Result<String> {
    let history = History::read(&folder.join("history.jsonl"))?;
    let reading = Reading::of(&history);
    let Some(seen) = reading.tries.get(id) else {
        return Err(io::Error::new(io::ErrorKind::NotFound, format!("no message {id} in this history")));
    };
    let root = seen.root.clone();
    let tries: Vec<&str> =
        reading.tries.iter().filter(|(_, seen)| seen.root == root).map(|(id, _)| id.as_str()).collect();
    let calls: Vec<u64> = reading
        .calls
        .iter()
        .filter(|(_, call)| call.ids.iter().any(|id| tries.contains(&id.as_str())))
        .map(|(n, _)| *n)
        .collect();
    let senders: Vec<usize> =
        tries.iter().filter_map(|id| reading.tries.get(*id)).map(|seen| seen.sender).collect();
    let class = history.head.classes.get(seen.class).map_or("?", |class| class.name.as_str());
    let mut text = format!("message {root}, {class}, for destination {}\n", seen.dest);
    for Entry { t, what } in &history.entries {
        let about = |id: &str| tries.contains(&id);
        let line = match what {
            What::Offered { id, sender, deadline, .. } if about(id) => {
                format!(
                    "{id} is handed in at sender {sender}; its deadline is at {:.3} s",
                    *deadline as f64 / 1e6
                )
            }
            What::Heard { id, status: 0 } if about(id) => {
                format!("{id}: the connection ends without an answer")
            }
            What::Heard { id, status } if about(id) => format!("{id}: its client receives {status}"),
            What::GaveUp { id } if about(id) => format!("{id}: its client stops waiting"),
            What::Closed { root: closed } if *closed == root => "its client does not retry it".to_owned(),
            What::Call { call, sender, endpoint, ids, first, .. } if calls.contains(call) => format!(
                "call {call} by sender {sender} arrives at {endpoint} with {} messages, begun at {:.3} s",
                ids.len(),
                *first as f64 / 1e6
            ),
            What::Effect { call, id, repeat } if about(id) => match repeat {
                true => format!("{id} is dropped as a duplicate in call {call}"),
                false => format!("{id} takes effect in call {call}"),
            },
            What::Answered { call, status, wait, ends, .. } if calls.contains(call) => {
                let wait = wait.map_or(String::new(), |wait| format!(", Retry-After {} ms", wait / 1000));
                format!("call {call} is answered {status}{wait}: {ends:?}")
            }
            What::Notice { sender, id, status } if about(id) => {
                format!("sender {sender} reports {id} as {status}")
            }
            What::Fault { number, on, what, .. } => {
                format!("fault {number} {}: {what}", if *on { "begins" } else { "ends" })
            }
            What::Started { sender, .. }
            | What::Ready { sender, .. }
            | What::Signal { sender, .. }
            | What::Ended { sender, .. }
            | What::Away { sender }
                if senders.contains(sender) =>
            {
                format!("{what:?}")
            }
            _ => continue,
        };
        let _ = writeln!(text, "{:>10.3} s  {line}", *t as f64 / 1e6);
    }
    for breach in check(&history).iter().filter(|b| b.id.as_deref().is_some_and(|id| tries.contains(&id))) {
        let _ = writeln!(text, "BROKEN {breach}");
    }
    let mut lines = Vec::new();
    for sender in 0..history.head.senders {
        let log = std::fs::read(folder.join(format!("sender-{sender}/log"))).unwrap_or_default();
        for line in String::from_utf8_lossy(&log).lines() {
            let names =
                |id: &str| line.split(|c: char| !c.is_alphanumeric() && c != '-').any(|word| word == id);
            if tries.iter().any(|id| names(id)) {
                // The time of a line that is not a JSON object is unknown; such lines come first.
                let read: Option<serde_json::Value> = serde_json::from_str(line).ok();
                let time = read.and_then(|line| line["timestamp"].as_str().map(str::to_owned));
                lines.push((time.unwrap_or_default(), sender, line.to_owned()));
            }
        }
    }
    lines.sort();
    for (_, sender, line) in lines.iter().take(MAX_LOG_LINES) {
        let _ = writeln!(text, "log of sender {sender}: {line}");
    }
    Ok(text)
}
