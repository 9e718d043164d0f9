//! The sender's log: one line per event on standard error, as text or JSON, with the sender's name. The rate
//! of lines from one callsite is limited, so that a burst of events can neither fill a disk nor slow the
//! process down; the number of suppressed lines is reported. Level and form come from the environment:
//! `NODE_LOG` (default `info`) and `NODE_LOG_FORM` (`text`, the default, or `json`).

use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use myrtleyard::coded_error;
use tracing::callsite::Identifier;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};

/// Maximum number of lines from one callsite in each [`WINDOW`].
const MAX_LINES: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

/// Why the log cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// `NODE_LOG` is not a valid filter.
    #[error("NODE_LOG={level}: {why}")]
    Level {
        /// Value of the variable.
        level: String,
        /// The cause.
        why: tracing_subscriber::filter::ParseError,
    },
    /// `NODE_LOG_FORM` is not a known form.
    #[error("NODE_LOG_FORM={0}: expected text or json")]
    Form(String),
    /// The process already has a log.
    #[error("cannot initialize the log: {0}")]
    Twice(#[from] tracing_subscriber::util::TryInitError),
}

coded_error! { LogError {
    Level => "log.level", "set NODE_LOG to error, warn, info, debug or trace, or unset it";
    Form => "log.form", "set NODE_LOG_FORM to text or json, or unset it";
    Twice => "log.twice", "report it to the developers";
} }

/// Sets up the log of the sender with this name.
///
/// # Errors
/// Fails, with a message of one line, when a variable has an invalid value.
pub fn start(name: &str) -> Result<(), LogError> {
    let level = std::env::var("NODE_LOG").unwrap_or_else(|_| "info".to_owned());
    let filter = EnvFilter::try_new(&level).map_err(|why| LogError::Level { level, why })?;
    let form = std::env::var("NODE_LOG_FORM").unwrap_or_else(|_| "text".to_owned());
    let json = match form.as_str() {
        "text" => false,
        "json" => true,
        _ => return Err(LogError::Form(form)),
    };
    let log = Registry::default().with(filter).with(RateLimiter::default());
    let writer = NamedWriter { name: name.to_owned(), json };
    let started = match json {
        true => log
            .with(tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(writer))
            .try_init(),
        false => log.with(tracing_subscriber::fmt::layer().with_ansi(false).with_writer(writer)).try_init(),
    };
    Ok(started?)
}

/// Writes lines to standard error, each with the sender's name.
struct NamedWriter {
    name: String,
    json: bool,
}

struct Line<'a>(&'a NamedWriter);

impl<'a> MakeWriter<'a> for NamedWriter {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line(self)
    }
}

impl Write for Line<'_> {
    /// Each call gets a complete line and writes it in one piece.
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

/// The lines of one callsite in the current window.
struct CallsiteRate {
    since: Instant,
    lines: u32,
    suppressed: u64,
}

/// Limits the lines of each callsite per window. The map is small, because callsites are places in the code.
#[derive(Default)]
struct RateLimiter {
    callsites: Mutex<HashMap<Identifier, CallsiteRate>>,
}

impl RateLimiter {
    /// Whether a line from this callsite is written, and how many were suppressed before it.
    fn admits(&self, callsite: Identifier, now: Instant) -> (bool, u64) {
        let Ok(mut callsites) = self.callsites.lock() else { return (true, 0) };
        let rate = callsites.entry(callsite).or_insert(CallsiteRate { since: now, lines: 0, suppressed: 0 });
        let mut suppressed = 0;
        if now >= rate.since + WINDOW {
            suppressed = rate.suppressed;
            *rate = CallsiteRate { since: now, lines: 0, suppressed: 0 };
        }
        if rate.lines == MAX_LINES {
            rate.suppressed += 1;
            return (false, 0);
        }
        rate.lines += 1;
        (true, suppressed)
    }
}

impl<S: Subscriber> Layer<S> for RateLimiter {
    fn event_enabled(&self, event: &Event<'_>, _context: Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let (admitted, suppressed) = self.admits(metadata.callsite(), Instant::now());
        if suppressed > 0 {
            let place = metadata.name();
            let _ = writeln!(io::stderr(), "{suppressed} log lines were suppressed ({place})");
        }
        admitted
    }
}

#[cfg(test)]
mod tests;
