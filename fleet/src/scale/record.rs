//! A measured point, and the file of an axis: a line of JSON for each.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use super::Axis;
use super::figure::Figure;

/// How a point was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Real processes, sockets and time.
    Real,
    /// The shipping cores in virtual time.
    Virtual,
}

impl Mode {
    /// As it stands in a page.
    pub fn name(self) -> &'static str {
        match self {
            Self::Real => "real",
            Self::Virtual => "virtual",
        }
    }
}

/// What one run of one point gave.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Measured {
    /// Figures that were measured; what is missing was not.
    pub figures: BTreeMap<Figure, f64>,
    /// What the program said, or did, when it did not take the size.
    pub refused: Option<String>,
    /// How late the bench's own timers were, microseconds: median, 99th percentile, most.
    pub lateness_us: [u64; 3],
}

/// A line of a file of records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The axis.
    pub axis: Axis,
    /// The size, in the axis's unit.
    pub size: u64,
    /// The seed.
    pub seed: u64,
    /// How it was run.
    pub mode: Mode,
    /// The commit of the program and the bench, with `-dirty` where files differed from it.
    pub commit: String,
    /// The first 12 digits of the SHA-256 of the sender's program, in runs that need one.
    pub program: Option<String>,
    /// Processors of the machine.
    pub cores: usize,
    /// Others' load: the mean number of tasks that ran or waited in the last minute, as the run began.
    pub load: f64,
    /// Why the record counts for nothing, if it does not.
    pub starved: Option<String>,
    /// What came of it.
    pub measured: Measured,
}

/// A file of records can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Unread {
    /// The file can't be had.
    #[error("{}: {why}", path.display())]
    File {
        /// Which.
        path: PathBuf,
        /// What the machine says.
        why: io::Error,
    },
    /// A line is no record.
    #[error("{}: line {line}: {why}", path.display())]
    Line {
        /// Which file.
        path: PathBuf,
        /// Which line, from 1.
        line: usize,
        /// What is wrong with it.
        why: serde_json::Error,
    },
}

/// The file of an axis in a folder.
pub fn file(folder: &Path, axis: Axis) -> PathBuf {
    folder.join(format!("{}.jsonl", axis.name()))
}

/// All records of an axis in the order in which they were written; none where there is no file.
///
/// # Errors
/// Tells the file, and the line that is no record.
pub fn read(folder: &Path, axis: Axis) -> Result<Vec<Record>, Unread> {
    let path = file(folder, axis);
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(why) if why.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(why) => return Err(Unread::File { path, why }),
    };
    let record = |(at, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|why| Unread::Line { path: path.clone(), line: at + 1, why })
    };
    text.lines().enumerate().map(record).collect()
}

/// Adds a record to its axis's file; what stands there stays.
///
/// # Errors
/// Fails when the file can't be written.
pub fn append(folder: &Path, record: &Record) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let mut line = serde_json::to_vec(record)?;
    line.push(b'\n');
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(file(folder, record.axis))?;
    file.write_all(&line)
}
