//! Programs for those who operate a fleet of senders. `members` asks several senders who of the fleet is there, and
//! shows one table, with where they disagree.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod members;
// The list of codes is the page's test's alone here.
#[cfg_attr(not(test), expect(dead_code))]
#[path = "../../src/error_code.rs"]
mod error_code;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};

/// Programs for those who operate a fleet of senders.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    act: Act,
}

#[derive(Subcommand)]
enum Act {
    /// Shows who of the fleet is there, as each of these senders sees it.
    ///
    /// Exit codes: 0 all that were asked answered and agree, 1 they disagree, 2 the call is bad, 3 one did not answer
    /// or keeps no view.
    Members {
        /// Where operators call the senders.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
        /// Goes on until it is ended, and shows each change.
        #[arg(long)]
        follow: bool,
        /// Shows what was told as JSON, one line a sender.
        #[arg(long, conflicts_with = "follow")]
        json: bool,
        /// How long each may take to answer, milliseconds.
        #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        within_ms: u64,
    },
}

fn main() -> ExitCode {
    match Cli::parse().act {
        Act::Members { addresses, follow, json, within_ms } => {
            let within = Duration::from_millis(within_ms);
            if follow {
                members::follow(&addresses, within);
            }
            ExitCode::from(members::show(&addresses, within, json))
        }
    }
}
