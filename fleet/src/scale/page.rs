//! The page on capacity, made from the records alone.

use std::fmt::Write as _;
use std::path::Path;

use super::Axis;
use super::book::Book;
use super::figure::Figure;
use super::fit::{Fit, HELD_OUT_WITHIN};
use super::record::Unread;

/// What the page says of itself.
const HEAD: &str = "# Capacity at the size of two years\n\n\
    Made by `linenwing-fleet scale --page` from the records in `docs/capacity`; a test fails where they differ. Each axis\n\
    is measured by `linenwing-fleet scale --axis NAME`, three seeds a point, and shows medians of the seeds. \"real\" is\n\
    real processes, sockets and time; \"virtual\" is the shipping cores in virtual time. Processor time and bytes are\n\
    measured, latency is not: the machine is shared.\n";

/// The page's text.
///
/// # Errors
/// Fails when the records can't be read.
pub fn text(folder: &Path) -> Result<String, Unread> {
    let mut text = HEAD.to_owned();
    text += "\n## Axes\n\nThe largest point that was taken is held out of each fit and predicted by the smaller ones; \
             a form that misses it\nby more than ";
    let _ =
        writeln!(text, "{:.0}% is marked wrong, and nothing is concluded from it.", HELD_OUT_WITHIN * 100.0);
    for axis in Axis::ALL {
        text += &section(&Book::read(folder, axis)?);
    }
    Ok(text)
}

/// A figure with four digits.
pub fn shown(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 1000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.001 => format!("{value:.3}"),
        _ => format!("{value:.1e}"),
    }
}

fn section(book: &Book) -> String {
    let axis = book.axis;
    let mut text = format!("\n### {}: {}\n\n", axis.name(), axis.unit());
    let Some(commit) = &book.commit else { return text + "Not measured.\n" };
    let [late, most] = book.lateness_us();
    let _ = writeln!(
        text,
        "Records `docs/capacity/{}.jsonl`, commit {commit}, {}, {} seeds; timers were late by {:.1} ms (99th percentile) \
         and {:.1} ms (most)\nat worst; {} records were starved and count for nothing.\n",
        axis.name(),
        axis.mode().name(),
        book.seeds(),
        late as f64 / 1000.0,
        most as f64 / 1000.0,
        book.starved
    );
    text += &table(book);
    for size in book.points.keys() {
        if let Some(why) = book.refused(*size) {
            let _ = writeln!(text, "\nAt {size}: not taken: `{why}`");
        }
    }
    text
}

fn table(book: &Book) -> String {
    let sizes: Vec<u64> = book.points.keys().copied().collect();
    let heads: Vec<String> = sizes.iter().map(ToString::to_string).collect();
    let mut text = format!("| figure | {} | form | held out |\n|", heads.join(" | "));
    text += &" --- |".repeat(sizes.len() + 3);
    text.push('\n');
    for figure in book.axis.shown() {
        let cells: Vec<String> =
            sizes.iter().map(|size| book.at(*size, *figure).map_or("-".to_owned(), shown)).collect();
        let [form, error] = fitted(book, *figure);
        let _ = writeln!(text, "| {} | {} | {form} | {error} |", figure.name(), cells.join(" | "));
    }
    text
}

fn fitted(book: &Book, figure: Figure) -> [String; 2] {
    book.fit(figure).map_or(["-".to_owned(), "-".to_owned()], |fit| {
        let wrong = if fit.stands() { "" } else { ", wrong" };
        [formula(&fit), format!("{:+.1}%{wrong}", fit.held_out_error * 100.0)]
    })
}

/// A fit's form with its coefficients and the residual.
fn formula(fit: &Fit) -> String {
    let residual = fit.residual * 100.0;
    match fit.slope {
        0.0 => format!("{} (residual {residual:.1}%)", shown(fit.base)),
        slope => {
            format!("{} + {} {} (residual {residual:.1}%)", shown(fit.base), shown(slope), fit.form.name())
        }
    }
}
