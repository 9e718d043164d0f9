//! Memory of the list's core at its design size, as reported by the system. This file has one test only,
//! since the memory of others in the same process would count.
#![cfg(target_os = "linux")]

#[path = "common/list_text.rs"]
mod list_text;

use std::fs;

use list_text::{DESIGN, Text};
use myrtleyard::endpoints::Bounds;
use myrtleyard::endpoints::listing::Listing;
use myrtleyard::endpoints::reader::{self, List};
use myrtleyard::endpoints::table::{REBUILD_SHARE, Table};

/// Maximum memory that one table adds to the process, bytes.
const ONE: u64 = 23_000_000;

/// Maximum memory that the process adds at any time, bytes: a table that needs a rebuild, and another one
/// under construction from a stream.
const MAX_BYTES: u64 = 48_000_000;

/// Number of snapshots received in a row, each while the previous one is held.
const ROUNDS: usize = 3;

/// A figure of this process's memory from the system, in bytes.
fn memory(figure: &str) -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(figure)?.strip_prefix(':')).unwrap();
    let number = line.trim().strip_suffix(" kB").unwrap();
    number.parse::<u64>().unwrap() * 1024
}

fn taken() -> Table {
    match reader::read(Text::new(DESIGN), &Bounds::default()) {
        Ok(List::Table { table, .. }) => *table,
        other => panic!("{other:?}"),
    }
}

fn wear(table: &mut Table) {
    for number in 0..=DESIGN.endpoints / REBUILD_SHARE as u32 {
        let entry = Listing { weight: 0.25, ..DESIGN.entry(number) };
        table.change(entry, usize::MAX).unwrap();
    }
    assert!(table.needs_rebuild());
}

/// Memory that a list took must return to the system with it, or a sender would grow with each snapshot.
#[test]
fn two_lists_of_design_size_fit_in_memory_limit() {
    let before = memory("VmRSS");
    let mut table = taken();
    let one = memory("VmRSS") - before;
    assert!(one <= ONE, "one table takes {one} bytes");
    for round in 0..ROUNDS {
        wear(&mut table);
        table = taken();
        assert_eq!((table.len(), table.destinations()), (558_000, 310_000));
        let (one, most) = (memory("VmRSS") - before, memory("VmHWM") - before);
        assert!(one <= ONE + ONE / 20, "{one} bytes are held after round {round}");
        assert!(most <= MAX_BYTES, "a peak of {most} bytes in round {round}");
    }
}
