//! Changes of the configuration of a real sender: a file and a SIGHUP each, at a list of so many destinations.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::agent::endpoints;
use super::figure::Figure;
use super::process::{self, Sender, Wish};
use super::record::Measured;
use super::{Point, Unmeasured};

/// Changes that are measured, and those of a smoke run.
const CHANGES: [u32; 2] = [20, 3];
/// Between two of them.
const EVERY: Duration = Duration::from_millis(150);
/// The list has to be taken within this time, and the last change.
const WITHIN: Duration = Duration::from_secs(20);

/// Measures a point.
pub fn measure(point: &Point) -> Result<Measured, Unmeasured> {
    process::with_sender(point, &Wish::alone(point.size), async |sender| measured(point, sender).await)
}

async fn measured(point: &Point, sender: &mut Sender) -> Result<Measured, Unmeasured> {
    sender.start().await?;
    let all = endpoints(point.size);
    let taken = || async { Ok(sender.counter("cluster_size").await? == all) };
    if !sender.until(WITHIN, taken).await? {
        let refused = Some("the list was not taken".to_owned());
        return Ok(Measured { refused, ..Measured::default() });
    }
    let changes = CHANGES[usize::from(point.smoke)];
    let usage = sender.usage()?;
    tokio::time::sleep(EVERY * changes).await;
    let quiet = sender.usage()?;
    for change in 0..changes {
        written(sender, change)?;
        sender.signal(Signal::SIGHUP);
        tokio::time::sleep(EVERY).await;
    }
    let busy = sender.usage()?;
    let loaded = || async { Ok(sender.counter("conf_loaded").await? == u64::from(changes)) };
    if !sender.until(WITHIN, loaded).await? {
        return Err(Unmeasured::Late("a change of the configuration"));
    }
    let idle = quiet.processor_us - usage.processor_us;
    let mut measured = Measured::default();
    measured.figures.extend([
        (Figure::CpuEach, (busy.processor_us - quiet.processor_us - idle).max(0.0) / f64::from(changes)),
        (Figure::CpuPerSecond, idle / (EVERY * changes).as_secs_f64()),
        (Figure::Resident, busy.resident as f64),
        (Figure::Peak, busy.peak as f64),
    ]);
    Ok(measured)
}

/// Writes the configuration with another limit of attempts than before.
fn written(sender: &Sender, change: u32) -> Result<(), Unmeasured> {
    let file = sender.folder().join("config.json");
    let mut config: Value = serde_json::from_slice(&std::fs::read(&file)?).map_err(std::io::Error::from)?;
    config["settings"]["limits"]["try_limit"] = json!(4 + change % 2);
    // Written beside and put in its place, so that nobody reads half of it.
    let beside = sender.folder().join("config.new");
    std::fs::write(&beside, config.to_string())?;
    std::fs::rename(&beside, &file)?;
    Ok(())
}
