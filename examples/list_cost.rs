//! What a list of the design size costs: processor time and memory to read it as a stream, also while another one is
//! held, and the time of a change and of a look-up. Memory and processor time are Linux's own figures.
//! `cargo run --release --example list_cost [ENDPOINTS DESTINATIONS [ROUNDS]]`

use std::fs;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use std::time::Instant;

use myrtleyard::endpoints::Bounds;
use myrtleyard::endpoints::listing::Listing;
use myrtleyard::endpoints::reader::{self, List};
use myrtleyard::endpoints::table::Table;

const USAGE: &str =
    "usage: list_cost [ENDPOINTS DESTINATIONS [ROUNDS]], each from 1 on, ENDPOINTS from 2,049";

/// Bytes handed out at once, as by a connection.
const PIECE: usize = 16 << 10;

/// Names from here on are in no list.
const NEW: u32 = 1 << 30;

/// A list's size, and how often it is read anew at the end.
#[derive(Clone, Copy)]
struct Size {
    endpoints: u32,
    destinations: u32,
    rounds: u32,
}

impl Size {
    fn of(arguments: &[String]) -> Option<Self> {
        let numbers: Result<Vec<u32>, _> = arguments.iter().map(|argument| argument.parse()).collect();
        let (endpoints, destinations, rounds) = match numbers.ok()?[..] {
            [] => (558_000, 310_000, 20),
            [endpoints, destinations] => (endpoints, destinations, 20),
            [endpoints, destinations, rounds] => (endpoints, destinations, rounds),
            _ => return None,
        };
        let fit = endpoints as usize > reader::ENTRIES && endpoints < NEW && destinations > 0 && rounds > 0;
        fit.then_some(Self { endpoints, destinations, rounds })
    }

    fn name(self, number: u32) -> String {
        // An odd factor: each number has a name of its own.
        format!("s-{:08x}", number.wrapping_mul(2_654_435_761))
    }

    fn entry(self, number: u32) -> Listing {
        let [_, high, middle, low] = number.to_be_bytes();
        Listing {
            name: self.name(number),
            address: format!("10.{high}.{middle}.{low}:{}", 8000 + number % 1000),
            zone: format!("zone-{}", number % 12),
            kind: if number.is_multiple_of(9) { "wide" } else { "plain" }.to_owned(),
            group: number.wrapping_mul(7919) % self.destinations,
            status: if number.is_multiple_of(50) { "leaving" } else { "active" }.to_owned(),
            weight: if number.is_multiple_of(4) { 0.5 } else { 1.0 },
            since_ms: if number.is_multiple_of(20) { 1_796_000_000_000 + u64::from(number) } else { 0 },
        }
    }
}

/// The JSON text of a list, written as it is read.
struct Text {
    size: Size,
    next: u32,
    piece: Vec<u8>,
    taken: usize,
}

impl Text {
    fn new(size: Size) -> Self {
        let piece = br#"{"index":9,"snapshot":true,"endpoints":["#.to_vec();
        Self { size, next: 0, piece, taken: 0 }
    }

    fn write_piece(&mut self) -> io::Result<()> {
        self.piece.clear();
        self.taken = 0;
        while self.next < self.size.endpoints && self.piece.len() < PIECE {
            self.write_entry()?;
            self.next += 1;
            let behind: &[u8] = if self.next == self.size.endpoints { b"]}" } else { b"," };
            self.piece.extend_from_slice(behind);
        }
        Ok(())
    }

    fn write_entry(&mut self) -> io::Result<()> {
        let Listing { name, address, zone, kind, group, status, weight, since_ms } =
            self.size.entry(self.next);
        write!(
            self.piece,
            r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":{group},"status":"{status}","weight":{weight:?},"since_ms":{since_ms}}}"#
        )
    }
}

impl Read for Text {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.taken == self.piece.len() {
            self.write_piece()?;
        }
        let read = (&self.piece[self.taken..]).read(buffer)?;
        self.taken += read;
        Ok(read)
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some(size) = Size::of(&arguments) else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    match measure(size) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn measure(size: Size) -> io::Result<()> {
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

    for _ in 0..size.rounds {
        // The former table is held until the next one is there.
        table = read(size)?;
    }
    println!(
        "after {} more, each taken with one held: resident {}, peak {}",
        size.rounds,
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
        Ok(List::Entries(_)) => Err(io::Error::other("the list came entry by entry")),
        Err(why) => Err(io::Error::other(why)),
    }
}

/// Changes endpoints until the table is worn: new ones, others, and ones that leave.
fn change(table: &mut Table, size: Size) -> io::Result<()> {
    let (mut changes, mut longest, mut all) = (0u32, 0, 0);
    while !table.worn() {
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
    println!("{changes} changes until worn: {each:.2} us each, {} us the longest", longest / 1000);
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

/// Processor time of this thread.
fn processor_ns() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_whitespace().next().and_then(|number| number.parse().ok());
    first.ok_or_else(|| io::Error::other("no processor time in /proc/thread-self/schedstat"))
}

/// A figure of this process's memory, with its unit.
fn memory(figure: &str) -> io::Result<String> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix(figure)?.strip_prefix(':'));
    line.map(|line| line.trim().to_owned()).ok_or_else(|| io::Error::other(format!("no {figure}")))
}
