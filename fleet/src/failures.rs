//! Why the bench's program ends before its work.

use std::io;
use std::path::PathBuf;

use crate::coded_error;
use crate::scale::command::NoScale;
use crate::sweep::NoRuns;

/// What ended a call before its work: exit code 2.
#[derive(Debug, thiserror::Error)]
pub enum Bad {
    /// Something that the machine refuses.
    #[error("{0}")]
    Machine(#[from] io::Error),
    /// A file that can't be had.
    #[error("{}: {why}", path.display())]
    File {
        /// Where it should be.
        path: PathBuf,
        /// Why not.
        why: io::Error,
    },
    /// A scenario with faults, a line each.
    #[error("{0}")]
    Scenario(String),
    /// No such mix.
    #[error("expected processes, links, partners or all")]
    Mix,
    /// A section is to be left out that is not there.
    #[error("--without {0}: the scenario has no such section")]
    Section(String),
    /// The run that is to be made smaller is sound.
    #[error("this run breaks no rule: there is nothing to be made smaller")]
    Sound,
    /// The smaller scenario can't be written as text.
    #[error("{0}")]
    Text(String),
    /// The build failed.
    #[error("the sender could not be built: cargo build --release --locked")]
    Unbuilt,
    /// No runs are begun.
    #[error("{0}")]
    Runs(#[from] NoRuns),
    /// No points are measured, or no page is written.
    #[error("{0}")]
    Scale(#[from] NoScale),
}

coded_error! { Bad {
    Machine => "fleet.machine", "see that the folder for runs can be written and the disk has room";
    File => "fleet.file", "name a file that is there and can be read";
    Scenario => "fleet.scenario", "mend each key that is named, as docs/fleet.md has it";
    Mix => "fleet.mix", "name one of the four";
    Section => "fleet.section", "leave --without out, or name a section that the scenario has";
    Sound => "fleet.sound", "give the seed and the program of a run that broke a rule";
    Text => "fleet.text", "tell the developers";
    Unbuilt => "fleet.unbuilt", "run the build as the line says, and mend what it tells";
    ..Runs;
    ..Scale;
} }

#[cfg(test)]
mod tests;
