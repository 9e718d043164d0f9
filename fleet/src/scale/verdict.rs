//! Whether a figure holds at the design size, and what says so.

use super::book::Book;
use super::figure::Figure;

/// What the records say of a figure at the design size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Value {
    /// Measured there.
    Measured(f64),
    /// By a form whose held-out point was predicted.
    BySlope(f64),
    /// The program does not take the design size.
    Refused {
        /// The largest size that was taken.
        taken: u64,
        /// The smallest that was refused.
        from: u64,
    },
    /// Neither was measured there, nor does a form stand.
    Unknown,
}

impl Value {
    /// A figure of an axis at a size.
    pub fn of(book: &Book, figure: Figure, size: u64) -> Self {
        if let (Some(taken), Some(from)) = book.bounds()
            && from <= size
        {
            return Self::Refused { taken, from };
        }
        if let Some(value) = book.at(size, figure) {
            return Self::Measured(value);
        }
        book.fit(figure)
            .filter(|fit| fit.stands())
            .map_or(Self::Unknown, |fit| Self::BySlope(fit.at(size as f64)))
    }

    /// What a figure would be at a size that is refused, if the form of the sizes that are taken went on.
    pub fn beyond(book: &Book, figure: Figure, size: u64) -> Self {
        match Self::of(book, figure, size) {
            Self::Refused { .. } => book
                .fit(figure)
                .filter(|fit| fit.stands())
                .map_or(Self::Unknown, |fit| Self::BySlope(fit.at(size as f64))),
            value => value,
        }
    }

    /// The figure, if there is one.
    pub fn known(self) -> Option<f64> {
        match self {
            Self::Measured(value) | Self::BySlope(value) => Some(value),
            Self::Refused { .. } | Self::Unknown => None,
        }
    }

    /// As a cell of the page, after the figure is multiplied.
    pub fn cell(self, times: f64, unit: &str) -> String {
        let shown = |value: f64| {
            let gap = if unit.is_empty() || unit.starts_with('%') { "" } else { " " };
            format!("{}{gap}{unit}", super::page::shown(value * times))
        };
        match self {
            Self::Measured(value) => shown(value),
            Self::BySlope(value) => format!("{}, by slope", shown(value)),
            Self::Refused { from, .. } => format!("refused from {from} on"),
            Self::Unknown => "not measured".to_owned(),
        }
    }

    /// The verdict against a budget, and the share of the design size at which it breaks, where it does and that is
    /// known.
    pub fn verdict(self, budget: f64, size: u64) -> (String, Option<f64>) {
        match self {
            Self::Refused { taken, from } => {
                let factor = size as f64 / taken as f64;
                let text = format!(
                    "does not hold: takes {taken}, refuses {from}; short by a factor of {}",
                    super::page::shown(factor)
                );
                (text, Some(taken as f64 / size as f64))
            }
            Self::Unknown => ("not measured".to_owned(), None),
            Self::Measured(value) | Self::BySlope(value) if value > budget => {
                let factor = value / budget;
                let how = if matches!(self, Self::BySlope(_)) { ", by slope" } else { "" };
                let text = format!("does not hold{how}: over by a factor of {}", super::page::shown(factor));
                (text, Some(1.0 / factor))
            }
            Self::Measured(_) => ("holds as measured".to_owned(), None),
            Self::BySlope(_) => ("holds by slope".to_owned(), None),
        }
    }
}

/// The largest size at which a figure keeps to a budget and the smallest at which it does not, of those that were
/// measured; nothing where it keeps to it at all of them.
pub fn crossing(book: &Book, figure: Figure, budget: f64) -> Option<(Option<f64>, f64)> {
    let points = book.taken(figure);
    let over = points.iter().position(|(_, value)| *value > budget)?;
    let kept = over.checked_sub(1).map(|last| points[last].0);
    Some((kept, points[over].0))
}

/// The verdict of a crossing at a design size; nothing where there is none.
pub fn crossed(book: &Book, figure: Figure, budget: f64, size: u64) -> Option<(String, Option<f64>)> {
    let (kept, over) = crossing(book, figure, budget)?;
    let shown = super::page::shown;
    let from = kept.map_or(format!("at {} already", shown(over)), |kept| {
        format!("from between {} and {} on", shown(kept), shown(over))
    });
    let unit = book.axis.unit();
    Some((
        format!("does not hold: over its budget {from} ({unit})"),
        Some(kept.unwrap_or(over) / size as f64),
    ))
}
