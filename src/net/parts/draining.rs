//! The drain marks that operators have set on endpoints, and the file in which they survive the process.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

use myrtleyard::drain::{Mark, Marks, Unread};
use myrtleyard::interface::{Listing, Micros};
use myrtleyard::told::Told;
use serde_json::{Value, json};

use super::super::lasting;
use super::Part;

/// The draining part.
pub struct Draining {
    marks: Marks,
    at: PathBuf,
}

impl Draining {
    /// Creates the part with the marks that an earlier process left. Marks that cannot be read are logged and
    /// dropped; on-call staff set them again.
    pub fn open(folder: &Path, most: usize) -> Self {
        let at = folder.join("drained");
        let read = lasting::read(&at).map(|text| text.map(|text| Marks::read(most, &text)));
        let marks = match read {
            Ok(None) => Marks::new(most),
            Ok(Some(Ok(marks))) => marks,
            Ok(Some(Err(e))) => {
                let code = e.code();
                tracing::error!(code, "cannot read the drain marks; no endpoint is marked: {e}");
                Marks::new(most)
            }
            Err(e) => {
                let code = Unread::CODES[0];
                tracing::error!(code, "cannot read the drain marks; no endpoint is marked: {e}");
                Marks::new(most)
            }
        };
        Self { marks, at }
    }

    /// Maximum size of the files for this number of marks, bytes.
    pub fn room(most: usize) -> u64 {
        Marks::room(most)
    }

    /// The marks in force.
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// Replaces the marks. They are written to disk first, so that a confirmed change survives a restart.
    ///
    /// # Errors
    /// Fails when they cannot be written; then the old marks stay in force.
    pub fn keep(&mut self, marks: Marks) -> io::Result<()> {
        lasting::write(&self.at, &marks.written())?;
        self.marks = marks;
        Ok(())
    }

    /// Removes the marks on endpoints that are no longer in discovery's list. If the change cannot be
    /// written, a later process reads the marks again and removes them again.
    pub fn forget(&mut self, listed: impl Fn(&str) -> bool) {
        let kept = self.marks.kept(listed);
        if kept != self.marks
            && let Err(e) = self.keep(kept.clone())
        {
            tracing::error!("cannot write the drain marks: {e}");
            self.marks = kept;
        }
    }

    /// The state of an endpoint for the module, from its state in discovery and its mark.
    pub fn over(&self, name: &str, listing: Listing) -> Listing {
        self.marks.over(name, listing)
    }

    /// Names of the marked endpoints.
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
