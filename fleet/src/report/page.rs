//! The page: inline plots with the faults marked; it loads nothing from elsewhere.

use std::fmt::Write as _;
use std::io;

use plotters::prelude::*;

use crate::experiment::{Outcome, Play};
use crate::ledger::{History, What};

const SIZE: (u32, u32) = (960, 260);

/// A line of a plot.
struct Line {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Renders the page.
///
/// # Errors
/// Fails when a plot can't be drawn.
pub fn page(play: &Play, outcome: &Outcome, history: &History) -> io::Result<String> {
    let faults: Vec<(f64, bool, &str)> = history
        .entries
        .iter()
        .filter_map(|entry| match &entry.what {
            What::Fault { on, what, .. } => Some((entry.t as f64 / 1e6, *on, what.as_str())),
            _ => None,
        })
        .collect();
    let seconds = &outcome.figures.seconds;
    let by = |look: &dyn Fn(usize) -> f64| -> Vec<(f64, f64)> {
        (0..seconds.len()).map(|n| (n as f64, look(n))).collect()
    };
    let names = ["in time", "late", "deferred", "failed", "no end"];
    let colors = [RGBColor(30, 130, 60), RGBColor(200, 150, 0), RGBColor(30, 90, 200), RED, BLACK];
    let fates = names.iter().zip(colors).enumerate().map(|(k, (name, color))| Line {
        name,
        color,
        points: by(&|n| seconds[n].fates[k] as f64),
    });
    let owed = Line { name: "owed", color: BLUE, points: by(&|n| seconds[n].owed as f64) };
    let datagrams = [
        Line { name: "datagrams", color: BLUE, points: by(&|n| seconds[n].datagrams as f64) },
        Line { name: "100 bytes", color: RED, points: by(&|n| seconds[n].bytes as f64 / 100.0) },
    ];
    let mut text = String::from("<!doctype html><meta charset=\"utf-8\"><title>fleet run</title>\n");
    text += "<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}\
             pre{white-space:pre-wrap}</style>\n";
    let _ = writeln!(text, "<h1>{}, seed {}</h1>", escape_html(&play.scenario.name), play.seed);
    let _ = writeln!(text, "<p>{}</p>", escape_html(&play.scenario.about));
    let _ = writeln!(text, "<pre>{}</pre>", escape_html(&super::summary(play, outcome)));
    let plots = [
        ("Messages by the second of their scheduled hand-in", fates.collect::<Vec<_>>()),
        ("Accepted messages that have not ended", vec![owed]),
        ("Datagrams between senders, per second", datagrams.into()),
        ("Latency from the scheduled hand-in, ms, by percentile", latencies(outcome)),
    ];
    for (n, (title, lines)) in plots.into_iter().enumerate() {
        let marks = if n < 3 { faults.as_slice() } else { &[] };
        let drawing = plot(&lines, marks).map_err(io::Error::other)?;
        let _ = writeln!(text, "<h2>{title}</h2>\n{drawing}");
    }
    text += "<h2>Faults</h2>\n<ol>\n";
    for (t, on, what) in &faults {
        let _ = writeln!(
            text,
            "<li>{t:.2} s {}: {}</li>",
            if *on { "begins" } else { "ends" },
            escape_html(what)
        );
    }
    text += "</ol>\n";
    Ok(text)
}

fn latencies(outcome: &Outcome) -> Vec<Line> {
    let figures = &outcome.figures;
    let colors = [RGBColor(30, 130, 60), BLUE];
    let places = [50.0, 90.0, 99.0, 100.0];
    let lines = figures.classes.iter().zip(colors).map(|((name, tally), color)| Line {
        name: if name == "notice" { "notice" } else { "disbursement" },
        color,
        points: places.into_iter().zip(tally.latency_ms).collect(),
    });
    lines.collect()
}

fn plot(
    lines: &[Line],
    faults: &[(f64, bool, &str)],
) -> Result<String, Box<dyn std::error::Error + Send + Sync>> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let (low, right) = points().fold((f64::MAX, 1.0), |(l, r), p| (f64::min(l, p.0), f64::max(r, p.0)));
    let left = if low == f64::MAX { 0.0 } else { low };
    let top = points().fold(1.0, |top, p| f64::max(top, p.1)) * 1.1;
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        let wrong = |e: &dyn std::fmt::Display| e.to_string();
        area.fill(&WHITE).map_err(|e| wrong(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(left..right, 0.0..top)
            .map_err(|e| wrong(&e))?;
        chart.configure_mesh().light_line_style(WHITE).draw().map_err(|e| wrong(&e))?;
        for (t, on, _) in faults {
            let color = if *on { RED.mix(0.5) } else { GREEN.mix(0.5) };
            let mark = LineSeries::new([(*t, 0.0), (*t, top)], color);
            chart.draw_series(mark).map_err(|e| wrong(&e))?;
        }
        for line in lines {
            let color = line.color;
            chart
                .draw_series(LineSeries::new(line.points.iter().copied(), &color))
                .map_err(|e| wrong(&e))?
                .label(line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| wrong(&e))?;
        area.present().map_err(|e| wrong(&e))?;
    }
    Ok(text)
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
