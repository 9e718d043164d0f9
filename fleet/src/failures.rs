//! Errors that end the bench's program before its work is done.

use std::io;
use std::path::PathBuf;

use crate::coded_error;
use crate::scale::command::NoScale;
use crate::sweep::NoRuns;

/// An error that ends the program with exit code 2.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// An error of the operating system.
    #[error("{0}")]
    Machine(#[from] io::Error),
    /// A file that can't be opened.
    #[error("{}: {why}", path.display())]
    File {
        /// The file's path.
        path: PathBuf,
        /// The system's error.
        why: io::Error,
    },
    /// An invalid scenario; one line per invalid key.
    #[error("{0}")]
    Scenario(String),
    /// Unknown mix.
    #[error("expected processes, links, partners or all")]
    Mix,
    /// `--without` names a section that the scenario doesn't have.
    #[error("--without {0}: the scenario has no such section")]
    Section(String),
    /// The run that is to be shrunk breaks no rule.
    #[error("this run breaks no rule: there is nothing to shrink")]
    Sound,
    /// The shrunk scenario can't be serialized.
    #[error("{0}")]
    Text(String),
    /// The build failed.
    #[error("the sender could not be built: cargo build --release --locked")]
    Unbuilt,
    /// The runs could not be started.
    #[error("{0}")]
    Runs(#[from] NoRuns),
    /// The subcommand `scale` failed.
    #[error("{0}")]
    Scale(#[from] NoScale),
}

coded_error! { BenchError {
    Machine => "fleet.machine", "check that the folder for runs is writable and the disk has free space";
    File => "fleet.file", "name an existing, readable file";
    Scenario => "fleet.scenario", "correct each named key as described in docs/fleet.md";
    Mix => "fleet.mix", "use one of the four names";
    Section => "fleet.section", "omit --without, or name a section of the scenario";
    Sound => "fleet.sound", "give the seed and the program of a run that broke a rule";
    Text => "fleet.text", "report it to the developers";
    Unbuilt => "fleet.unbuilt", "run the named build command, and fix the errors that it reports";
    ..Runs;
    ..Scale;
} }

#[cfg(test)]
mod tests;
