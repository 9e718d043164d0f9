//! The sender's log: a line for each noteworthy event on standard error, as text or JSON, each with the sender's name.
//! Lines of one kind are bounded in rate, so that a storm can neither fill a disk nor cost the day; how many were left
//! out is told. Level and form come from the environment: `NODE_LOG` (`info` if it is not set) and `NODE_LOG_FORM`
//! (`text` or `json`).

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use myrtleyard::told;
use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};

/// Lines of one kind, by the place in the code that writes them, in [`WINDOW`].
const MOST: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

/// Why there is no log.
#[derive(Debug, thiserror::Error)]
pub enum NoLog {
    /// `NODE_LOG` is no filter.
    #[error("NODE_LOG={level}: {why}")]
    Level {
        /// What it holds.
        level: String,
        /// What is wrong with it.
        why: tracing_subscriber::filter::ParseError,
    },
    /// `NODE_LOG_FORM` is no form.
    #[error("NODE_LOG_FORM={0}: text or json is expected")]
    Form(String),
    /// There is one in this process.
    #[error("log: {0}")]
    Twice(#[from] tracing_subscriber::util::TryInitError),
}

told! { NoLog {
    Level => "log.level", "set NODE_LOG to error, warn, info, debug or trace, or unset it";
    Form => "log.form", "set NODE_LOG_FORM to text or json, or unset it";
    Twice => "log.twice", "tell the developers";
} }

/// Begins the log of a sender of this name.
///
/// # Errors
/// Fails, in one line, when the environment says what can't be meant.
pub fn start(name: &str) -> Result<(), NoLog> {
    let level = std::env::var("NODE_LOG").unwrap_or_else(|_| "info".to_owned());
    let filter = EnvFilter::try_new(&level).map_err(|why| NoLog::Level { level, why })?;
    let form = std::env::var("NODE_LOG_FORM").unwrap_or_else(|_| "text".to_owned());
    let json = match form.as_str() {
        "text" => false,
        "json" => true,
        _ => return Err(NoLog::Form(form)),
    };
    let log = Registry::default().with(filter).with(Bounded::default());
    let writer = Named { name: name.to_owned(), json };
    let started = match json {
        true => log
            .with(tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(writer))
            .try_init(),
        false => log.with(tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer)).try_init(),
    };
    Ok(started?)
}

/// Writes to standard error, with the sender's name in each line.
struct Named {
    name: String,
    json: bool,
}

struct Line<'a>(&'a Named);

impl<'a> MakeWriter<'a> for Named {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line(self)
    }
}

impl Write for Line<'_> {
    /// A whole line comes in one piece, and goes out in one.
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut line = Vec::with_capacity(bytes.len() + self.0.name.len() + 16);
        match bytes.strip_prefix(b"{") {
            Some(rest) if self.0.json => {
                line.extend(format!("{{\"sender\":{},", serde_json::json!(self.0.name)).into_bytes());
                line.extend_from_slice(rest);
            }
            _ => {
                line.extend_from_slice(self.0.name.as_bytes());
                line.push(b' ');
                line.extend_from_slice(bytes);
            }
        }
        io::stderr().write_all(&line)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stderr().flush()
    }
}

/// Lines of one kind within a window.
struct Kind {
    since: Instant,
    lines: u32,
    left_out: u64,
}

/// Lets so many lines of one kind through in a window. Kinds are places in the code, so that there are few.
#[derive(Default)]
struct Bounded {
    kinds: Mutex<HashMap<Identifier, Kind>>,
}

impl Bounded {
    /// Whether a line of this kind goes through, and how many were left out before it.
    fn admits(&self, kind: Identifier, now: Instant) -> (bool, u64) {
        let Ok(mut kinds) = self.kinds.lock() else { return (true, 0) };
        let kind = kinds.entry(kind).or_insert(Kind { since: now, lines: 0, left_out: 0 });
        let mut left_out = 0;
        if now >= kind.since + WINDOW {
            left_out = kind.left_out;
            *kind = Kind { since: now, lines: 0, left_out: 0 };
        }
        if kind.lines == MOST {
            kind.left_out += 1;
            return (false, 0);
        }
        kind.lines += 1;
        (true, left_out)
    }
}

impl<S: Subscriber> Layer<S> for Bounded {
    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let (admitted, left_out) = self.admits(metadata.callsite(), Instant::now());
        if left_out > 0 {
            let place = metadata.name();
            let _ = writeln!(io::stderr(), "{left_out} lines of one kind were left out ({place})");
        }
        admitted
    }
}

#[cfg(test)]
mod tests;
