//! The subcommand `scale`: a short run of each axis end to end, its arguments, its fits, and its page.

use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use linenwing_fleet::scale::book::Book;
use linenwing_fleet::scale::design;
use linenwing_fleet::scale::ends::{self, Ends, Judged};
use linenwing_fleet::scale::fit::{Fit, Form};
use linenwing_fleet::scale::places::{self, Places};
use linenwing_fleet::scale::record::{self, Measured, Mode, Record};
use linenwing_fleet::scale::verdict::Value;
use linenwing_fleet::scale::{Axis, figure::Figure, page};

const TOOL: &str = env!("CARGO_BIN_EXE_linenwing-fleet");
/// Time limit of a smoke run, sufficient also on a busy machine.
const SMOKE_WITHIN: Duration = Duration::from_secs(60);

fn scale(arguments: &[&str]) -> Output {
    Command::new(TOOL).arg("scale").args(arguments).output().unwrap()
}

fn text(path: &Path) -> &str {
    path.to_str().unwrap()
}

/// Guards the path from a point to its record: each axis has a measured point, with its mode and the lateness
/// of the bench. A run may report that it was starved, since the machine may be busy.
#[test]
fn smoke_run_writes_a_record_for_each_axis() {
    let folder = tempfile::tempdir().unwrap();
    let begun = Instant::now();
    let output = scale(&["--smoke", "--out", text(folder.path())]);
    assert!(begun.elapsed() < SMOKE_WITHIN, "{:?}", begun.elapsed());
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    let read = |axis| record::read(folder.path(), axis).unwrap();
    let records: Vec<Record> = Axis::ALL.into_iter().flat_map(read).collect();
    let axes: Vec<Axis> = records.iter().map(|record| record.axis).collect();
    assert_eq!(axes, Axis::ALL, "{told}");
    let starved = records.iter().any(|record| record.starved.is_some());
    assert_eq!(output.status.code(), Some(if starved { 3 } else { 0 }), "{told}");
    for record in &records {
        assert_eq!((record.size, record.mode), (record.axis.smoke(), record.axis.mode()));
        assert_eq!(record.measured.refused, None, "{}", record.axis.name());
        assert!(record.measured.figures.len() > 3 && record.cores > 0, "{}", record.axis.name());
        assert!(record.measured.lateness_us[2] > 0, "no timer is never late");
    }
    let list = records.iter().find(|record| record.axis == Axis::List).unwrap();
    assert_eq!(list.measured.figures[&Figure::Delivered], 1.0, "a message reaches the last destination");
    assert_eq!(list.measured.figures[&Figure::Listed], 360.0, "1.8 endpoints a destination");
    let traffic = records.iter().find(|record| record.axis == Axis::Traffic).unwrap();
    let count = |figure| traffic.measured.figures[&figure];
    assert!(count(Figure::EndDelivered) > 0.0 && count(Figure::EndNotice) > 0.0, "{traffic:?}");
    let ends = count(Figure::EndDelivered) + count(Figure::EndNotice);
    assert_eq!(ends, count(Figure::Answered202), "each message has one end: {traffic:?}");
    for none in [Figure::EndLost, Figure::EndTwice, Figure::Misdirected, Figure::Unanswered] {
        assert_eq!(count(none), 0.0, "{}", none.name());
    }
}

/// Guards the count of ends: each fault of a sender is found, and only a message answered 202 needs an end.
#[test]
fn ends_are_checked_for_each_message_answered_202() {
    let ends = Ends::default();
    let ids: Vec<String> = (0..6).map(|destination| ends.handed(destination)).collect();
    ids[..5].iter().for_each(|id| ends.taken(id));
    ends.delivered(&ids[0], Some(0));
    assert!(ends.noticed(format!("{{\"id\":\"{}\",\"status\":\"undeliverable\"}}\n", ids[1]).as_bytes()));
    ends.delivered(&ids[2], Some(2));
    assert!(ends.noticed(format!("{{\"id\":\"{}\",\"status\":\"deferred\"}}\n", ids[2]).as_bytes()));
    ends.delivered(&ids[3], Some(4));
    ends.delivered("nobody's", Some(1));
    assert!(
        !ends.noticed(b"{\"id\":\"nobody's\",\"status\":\"deferred\"}\n"),
        "it is told that it can't be read"
    );
    let judged = Judged { taken: 5, delivered: 2, noticed: 2, lost: 2, late: 0, twice: 1, misdirected: 2 };
    assert_eq!(ends.judged(Duration::from_secs(60)), judged);
    std::thread::sleep(Duration::from_millis(10) + ends::GRACE);
    ends.delivered(&ids[4], Some(4));
    let judged = Judged { delivered: 3, lost: 1, late: 1, ..judged };
    assert_eq!(ends.judged(Duration::ZERO), judged);
}

#[test]
fn destinations_have_distinct_addresses_and_refuse_connections_when_down() {
    let each = Places::Each { served: 1, refused: 2 };
    let down = (0..design::DESTINATIONS).filter(|destination| {
        let address = each.address(*destination);
        assert_eq!(places::destination(address.ip()), Some(*destination));
        address.port() == 2
    });
    assert_eq!(down.count() as u64, design::DESTINATIONS * design::DOWN_TENTHS / 1000);
}

#[test]
fn invalid_arguments_exit_2_with_a_remedy() {
    let folder = tempfile::tempdir().unwrap();
    let spoilt = folder.path().join("spoilt");
    std::fs::create_dir(&spoilt).unwrap();
    std::fs::write(spoilt.join("view.jsonl"), "{\"axis\":\n").unwrap();
    let calls: [(&[&str], &str); 4] = [
        (&["--axis", "width"], "fleet.scale-axis: name an axis"),
        (&["--seeds", "3..1"], "fleet.seeds: give a number"),
        (&["--point", "7"], "fleet.scale-point: leave --point out"),
        (&["--page", "--out", text(&spoilt)], "fleet.scale-records: mend the line"),
    ];
    for (arguments, remedy) in calls {
        let output = scale(arguments);
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {told}");
        assert!(told.lines().any(|line| line.starts_with(remedy)), "{arguments:?}: {told}");
    }
}

