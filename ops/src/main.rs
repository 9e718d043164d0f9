//! Tools for the operators of a fleet of senders. `members` asks several senders for their membership views
//! and shows them as one table, with the points on which they disagree.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call;
mod members;
// Only the test that compares the codes with the manual uses the list of codes.
#[cfg_attr(not(test), expect(dead_code))]
#[path = "../../src/error_code.rs"]
mod error_code;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};

/// Tools for the operators of a fleet of senders.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Shows the members of the fleet, as each of these senders sees them.
    ///
    /// Exit codes: 0 all senders answered and agree, 1 they disagree, 2 wrong arguments, 3 a sender did not
    /// answer or has no membership view.
    Members {
        /// Management addresses of the senders.
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
        /// Keeps running until it is ended, and prints each change.
        #[arg(long)]
        follow: bool,
        /// Prints the senders' answers as JSON, one line per sender.
        #[arg(long, conflicts_with = "follow")]
        json: bool,
        /// Time limit for each sender's answer, in milliseconds.
        #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
        within_ms: u64,
    },
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Members { addresses, follow, json, within_ms } => {
            let within = Duration::from_millis(within_ms);
            if follow {
                members::follow(&addresses, within);
            }
            ExitCode::from(members::show(&addresses, within, json))
        }
    }
}
