//! Polls the senders' membership views at their management addresses and records changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::senders::Tier;
use crate::ledger::{Recorder, What};

/// Time between two polls of one sender.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum polls per second over all senders: the views of hundreds of senders are long.
const MAX_POLLS_PER_S: u32 = 100;
/// Time limit for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Polls the views of all senders during the run. A sender without membership is polled only once.
pub fn watch(tier: &Arc<Tier>, senders: usize, recorder: &Recorder) -> JoinSet<()> {
    let mut polling = JoinSet::new();
    let every = POLL_INTERVAL.max(Duration::from_secs(1) * senders as u32 / MAX_POLLS_PER_S);
    for sender in 0..senders {
        let (tier, recorder) = (tier.clone(), recorder.clone());
        polling.spawn(async move {
            let mut last = None;
            tokio::time::sleep(every.mul_f64(sender as f64 / senders as f64)).await;
            loop {
                tokio::time::sleep(every).await;
                let Some((address, generation)) = tier.mgmt(sender) else { continue };
                let Ok(Some(told)) = tokio::time::timeout(ANSWER_TIMEOUT, members(address)).await else {
                    continue;
                };
                let Some(view) = read(sender, generation, &told) else { return };
                // Recorded only when it has changed.
                if last.as_ref() != Some(&view) {
                    recorder.see(view.clone());
                    last = Some(view);
                }
            }
        });
    }
    polling
}

fn read(sender: usize, generation: u32, told: &Value) -> Option<What> {
    let members = told["members"].as_array()?;
    let state =
        |member: &Value| member["state"].as_str().and_then(|state| state.chars().next()).unwrap_or('?');
    Some(What::View {
        sender,
        generation,
        states: members.iter().map(state).collect(),
        digest: told["digest"].as_str()?.to_owned(),
        isolated: told["isolated"].as_bool()?,
        minority: told["minority"].as_bool()?,
    })
}

async fn members(address: SocketAddr) -> Option<Value> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(b"GET /control/members HTTP/1.1\r\nHost: mgmt\r\n\r\n").await.ok()?;
    let mut told = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut told).await.ok()?;
    let head = told.windows(4).position(|four| four == b"\r\n\r\n")?;
    told.starts_with(b"HTTP/1.1 ").then(|| serde_json::from_slice(&told[head + 4..]).ok())?
}