fn points(of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    [10.0, 100.0, 1000.0, 10_000.0, 100_000.0].map(|n| (n, of(n))).to_vec()
}

#[test]
fn each_form_is_recovered_and_predicts_the_held_out_point() {
    type Of = fn(f64) -> f64;
    let forms: [(Form, Of); 3] = [
        (Form::Constant, |_| 7.0),
        (Form::Linear, |n| 500.0 + 3.0 * n),
        (Form::Linearithmic, |n| 500.0 + 3.0 * n * n.log2()),
    ];
    for (form, of) in forms {
        let fit = Fit::of(&points(of)).unwrap();
        assert_eq!(fit.form, form);
        assert!(fit.stands() && fit.held_out_error.abs() < 1e-6, "{fit:?}");
        assert!((fit.at(310_000.0) / of(310_000.0) - 1.0).abs() < 1e-6, "{fit:?}");
    }
}

/// Guards the page against slopes that the data doesn't support.
#[test]
fn form_that_misses_the_held_out_point_is_rejected() {
    let quadratic = Fit::of(&points(|n| 1.0 + n * n)).unwrap();
    assert!(!quadratic.stands(), "{quadratic:?}");
    let mut steps = points(|n| 100.0 + n);
    steps[4].1 *= 1.2;
    assert!(!Fit::of(&steps).unwrap().stands(), "off by more than 15%");
    assert_eq!(Fit::of(&steps[..3]), None, "two points are no slope");
    steps[1].1 = f64::NAN;
    assert_eq!(Fit::of(&steps), None, "nor is what was not measured");
}

/// Guards the page: it follows from the records beside it, and from nothing else.
#[test]
fn page_matches_its_records() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    let page = std::fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    let made = page::text(&docs.join("capacity")).unwrap();
    assert!(page == made, "docs/CAPACITY.md is older than its records: linenwing-fleet scale --page");
    for (name, plot) in page::plots(&docs.join("capacity")).unwrap() {
        let kept = std::fs::read_to_string(docs.join("capacity").join(&name)).unwrap();
        assert!(kept == plot, "{name} is older than its records: linenwing-fleet scale --page");
    }
}

/// Guards the records: each belongs to its axis, with the axis's mode and one of its sizes.
#[test]
fn records_match_their_axis_mode_and_sizes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/capacity");
    for axis in Axis::ALL {
        let records = record::read(&folder, axis).unwrap();
        for record in &records {
            assert_eq!((record.axis, record.mode), (axis, axis.mode()));
            assert!(axis.sizes().contains(&record.size), "{} {}", axis.name(), record.size);
            assert!(!record.commit.is_empty() && record.cores > 0);
        }
    }
}

/// A made-up record of the list axis.
fn listed(size: u64, resident: f64, refused: Option<&str>, starved: Option<&str>) -> Record {
    let figures = [(Figure::Resident, resident)].into();
    let measured = Measured { figures, refused: refused.map(str::to_owned), lateness_us: [1, 2, 3] };
    Record {
        axis: Axis::List,
        size,
        seed: 1,
        mode: Mode::Real,
        commit: "made-up".to_owned(),
        program: None,
        cores: 1,
        load: 0.0,
        starved: starved.map(str::to_owned),
        measured,
    }
}

/// Guards verdicts: a refusal is reported with its factor, a starved run is ignored, and a slope is reported
/// as a slope.
#[test]
fn verdicts_report_refusals_and_slopes_and_ignore_starved_runs() {
    let folder = tempfile::tempdir().unwrap();
    let keep = |record: Record| record::append(folder.path(), &record).unwrap();
    for size in [100, 300, 1_000, 3_000] {
        keep(listed(size, 8e6 + 100.0 * size as f64, None, None));
        keep(listed(size, 9e9, None, Some("late")));
    }
    let book = Book::read(folder.path(), Axis::List).unwrap();
    assert_eq!((book.starved, book.bounds()), (4, (Some(3_000), None)));
    let value = Value::of(&book, Figure::Resident, 310_000);
    assert!(matches!(value, Value::BySlope(bytes) if (bytes / 39e6 - 1.0).abs() < 0.01), "{value:?}");
    assert_eq!(value.verdict(40e6, 310_000), ("holds by slope".to_owned(), None));
    assert!(value.verdict(32e6, 310_000).0.starts_with("does not hold, by slope"));
    assert_eq!(Value::of(&book, Figure::Peak, 310_000), Value::Unknown, "which was not measured");
    keep(listed(10_000, 8e6, Some("not taken"), None));
    let book = Book::read(folder.path(), Axis::List).unwrap();
    let value = Value::of(&book, Figure::Resident, 310_000);
    assert_eq!(value, Value::Refused { taken: 3_000, from: 10_000 });
    let (text, share) = value.verdict(32e6, 310_000);
    assert_eq!(text, "does not hold: takes 3000, refuses 10000; short by a factor of 103");
    assert_eq!(share, Some(3_000.0 / 310_000.0));
}

/// Guards the page without records: it says that nothing was measured, and draws no conclusion.
#[test]
fn page_without_records_draws_no_conclusion() {
    let folder = tempfile::tempdir().unwrap();
    let page = page::text(folder.path()).unwrap();
    assert!(!page.contains("holds as measured") && !page.contains("holds by slope"), "{page}");
    assert_eq!(page.matches("Not measured.\n").count(), Axis::ALL.len());
}
