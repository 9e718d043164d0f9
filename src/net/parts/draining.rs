//! The drain marks that operators have set on endpoints, and the file in which they survive the process.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

use myrtleyard::drain::{Mark, Marks, MarksUnreadable};
use myrtleyard::error_code::CodedError;
use myrtleyard::interface::{Listing, Micros};
use serde_json::{Value, json};

use super::super::state_file;
use super::Part;

/// The draining part.
pub struct DrainingPart {
    marks: Marks,
    path: PathBuf,
}

impl DrainingPart {
    /// Creates the part with the marks that an earlier process left. Marks that cannot be read are logged and
    /// dropped; on-call staff set them again.
    pub fn open(folder: &Path, max_marks: usize) -> Self {
        let path = folder.join("drained");
        let read = state_file::read(&path).map(|text| text.map(|text| Marks::read(max_marks, &text)));
        let marks = match read {
            Ok(None) => Marks::new(max_marks),
            Ok(Some(Ok(marks))) => marks,
            Ok(Some(Err(e))) => {
                let code = e.code();
                tracing::error!(code, "cannot read the drain marks; no endpoint is marked: {e}");
                Marks::new(max_marks)
            }
            Err(e) => {
                let code = MarksUnreadable::CODES[0];
                tracing::error!(code, "cannot read the drain marks; no endpoint is marked: {e}");
                Marks::new(max_marks)
            }
        };
        Self { marks, path }
    }

    /// Maximum size of the files for this number of marks, bytes.
    pub fn max_bytes(max_marks: usize) -> u64 {
        Marks::max_bytes(max_marks)
    }

    /// The marks in force.
    pub fn marks(&self) -> &Marks {
        &self.marks
    }

    /// Replaces the marks. They are written to disk first, so that a confirmed change survives a restart.
    ///
    /// # Errors
    /// Fails when they cannot be written; then the old marks stay in force.
    pub fn store(&mut self, marks: Marks) -> io::Result<()> {
        state_file::write(&self.path, &marks.to_json())?;
        self.marks = marks;
        Ok(())
    }

    /// Removes the marks on endpoints that are no longer in discovery's list. If the change cannot be
    /// written, a later process reads the marks again and removes them again.
    pub fn remove_unlisted(&mut self, listed: impl Fn(&str) -> bool) {
        let remaining = self.marks.retain_listed(listed);
        if remaining != self.marks
            && let Err(e) = self.store(remaining.clone())
        {
            tracing::error!("cannot write the drain marks: {e}");
            self.marks = remaining;
        }
    }

    /// The state of an endpoint for the module, from its state in discovery and its mark.
    pub fn effective(&self, name: &str, listing: Listing) -> Listing {
        self.marks.apply_to(name, listing)
    }

    /// Names of the marked endpoints.
    pub fn names(&self) -> BTreeSet<String> {
        self.marks.iter().map(|(name, _)| name.to_owned()).collect()
    }
}

impl Part for DrainingPart {
    fn report(&self, now: Micros) -> Value {
        let mark = |(name, mark): (&str, Mark)| json!({"name": name, "age_ms": now.saturating_sub(mark.since) / 1000, "forced": mark.forced});
        self.marks.iter().map(mark).collect()
    }
}
