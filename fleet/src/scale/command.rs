//! The subcommand `scale`: measures the points of axes, each in a process of its own, and writes the page.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use super::record::{Measured, Mode, Record, Unread};
use super::{Axis, Point, Unmeasured, machine, page, record};
use crate::coded_error;
use crate::sweep::{self, NoRuns};

/// Where records are kept.
const FOLDER: &str = "docs/capacity";
/// Where those of a smoke run are kept.
const SMOKE_FOLDER: &str = "target/scale";
/// The page's name, beside the folder of records.
const PAGE: &str = "CAPACITY.md";
/// A point that takes longer is given up.
const POINT_WITHIN: Duration = Duration::from_secs(150);
/// The same on the axis `traffic`, which loads its largest point for two minutes.
const TRAFFIC_WITHIN: Duration = Duration::from_secs(240);
/// The same, in a smoke run.
const SMOKE_WITHIN: Duration = Duration::from_secs(40);
/// Between two looks at a point's process.
const LOOK: Duration = Duration::from_millis(20);
/// Points in virtual time that are measured at a time.
const JOBS: usize = 3;
/// A real run whose timers were later at the 99th percentile counts for nothing, microseconds.
const STARVED_US: u64 = 50_000;
/// Exit code: some points could not be measured, or count for nothing.
const DOUBTFUL: u8 = 3;

/// What is to be measured.
#[derive(clap::Args)]
pub struct Call {
    /// An axis, all if none is named; may be said more than once.
    #[arg(long)]
    axis: Vec<String>,
    /// Seeds of each point.
    #[arg(long, default_value = "1..3")]
    seeds: String,
    /// Folder of the records; points that stand there with the same commit are not measured again.
    #[arg(long)]
    out: Option<PathBuf>,
    /// The sender's program; the one built beside this if none is named.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// One short point an axis: shows that all works, and measures nothing.
    #[arg(long)]
    smoke: bool,
    /// Writes the page and its plots from the records, and measures nothing.
    #[arg(long)]
    page: bool,
    /// Measures one point in this process and prints its figures.
    #[arg(long, hide = true)]
    point: Option<u64>,
}

