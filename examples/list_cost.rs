//! Measures the cost of a list of the design size: processor time and memory to read it as a stream, also
//! while another one is held, and the time of a change and of a look-up. Memory and processor time are
//! Linux's own figures.
//!
//! `cargo run --release --example list_cost [ENDPOINTS DESTINATIONS [ROUNDS]]`

use std::fs;
use std::io;
use std::process::ExitCode;
use std::time::Instant;

use myrtleyard::endpoints::Bounds;
use myrtleyard::endpoints::reader::{self, List};
use myrtleyard::endpoints::table::Table;

#[path = "../tests/common/list_text.rs"]
mod list_text;

use list_text::{DESIGN, Size, Text};

const USAGE: &str =
    "usage: list_cost [ENDPOINTS DESTINATIONS [ROUNDS]], each at least 1, ENDPOINTS at least 2,049";

/// Numbers of names from here on are in no list.
const NEW: u32 = 1 << 30;

/// How often the list is read again at the end, by default.
const ROUNDS: u32 = 20;

/// Parses the arguments: a list's size, and how often it is read again.
fn asked(arguments: &[String]) -> Option<(Size, u32)> {
    let numbers: Result<Vec<u32>, _> = arguments.iter().map(|argument| argument.parse()).collect();
    let (size, rounds) = match numbers.ok()?[..] {
        [] => (DESIGN, ROUNDS),
        [endpoints, destinations] => (Size { endpoints, destinations }, ROUNDS),
        [endpoints, destinations, rounds] => (Size { endpoints, destinations }, rounds),
        _ => return None,
    };
    let long = size.endpoints as usize > reader::ENTRIES && size.endpoints < NEW;
    (long && size.destinations > 0 && rounds > 0).then_some((size, rounds))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((size, rounds)) = asked(&arguments) else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    match measure(size, rounds) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn measure(size: Size, rounds: u32) -> io::Result<()> {
    println!("{} endpoints of at most {} destinations", size.endpoints, size.destinations);
    let begun = processor_ns()?;
    let bytes = io::copy(&mut Text::new(size), &mut io::sink())?;
    let writing = processor_ns()? - begun;
    println!("text: {bytes} bytes, {} ms of processor time to write it", writing / 1_000_000);
    println!("resident before: {}", memory("VmRSS")?);

    let begun = processor_ns()?;
    let mut table = read(size)?;
    let reading = processor_ns()? - begun;
    println!(
        "read: {} ms of processor time, {} ms without writing the text",
        reading / 1_000_000,
        reading.saturating_sub(writing) / 1_000_000
    );
    println!("resident with one table: {}, peak so far {}", memory("VmRSS")?, memory("VmHWM")?);
    let held = table.heap_bytes();
    println!("the table: {table:?}, {held} bytes held, {} an endpoint", held / table.len().max(1));

    change(&mut table, size)?;
    look_up(&table, size);

    for _ in 0..rounds {
        // The previous table is held until the next one is complete.
        table = read(size)?;
    }
    println!(
        "after {} more, each read with one held: resident {}, peak {}",
        rounds,
        memory("VmRSS")?,
        memory("VmHWM")?
    );
    println!("{} endpoints of {} destinations at the end", table.len(), table.destinations());
    Ok(())
}

fn read(size: Size) -> io::Result<Table> {
    let bounds = Bounds { endpoints: size.endpoints as usize, ..Bounds::default() };
    match reader::read(Text::new(size), &bounds) {
        Ok(List::Table { table, .. }) => Ok(*table),
        Ok(List::Entries(_)) => Err(io::Error::other("the list was not read as a table")),
        Err(why) => Err(io::Error::other(why)),
    }
}

/// Changes endpoints until the table needs a rebuild: adds some, changes some, and removes some.
fn change(table: &mut Table, size: Size) -> io::Result<()> {
    let (mut changes, mut longest, mut all) = (0u32, 0, 0);
    while !table.needs_rebuild() {
        let mut entry = size.entry(changes.wrapping_mul(31) % size.endpoints);
        match changes % 3 {
            0 => entry.name = size.name(NEW + changes),
            1 => entry.weight = 0.25,
            _ => entry.status = "left".to_owned(),
        }
        let begun = Instant::now();
        table.change(entry, usize::MAX).map_err(io::Error::other)?;
        let took = begun.elapsed().as_nanos();
        longest = longest.max(took);
        all += took;
        changes += 1;
    }
    let each = all as f64 / f64::from(changes.max(1)) / 1000.0;
    println!(
        "{changes} changes until a rebuild is due: {each:.2} us each, {} us the longest",
        longest / 1000
    );
    println!("{} bytes held then, resident {}", table.heap_bytes(), memory("VmRSS")?);
    Ok(())
}

fn look_up(table: &Table, size: Size) {
    let destinations = 100_000u32;
    let (mut found, begun) = (0, Instant::now());
    for number in 0..destinations {
        found += table.of(number.wrapping_mul(104_729) % size.destinations).len();
    }
    let each = begun.elapsed().as_nanos() as f64 / f64::from(destinations) / 1000.0;
    println!("{destinations} destinations looked up: {each:.2} us each, {found} endpoints found");
}

/// Processor time of this thread, in nanoseconds.
fn processor_ns() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_whitespace().next().and_then(|number| number.parse().ok());
    first.ok_or_else(|| io::Error::other("no processor time in /proc/thread-self/schedstat"))
}

/// A figure of this process's memory from the system, with its unit.
fn memory(figure: &str) -> io::Result<String> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix(figure)?.strip_prefix(':'));
    line.map(|line| line.trim().to_owned()).ok_or_else(|| io::Error::other(format!("no {figure}")))
}
