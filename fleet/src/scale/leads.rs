//! What operators and developers supposed before anything was run, held against the records.

use super::Axis;
use super::design::{self, DESTINATIONS, SENDERS};
use super::down::PLAYED_S;
use super::figure::Figure;
use super::page::shown;
use super::roles::Shelf;
use crate::world::endpoints::{SLOTS, TRY_LIMIT};

/// The size at which the view's bytes were supposed.
const SUPPOSED_MEMBERS: u64 = 300;

/// Each lead, and what became of it.
pub fn all(shelf: &Shelf) -> Vec<(&'static str, String)> {
    vec![
        ("One call to a destination every 23 minutes, so that no breaker opens", breakers(shelf)),
        ("No connection is used twice", connections(shelf)),
        (
            "48,000 events a second go to destinations that are down, with up to six attempts each",
            wasted(shelf),
        ),
        ("The view sends 2.67 kB a second at 300 members and takes 1,024", view(shelf)),
        ("49 billion events are 10 million at a sender, with `disk_mb` 3", backlog(shelf)),
        (
            "A change every 18 s, in force at 4,900 senders within 11 s, is a file and a SIGHUP each",
            changes(shelf),
        ),
        ("Takeover and status records cross in datagrams of 256 bytes", records(shelf)),
    ]
}

fn breakers(shelf: &Shelf) -> String {
    let minutes = DESTINATIONS as f64 * SENDERS as f64 / design::EVENTS_PER_S / 60.0;
    let open = shelf.value(Axis::Spread, Figure::Open, DESTINATIONS);
    let share = shelf.value(Axis::Spread, Figure::OpenShare, DESTINATIONS);
    let verdict = match open.known() {
        Some(open) if open > 0.0 => {
            "refuted in part: the attempts of one message come to five in a row by themselves"
        }
        Some(_) => "upheld",
        None => "not measured",
    };
    format!(
        "{} minutes between two calls by arithmetic, if load is spread evenly: {verdict}. After {} s breakers guard {} ({} of \
         those that are down); the next message to one of them comes long after its breaker was opened (arithmetic).",
        shown(minutes),
        PLAYED_S[0],
        open.cell(1.0, "endpoints"),
        share.cell(100.0, "%")
    )
}

fn connections(shelf: &Shelf) -> String {
    let spread = shelf.value(Axis::Spread, Figure::Reused, DESTINATIONS);
    let events = shelf.value(Axis::Events, Figure::Reused, design::SENDER_EVENTS_PER_S);
    let verdict = match spread.known() {
        Some(share) if share < 0.01 => "upheld",
        Some(_) => "refuted",
        None => "not measured",
    };
    format!(
        "{verdict}: {} of attempts find a connection over {DESTINATIONS} destinations (virtual), and {} over 1,000 (real).",
        spread.cell(100.0, "%"),
        events.cell(100.0, "%")
    )
}

fn wasted(shelf: &Shelf) -> String {
    let wasted = shelf.value(Axis::Spread, Figure::Wasted, DESTINATIONS);
    let tries = shelf.value(Axis::Spread, Figure::Tries, DESTINATIONS);
    let events = design::EVENTS_PER_S * design::DOWN_TENTHS as f64 / 1000.0;
    format!(
        "{} events a second by arithmetic; {} of a message that ended undelivered, mean; {} at one sender, {} of the whole tier. \
         Without a bound they would be {} calls at once at a sender (arithmetic: 6 attempts of 1 s each); the bench's \
         `calls_out` is {SLOTS}, and what waits for a call then costs the module more (axis down). Destinations that are down \
         refuse connections after 1 s in these runs; those that hang are not measured.",
        shown(events),
        tries.cell(1.0, "attempts"),
        wasted.cell(1.0, "wasted attempts a second"),
        wasted.cell(SENDERS as f64, "a second"),
        shown(events / SENDERS as f64 * TRY_LIMIT as f64)
    )
}

fn view(shelf: &Shelf) -> String {
    let sent = shelf.value(Axis::View, Figure::SentBytesMedian, SUPPOSED_MEMBERS);
    let worst = shelf.value(Axis::View, Figure::SentBytesWorst, SUPPOSED_MEMBERS);
    let real = shelf.value(Axis::Hollow, Figure::SentBytesMedian, SUPPOSED_MEMBERS);
    let refused = shelf.of(Axis::Hollow).refused(SENDERS);
    format!(
        "{} at 300 members (median, virtual; {} worst member), {} (real). {}",
        sent.cell(1.0, "bytes a second"),
        worst.cell(1.0, "bytes a second"),
        real.cell(1.0, "bytes a second"),
        refused.map_or("The bound was not measured.".to_owned(), |why| format!(
            "At {SENDERS} the check says: `{why}`"
        ))
    )
}

fn backlog(shelf: &Shelf) -> String {
    let each = design::BACKLOG as f64 / SENDERS as f64;
    let hours = each / (design::EVENTS_PER_S / SENDERS as f64) / 3600.0;
    let room = shelf.value(Axis::Disk, Figure::InHand, 3);
    let bytes = shelf.value(Axis::Journal, Figure::JournalEach, design::BACKLOG / SENDERS);
    format!(
        "{} messages and {} hours of intake by arithmetic. `disk_mb` 3 has room for {} with bodies of 512 bytes; the journal \
         takes {} each.",
        shown(each),
        shown(hours),
        room.cell(1.0, "messages"),
        bytes.cell(1.0, "bytes")
    )
}

fn changes(shelf: &Shelf) -> String {
    let each = shelf.beyond(Axis::Reload, Figure::CpuEach, DESTINATIONS);
    let largest = shelf.of(Axis::Reload).taken(Figure::CpuEach).last().copied();
    let largest = largest.map_or("not measured".to_owned(), |(size, us)| {
        format!("{} ms at {} destinations", shown(us / 1000.0), shown(size))
    });
    format!(
        "A SIGHUP takes a core {largest}, and {} at {DESTINATIONS}. How soon a file reaches 4,900 machines is not measured: no \
         part of the program does it.",
        each.cell(1e-3, "ms")
    )
}

fn records(shelf: &Shelf) -> String {
    let each = shelf.value(Axis::Cover, Figure::SentBytesEach, design::SENDER_EVENTS_PER_S);
    let sent = shelf.value(Axis::Cover, Figure::SentBytesMedian, design::SENDER_EVENTS_PER_S);
    format!(
        "Takeover between three senders with bodies of 512 bytes: {} for each message, {} at 224 events a second. Status \
         entries are not measured; their own bound is 1 MiB a second at a sender.",
        each.cell(1.0, "bytes"),
        sent.cell(1e-3, "kB a second")
    )
}
