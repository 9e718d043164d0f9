//! What a process takes of the machine, and how late the bench's own timers are.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io;
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// The probe's rest between two looks at the clock.
const PROBE_EVERY: Duration = Duration::from_millis(10);
/// The longest lateness that is told apart, microseconds.
const LATEST_US: u64 = 600_000_000;
/// Digits of a program's SHA-256 that a record keeps.
const DIGITS: usize = 12;

/// What a process takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Resident memory, bytes.
    pub resident: u64,
    /// The most that was ever resident, bytes.
    pub peak: u64,
    /// Processor time of the threads that live, microseconds.
    pub processor_us: f64,
    /// Bytes that went to the disk.
    pub written: u64,
}

impl Usage {
    /// Of a process, by the system's number for it.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn of(id: u32) -> io::Result<Self> {
        let folder = Path::new("/proc").join(id.to_string());
        let status = std::fs::read_to_string(folder.join("status"))?;
        let written = std::fs::read_to_string(folder.join("io")).unwrap_or_default();
        Ok(Self {
            resident: figure(&status, "VmRSS:") * 1024,
            peak: figure(&status, "VmHWM:") * 1024,
            processor_us: processor_us(&folder)?,
            written: figure(&written, "write_bytes:"),
        })
    }

    /// Of this process.
    ///
    /// # Errors
    /// Fails when the system does not tell.
    pub fn own() -> io::Result<Self> {
        Self::of(std::process::id())
    }
}

/// Processor time of each thread of a process, so that threads which end between two looks take nothing back.
pub struct Threads(BTreeMap<OsString, f64>);

impl Threads {
    /// Of a process, by the system's number for it.
    ///
    /// # Errors
    /// Fails when there is no such process.
    pub fn of(id: u32) -> io::Result<Self> {
        let folder = Path::new("/proc").join(id.to_string()).join("task");
        let mut threads = BTreeMap::new();
        for thread in std::fs::read_dir(folder)? {
            let thread = thread?;
            threads.insert(thread.file_name(), thread_us(&thread.path()));
        }
        Ok(Self(threads))
    }

    /// Processor time since an earlier look of the threads that live, microseconds.
    pub fn since(&self, before: &Self) -> f64 {
        let spent = |(id, now): (&OsString, &f64)| now - before.0.get(id).copied().unwrap_or(0.0);
        self.0.iter().map(spent).sum()
    }
}

/// Sets a process's peak of resident memory back to what is resident now.
///
/// # Errors
/// Fails when there is no such process, or it is not this user's.
pub fn reset_peak(id: u32) -> io::Result<()> {
    std::fs::write(Path::new("/proc").join(id.to_string()).join("clear_refs"), "5")
}

/// The figure behind a name in a file of the system; 0 where it is missing.
fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// The scheduler's own account, which is finer than the ticks of `stat`.
fn processor_us(folder: &Path) -> io::Result<f64> {
    let mut sum = 0.0;
    for thread in std::fs::read_dir(folder.join("task"))? {
        sum += thread_us(&thread?.path());
    }
    Ok(sum)
}

/// A thread's processor time, microseconds; 0 for one that ends as it is looked at.
fn thread_us(folder: &Path) -> f64 {
    let account = std::fs::read_to_string(folder.join("schedstat")).unwrap_or_default();
    let nanoseconds: Option<f64> = account.split(' ').next().and_then(|text| text.parse().ok());
    nanoseconds.unwrap_or(0.0) / 1000.0
}

/// Looks at the clock every 10 ms on a thread of its own for as long as a point is measured.
pub struct Lateness {
    over: Arc<AtomicBool>,
    thread: JoinHandle<[u64; 3]>,
}

impl Lateness {
    /// Begins.
    pub fn begin() -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let watched = over.clone();
        Self { over, thread: std::thread::spawn(move || watch(&watched)) }
    }

    /// How late it was, microseconds: median, 99th percentile, most.
    pub fn end(self) -> [u64; 3] {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or([LATEST_US; 3])
    }
}

fn watch(over: &AtomicBool) -> [u64; 3] {
    let Ok(mut lateness) = Histogram::<u64>::new_with_max(LATEST_US, 3) else { return [LATEST_US; 3] };
    loop {
        let due = Instant::now() + PROBE_EVERY;
        std::thread::sleep(PROBE_EVERY);
        lateness.saturating_record(due.elapsed().as_micros() as u64);
        // Asked at the end, so that the shortest point has a look, too.
        if over.load(Ordering::Relaxed) {
            break;
        }
    }
    [lateness.value_at_quantile(0.5), lateness.value_at_quantile(0.99), lateness.max()]
}

/// Tasks that ran or waited in the last minute, on average; 0 where the system does not tell.
pub fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// Processors of the machine.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// The commit of the working tree, with `-dirty` where sources differ from it; `unknown` outside of one.
pub fn commit() -> String {
    let git = |arguments: &[&str]| {
        let told = Command::new("git").args(arguments).output().ok().filter(|told| told.status.success())?;
        Some(String::from_utf8_lossy(&told.stdout).trim().to_owned())
    };
    let Some(commit) = git(&["rev-parse", "--short=10", "HEAD"]) else { return "unknown".to_owned() };
    let sources = ["status", "--porcelain", "--", ":/src", ":/fleet/src", ":/tests/common", ":/Cargo.lock"];
    let clean = git(&sources).is_some_and(|changes| changes.is_empty());
    if clean { commit } else { format!("{commit}-dirty") }
}

/// The first digits of a program's SHA-256.
///
/// # Errors
/// Fails when it can't be read.
pub fn program(path: &Path) -> io::Result<String> {
    crate::report::digest(path).map(|digest| digest[..DIGITS].to_owned())
}
