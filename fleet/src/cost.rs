//! What a run takes of the machine: the bench's own part and the senders'.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::sys::resource::{Resource, UsageWho, getrlimit, getrusage, setrlimit};
use nix::sys::time::TimeValLike;
use serde::Serialize;

/// Between two looks at the descriptors.
const LOOK: Duration = Duration::from_secs(1);

/// What a run takes. The processor's time is of all runs of this process that go on at the time.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Cost {
    /// The bench's own time on processors, seconds.
    pub bench_cpu_s: f64,
    /// The senders', of those that have ended.
    pub senders_cpu_s: f64,
    /// Descriptors that the bench held, at most.
    pub descriptors: u64,
    /// Bytes of the senders' logs.
    pub log_bytes: u64,
    /// Bytes of the history.
    pub history_bytes: u64,
}

impl Cost {
    /// Time on processors up to now.
    pub fn now() -> Self {
        let seconds = |who| {
            getrusage(who).map_or(0.0, |usage| {
                (usage.user_time() + usage.system_time()).num_microseconds() as f64 / 1e6
            })
        };
        let bench_cpu_s = seconds(UsageWho::RUSAGE_SELF);
        Self { bench_cpu_s, senders_cpu_s: seconds(UsageWho::RUSAGE_CHILDREN), ..Self::default() }
    }

    /// What was taken since then, by a run that left its files there.
    pub fn since(self, before: &Self, out: &Path) -> Self {
        let size = |path: &Path| std::fs::metadata(path).map_or(0, |metadata| metadata.len());
        let folders = std::fs::read_dir(out).into_iter().flatten().flatten();
        Self {
            bench_cpu_s: self.bench_cpu_s - before.bench_cpu_s,
            senders_cpu_s: self.senders_cpu_s - before.senders_cpu_s,
            log_bytes: folders.map(|folder| size(&folder.path().join("log"))).sum(),
            history_bytes: size(&out.join("history.jsonl")),
            ..self
        }
    }
}

/// Lets this process hold as many descriptors as the system allows: a listener for each sender and endpoint, and a
/// connection on most of them, are thousands.
pub fn raise_descriptors() {
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE)
        && soft < hard
    {
        // Where it can't be had, a run that needs more fails by itself, and says so.
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}

/// Descriptors that this process holds at most.
#[derive(Debug, Default)]
pub struct Descriptors(AtomicU64);

impl Descriptors {
    /// The most that was seen.
    pub fn most(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Looks for as long as it is let.
    pub async fn watch(&self) {
        loop {
            let held = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
            self.0.fetch_max(held as u64, Ordering::Relaxed);
            tokio::time::sleep(LOOK).await;
        }
    }
}
