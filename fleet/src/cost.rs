//! Resource use of a run: the bench's own and the senders'.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::sys::resource::{Resource, UsageWho, getrlimit, getrusage, setrlimit};
use nix::sys::time::TimeValLike;
use serde::Serialize;

/// Time between two counts of the open descriptors.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Resource use of a run. CPU time covers all runs that this process executes at the same time.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Cost {
    /// The bench's own CPU time, seconds.
    pub bench_cpu_s: f64,
    /// CPU time of the senders that have ended, seconds.
    pub senders_cpu_s: f64,
    /// Maximum number of descriptors that the bench held.
    pub descriptors: u64,
    /// Bytes of the senders' logs.
    pub log_bytes: u64,
    /// Bytes of the history.
    pub history_bytes: u64,
}

impl Cost {
    /// CPU time up to now.
    pub fn now() -> Self {
        let seconds = |who| {
            getrusage(who).map_or(0.0, |usage| {
                (usage.user_time() + usage.system_time()).num_microseconds() as f64 / 1e6
            })
        };
        let bench_cpu_s = seconds(UsageWho::RUSAGE_SELF);
        Self { bench_cpu_s, senders_cpu_s: seconds(UsageWho::RUSAGE_CHILDREN), ..Self::default() }
    }

    /// Resource use since `before`, of a run with its files in `out`.
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

/// Raises the descriptor limit to the maximum that the system allows: a listener for each pair of sender and
/// endpoint, with a connection on most of them, needs thousands.
pub fn raise_descriptors() {
    if let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE)
        && soft < hard
    {
        // If this fails, a run that needs more descriptors fails with its own error.
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}

/// Maximum number of descriptors that this process has held.
#[derive(Debug, Default)]
pub struct Descriptors(AtomicU64);

impl Descriptors {
    /// The maximum counted so far.
    pub fn max(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts at intervals until it is aborted.
    pub async fn watch(&self) {
        loop {
            let held = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
            self.0.fetch_max(held as u64, Ordering::Relaxed);
            tokio::time::sleep(COUNT_INTERVAL).await;
        }
    }
}