/// Why nothing is measured, or no page is written.
#[derive(Debug, thiserror::Error)]
pub enum NoScale {
    /// No such axis.
    #[error("--axis {0}: expected one of {axes}", axes = names().join(", "))]
    Axis(String),
    /// A point is asked for, but not of one axis and one seed.
    #[error("--point is of one --axis and one of --seeds")]
    Point,
    /// Files of records that can't be had.
    #[error("{0}")]
    Records(#[from] Unread),
    /// One point could not be measured.
    #[error("{0}")]
    Unmeasured(#[from] Unmeasured),
    /// A file or a process that can't be had.
    #[error("{0}")]
    Machine(#[from] io::Error),
    /// Seeds that can't be read, or a program that is not there.
    #[error("{0}")]
    Runs(#[from] NoRuns),
}

coded_error! { NoScale {
    Axis => "fleet.scale-axis", "name an axis as the line says, or leave --axis out for all";
    Point => "fleet.scale-point", "leave --point out: it is how the bench calls itself";
    Records => "fleet.scale-records", "mend the line that is named, or take the file back from the repository";
    Unmeasured => "fleet.scale-unmeasured", "run it again on a machine with less to do; its records so far stay";
    Machine => "fleet.scale-machine", "see that the folder of records can be written and the disk has room";
    ..Runs;
} }

fn names() -> Vec<&'static str> {
    Axis::ALL.into_iter().map(Axis::name).collect()
}

/// Does what is asked for; tells the exit code.
///
/// # Errors
/// Tells why nothing could be done.
pub fn run(call: &Call) -> Result<u8, NoScale> {
    let axes = axes(&call.axis)?;
    let seeds = if call.smoke && call.point.is_none() { vec![1] } else { sweep::seeds(&call.seeds)? };
    let usual = if call.smoke { SMOKE_FOLDER } else { FOLDER };
    let folder = call.out.clone().unwrap_or_else(|| usual.into());
    if call.page {
        return write_page(&folder);
    }
    let binary = match &call.binary {
        Some(binary) => binary.canonicalize()?,
        None => sweep::own_binary()?.canonicalize()?,
    };
    if let Some(size) = call.point {
        return one(call, &axes, &seeds, size, binary);
    }
    let runner = Runner { folder, commit: machine::commit(), binary, smoke: call.smoke };
    let mut code = 0;
    for axis in axes {
        code = code.max(runner.axis(axis, &seeds)?);
    }
    Ok(code)
}

fn axes(named: &[String]) -> Result<Vec<Axis>, NoScale> {
    if named.is_empty() {
        return Ok(Axis::ALL.to_vec());
    }
    let axis = |name: &String| Axis::named(name).ok_or_else(|| NoScale::Axis(name.clone()));
    named.iter().map(axis).collect()
}

fn write_page(folder: &Path) -> Result<u8, NoScale> {
    let text = page::text(folder)?;
    for (name, plot) in page::plots(folder)? {
        std::fs::write(folder.join(name), plot)?;
    }
    std::fs::write(folder.parent().unwrap_or(Path::new(".")).join(PAGE), text)?;
    Ok(0)
}

/// Measures one point in this process.
fn one(call: &Call, axes: &[Axis], seeds: &[u64], size: u64, binary: PathBuf) -> Result<u8, NoScale> {
    let ([axis], [seed]) = (axes, seeds) else { return Err(NoScale::Point) };
    crate::cost::raise_descriptors();
    let point = Point { axis: *axis, size, seed: *seed, binary, smoke: call.smoke };
    let measured = point.measure()?;
    println!("{}", serde_json::to_string(&measured).map_err(io::Error::from)?);
    Ok(0)
}

/// What all points of a call share.
struct Runner {
    folder: PathBuf,
    commit: String,
    binary: PathBuf,
    smoke: bool,
}

impl Runner {
    /// Measures what is missing of an axis; tells the exit code.
    fn axis(&self, axis: Axis, seeds: &[u64]) -> Result<u8, NoScale> {
        let there: BTreeSet<(u64, u64)> = record::read(&self.folder, axis)?
            .into_iter()
            .filter(|record| record.commit == self.commit && record.starved.is_none() && !self.smoke)
            .map(|record| (record.size, record.seed))
            .collect();
        let smoke = [axis.smoke()];
        let sizes = if self.smoke { &smoke } else { axis.sizes() };
        let all = sizes.iter().flat_map(|size| seeds.iter().map(|seed| (*size, *seed)));
        let wanted: Vec<(u64, u64)> = all.filter(|point| !there.contains(point)).collect();
        let jobs = if axis.mode() == Mode::Virtual { JOBS } else { 1 };
        let (next, code) = (AtomicUsize::new(0), Mutex::new(Ok(0)));
        std::thread::scope(|scope| {
            for _ in 0..jobs {
                scope.spawn(|| {
                    while let Some((size, seed)) = wanted.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let measured = self.point(axis, *size, *seed);
                        let Ok(mut code) = code.lock() else { return };
                        match (measured, &mut *code) {
                            (Ok(one), Ok(all)) => *all = one.max(*all),
                            (Err(why), code) => *code = Err(why),
                            (Ok(_), Err(_)) => return,
                        }
                    }
                });
            }
        });
        code.into_inner().unwrap_or(Ok(DOUBTFUL))
    }

    /// Measures a point in a process of its own and keeps its record.
    fn point(&self, axis: Axis, size: u64, seed: u64) -> Result<u8, NoScale> {
        let (begun, load) = (Instant::now(), machine::load());
        let within = match axis {
            _ if self.smoke => SMOKE_WITHIN,
            Axis::Traffic => TRAFFIC_WITHIN,
            _ => POINT_WITHIN,
        };
        let process = self.begin(axis, size, seed)?;
        let (measured, without) = match finished(process, within)? {
            Ended::Measured(measured) => (measured, None),
            Ended::GivenUp => (Measured::default(), Some(format!("given up after {} s", within.as_secs()))),
            Ended::Failed => {
                (Measured::default(), Some("its process failed, and told why itself".to_owned()))
            }
        };
        let [median, late, most] = measured.lateness_us;
        let starved = axis.mode() == Mode::Real && late > STARVED_US;
        let late_by = || format!("timers were {late} us late at the 99th percentile, over {STARVED_US}");
        let starved = without.or_else(|| starved.then(late_by));
        let program = match axis.mode() {
            Mode::Real => Some(machine::program(&self.binary)?),
            Mode::Virtual => None,
        };
        let record = Record {
            axis,
            size,
            seed,
            mode: axis.mode(),
            commit: self.commit.clone(),
            program,
            cores: machine::cores(),
            load,
            starved,
            measured,
        };
        record::append(&self.folder, &record)?;
        let doubt = record.starved.as_ref().map_or(String::new(), |why| format!(", STARVED: {why}"));
        let refused =
            record.measured.refused.as_ref().map_or(String::new(), |why| format!(", refused: {why}"));
        eprintln!(
            "{} {size} seed {seed}: {} figures in {:.1} s, timers late by {median} us (median), {late} us (99th \
             percentile), {most} us (most){refused}{doubt}",
            axis.name(),
            record.measured.figures.len(),
            begun.elapsed().as_secs_f64()
        );
        Ok(if record.starved.is_some() { DOUBTFUL } else { 0 })
    }

    fn begin(&self, axis: Axis, size: u64, seed: u64) -> io::Result<Child> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["scale", "--axis", axis.name(), "--seeds", &seed.to_string()]);
        command.args(["--point", &size.to_string(), "--binary"]).arg(&self.binary);
        if self.smoke {
            command.arg("--smoke");
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()
    }
}

/// How a point's process ended.
enum Ended {
    /// It printed this.
    Measured(Measured),
    /// It took too long, and was ended.
    GivenUp,
    /// It failed, and told why itself.
    Failed,
}

/// Waits for a point's process, for so long at most.
fn finished(mut process: Child, within: Duration) -> io::Result<Ended> {
    let end = Instant::now() + within;
    while process.try_wait()?.is_none() {
        if Instant::now() > end {
            process.kill()?;
            process.wait()?;
            return Ok(Ended::GivenUp);
        }
        std::thread::sleep(LOOK);
    }
    let output = process.wait_with_output()?;
    let printed = serde_json::from_slice(&output.stdout).ok().filter(|_| output.status.success());
    Ok(printed.map_or(Ended::Failed, Ended::Measured))
}
