//! The marks that operators have set on endpoints, and the file that they outlast the process in.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

use myrtleyard::drain::{Mark, Marks, Unread};
use myrtleyard::interface::{Listing, Micros};
use myrtleyard::told::Told;
use serde_json::{Value, json};

use super::super::lasting;
use super::Part;

/// The part.
pub struct Draining {
    marks: Marks,
    at: PathBuf,
}

impl Draining {
    /// With the marks that an earlier process left. What can't be read is told and left out: on-call staff set it
    /// again.
    pub fn open(folder: &Path, most: usize) -> Self {
        let at = folder.join("drained");
        let read = lasting::read(&at).map(|text| text.map(|text| Marks::read(most, &text)));
        let marks = match read {
            Ok(None) => Marks::new(most),
            Ok(Some(Ok(marks))) => marks,
            Ok(Some(Err(e))) => {
                let code = e.code();
                tracing::error!(code, "the marks on drained endpoints can't be read, none is marked: {e}");
                Marks::new(most)
            }
            Err(e) => {
                let code = Unread::CODES[0];
                tracing::error!(code, "the marks on drained endpoints can't be read, none is marked: {e}");
                Marks::new(most)
            }
        };
        Self { marks, at }
    }

    /// Bytes that so many marks take at most.
    pub fn room(most: usize) -> u64 {
        Marks::room(most)
    }

    /// The marks in force.
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// These are the marks from now on. They are written down first: what an operator was told holds.
    ///
    /// # Errors
    /// Fails when they can't be; those before stay in force then.
    pub fn keep(&mut self, marks: Marks) -> io::Result<()> {
        lasting::write(&self.at, &marks.written())?;
        self.marks = marks;
        Ok(())
    }

    /// Marks on endpoints that have gone from discovery's list end. If that can't be written down they are found,
    /// and end, again.
    pub fn forget(&mut self, listed: impl Fn(&str) -> bool) {
        let kept = self.marks.kept(listed);
        if kept != self.marks
            && let Err(e) = self.keep(kept.clone())
        {
            tracing::error!("the marks on drained endpoints can't be written down: {e}");
            self.marks = kept;
        }
    }

    /// What the module is told of an endpoint that discovery lists so.
    pub fn over(&self, name: &str, listing: Listing) -> Listing {
        self.marks.over(name, listing)
    }

    /// Names of the endpoints that are marked.
    pub fn names(&self) -> BTreeSet<String> {
        self.marks.iter().map(|(name, _)| name.to_owned()).collect()
    }
}

impl Part for Draining {
    fn report(&self, now: Micros) -> Value {
        let mark = |(name, mark): (&str, Mark)| json!({"name": name, "age_ms": now.saturating_sub(mark.since) / 1000, "forced": mark.forced});
        self.marks.iter().map(mark).collect()
    }
}
