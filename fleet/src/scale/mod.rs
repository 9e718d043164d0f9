//! How the sender's costs grow with the size of a deployment: points along axes, each measured alone in a process of its
//! own, kept as records, fitted, and shown on a page beside the operators' design size.
//!
//! What can be is run with real processes; the rest runs the shipping cores in virtual time, and each record says which.

pub mod agent;
pub mod book;
pub mod command;
pub mod design;
pub mod ends;
pub mod figure;
pub mod fit;
pub mod leads;
pub mod machine;
pub mod page;
pub mod places;
pub mod plot;
pub mod record;
pub mod roles;
pub mod verdict;

mod cover;
mod down;
mod drive;
mod events;
mod hand;
mod hold;
mod hollow;
mod leave;
mod list;
mod members;
mod module;
mod process;
mod reload;
mod talk;
mod traffic;
mod view;

#[path = "../../../tests/common/tier.rs"]
mod tier;

use std::io;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::world::senders::NotReady;
use figure::Figure;
use record::{Measured, Mode};

/// The room of a sender's folder today, megabytes.
pub const DISK_MB: u64 = 3;

/// What grows along an axis.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// Members of the view, in virtual time.
    View,
    /// Members of the view: one real sender among hollow ones, each with a socket of its own.
    Hollow,
    /// Destinations in the list of a real sender.
    List,
    /// Destinations under constant load, 4.4% of them down, in virtual time.
    Spread,
    /// Tenths of a percent of 310,000 destinations that are down, in virtual time.
    Down,
    /// Events a second at a real sender.
    Events,
    /// Events a second at each of three real senders that cover each other's messages.
    Cover,
    /// Messages in hand at the module, in virtual time.
    Hand,
    /// Messages in hand at a real sender, with room for all in its journal.
    Journal,
    /// Megabytes that a real sender's folder may take.
    Disk,
    /// Destinations in the list of a real sender whose configuration changes.
    Reload,
    /// Members of a view that many leave at once, in virtual time.
    Leave,
    /// Destinations in the list of a real sender: at rest, while the list changes, and under constant load with 4.4% of
    /// them down.
    Traffic,
}

/// A point to be measured.
#[derive(Debug, Clone)]
pub struct Point {
    /// Along which axis.
    pub axis: Axis,
    /// How far, in the axis's unit.
    pub size: u64,
    /// Of all chance.
    pub seed: u64,
    /// The sender's program.
    pub binary: PathBuf,
    /// The run is kept short: figures of it are no measure.
    pub smoke: bool,
}

/// Why a point was not measured.
#[derive(Debug, thiserror::Error)]
pub enum Unmeasured {
    /// Something that the machine refuses.
    #[error("{0}")]
    Machine(#[from] io::Error),
    /// The real sender does not start.
    #[error("{0}")]
    Sender(#[from] NotReady),
    /// The real sender does not answer as it should.
    #[error("the sender's answer to {0} can't be read")]
    Answer(String),
    /// It did not come within its time.
    #[error("{0} did not come within its time")]
    Late(&'static str),
    /// The bench's own settings are not the module's.
    #[error("{0}")]
    Settings(#[from] myrtleyard::wire::WireError),
}

impl Axis {
    /// All of them, in the order in which they are run.
    pub const ALL: [Self; 13] = [
        Self::View,
        Self::Hollow,
        Self::List,
        Self::Spread,
        Self::Down,
        Self::Events,
        Self::Cover,
        Self::Hand,
        Self::Journal,
        Self::Disk,
        Self::Reload,
        Self::Leave,
        Self::Traffic,
    ];

    /// Its name: of its file, and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::View => "view",
            Self::Hollow => "hollow",
            Self::List => "list",
            Self::Spread => "spread",
            Self::Down => "down",
            Self::Events => "events",
            Self::Cover => "cover",
            Self::Hand => "hand",
            Self::Journal => "journal",
            Self::Disk => "disk",
            Self::Reload => "reload",
            Self::Leave => "leave",
            Self::Traffic => "traffic",
        }
    }

    /// By its name.
    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|axis| axis.name() == name)
    }

    /// What a size counts.
    pub fn unit(self) -> &'static str {
        match self {
            Self::View => "members of the view",
            Self::Hollow => "members of the view, one of them a real sender",
            Self::List => "destinations in the list",
            Self::Spread => "destinations under 224 messages a second, 4.4% of them down",
            Self::Down => "destinations down of 310,000, in tenths of a percent",
            Self::Events => "events a second at one sender, over 1,000 destinations",
            Self::Cover => "events a second at each of three senders that cover each other",
            Self::Hand => "messages in hand at the module",
            Self::Journal => "messages in hand at one sender, disk_mb 2,000",
            Self::Disk => "disk_mb of one sender, filled until a message is refused",
            Self::Reload => "destinations in the list while the configuration changes",
            Self::Leave => "members of the view, of which many leave at once",
            Self::Traffic => "destinations of one sender under 224 messages a second, 4.4% of them down",
        }
    }

    /// How its points are run.
    pub fn mode(self) -> Mode {
        match self {
            Self::View | Self::Spread | Self::Down | Self::Hand | Self::Leave => Mode::Virtual,
            Self::Hollow
            | Self::List
            | Self::Events
            | Self::Cover
            | Self::Journal
            | Self::Disk
            | Self::Reload
            | Self::Traffic => Mode::Real,
        }
    }

    /// Its points, in ascending order.
    pub fn sizes(self) -> &'static [u64] {
        match self {
            Self::View => &[10, 30, 100, 300, 1_000],
            Self::Hollow => &[10, 30, 100, 300, 1_000, design::SENDERS],
            Self::List => &[100, 300, 1_000, 3_000, 10_000, 100_000, design::DESTINATIONS],
            Self::Spread => &[100, 1_000, 10_000, 100_000, design::DESTINATIONS],
            Self::Down => &[0, 5, 11, 22, 44],
            Self::Events => &[28, 56, 112, design::SENDER_EVENTS_PER_S, 448],
            Self::Cover => &[28, 56, 112, design::SENDER_EVENTS_PER_S],
            Self::Hand => &[1_000, 10_000, 100_000, 1_000_000],
            Self::Journal => &[500, 2_000, 8_000, 32_000],
            Self::Disk => &[3, 6, 12, 24],
            Self::Reload => &[100, 400, 1_600, 3_200],
            Self::Leave => &[60, 120, 240, 480],
            Self::Traffic => &[traffic::BASE, 1_000, 10_000, 100_000, design::DESTINATIONS],
        }
    }

    /// A point that is measured in a second or so.
    pub fn smoke(self) -> u64 {
        match self {
            Self::View => 20,
            Self::Hollow => 8,
            Self::List => 200,
            Self::Spread => 1_000,
            Self::Down => 44,
            Self::Events => 100,
            Self::Cover => 50,
            Self::Hand => 1_000,
            Self::Journal => 100,
            Self::Disk => 1,
            Self::Reload => 100,
            Self::Leave => 12,
            Self::Traffic => 200,
        }
    }

    /// The figures that are fitted and shown.
    pub fn shown(self) -> &'static [Figure] {
        use Figure as F;
        match self {
            Self::View => &[
                F::SentMedian,
                F::SentBytesMedian,
                F::SentBytesP99,
                F::SentBytesWorst,
                F::ReceivedBytesMedian,
                F::ReceivedBytesWorst,
                F::CpuMember,
                F::MemberResident,
                F::MemberPeak,
                F::Known,
                F::CrashKnown,
            ],
            Self::Hollow => &[
                F::SentMedian,
                F::SentBytesMedian,
                F::SentBytesWorst,
                F::CpuMember,
                F::CpuPerSecond,
                F::Resident,
                F::Peak,
                F::Known,
            ],
            Self::List => &[
                F::Listed,
                F::Taken,
                F::CpuStart,
                F::Resident,
                F::Peak,
                F::CpuPerSecond,
                F::Calls,
                F::CallBytes,
                F::Delivered,
            ],
            Self::Spread | Self::Down => &[
                F::Attempts,
                F::Wasted,
                F::Tries,
                F::Open,
                F::OpenShare,
                F::Reused,
                F::CpuEach,
                F::Resident,
                F::Peak,
            ],
            Self::Events => &[
                F::Handed,
                F::Accepted,
                F::Attempts,
                F::Reused,
                F::CpuPerSecond,
                F::CpuEach,
                F::Resident,
                F::Peak,
                F::JournalBytes,
                F::Written,
            ],
            Self::Cover => &[
                F::Handed,
                F::Covered,
                F::SentMedian,
                F::SentBytesMedian,
                F::SentBytesWorst,
                F::SentBytesEach,
                F::CpuPerSecond,
                F::Resident,
            ],
            Self::Hand => &[F::InHand, F::Resident, F::Peak, F::ResidentEach, F::CpuEach, F::CpuTurn],
            Self::Journal | Self::Disk => &[
                F::InHand,
                F::JournalBytes,
                F::JournalEach,
                F::Resident,
                F::Peak,
                F::ResidentEach,
                F::CpuEach,
            ],
            Self::Reload => &[F::CpuEach, F::CpuPerSecond, F::Resident, F::Peak],
            Self::Leave => &[
                F::RackKnown,
                F::RackBack,
                F::ZoneKnown,
                F::ZoneBack,
                F::RegionKnown,
                F::RegionBack,
                F::SplitKnown,
                F::SplitBack,
                F::SplitBytesMedian,
                F::SplitBytesWorst,
            ],
            Self::Traffic => &[
                F::Taken,
                F::CpuStart,
                F::ResidentOver,
                F::PeakOver,
                F::CpuPerSecond,
                F::CpuChanges,
                F::SnapshotTaken,
                F::CalmP99,
                F::SnapshotP99,
                F::P99Ratio,
                F::LoadedFor,
                F::Handed,
                F::Accepted,
                F::Unanswered,
                F::Answered202,
                F::EndDelivered,
                F::EndNotice,
                F::EndLost,
                F::EndLate,
                F::EndTwice,
                F::Misdirected,
                F::LoadedResident,
                F::WorkingSet,
            ],
        }
    }

    /// The figure that its plot shows.
    pub fn plotted(self) -> Figure {
        match self {
            Self::View => Figure::SentBytesMedian,
            Self::Hollow => Figure::CpuPerSecond,
            Self::List => Figure::Resident,
            Self::Spread => Figure::OpenShare,
            Self::Down => Figure::Wasted,
            Self::Events => Figure::CpuPerSecond,
            Self::Cover => Figure::SentBytesMedian,
            Self::Hand => Figure::CpuTurn,
            Self::Journal => Figure::JournalBytes,
            Self::Disk => Figure::InHand,
            Self::Reload => Figure::CpuEach,
            Self::Leave => Figure::RegionKnown,
            Self::Traffic => Figure::ResidentOver,
        }
    }

    /// The design size on this axis.
    pub fn design(self) -> u64 {
        match self {
            Self::View | Self::Hollow | Self::Leave => design::SENDERS,
            Self::List | Self::Spread | Self::Reload | Self::Traffic => design::DESTINATIONS,
            Self::Down => design::DOWN_TENTHS,
            Self::Events | Self::Cover => design::SENDER_EVENTS_PER_S,
            Self::Hand | Self::Journal => design::BACKLOG / design::SENDERS,
            Self::Disk => DISK_MB,
        }
    }

    fn measure(self, point: &Point) -> Result<Measured, Unmeasured> {
        match self {
            Self::View => view::measure(point),
            Self::Hollow => hollow::measure(point),
            Self::List => list::measure(point),
            Self::Spread => down::spread(point),
            Self::Down => down::down(point),
            Self::Events => events::measure(point),
            Self::Cover => cover::measure(point),
            Self::Hand => hand::measure(point),
            Self::Journal => hold::journal(point),
            Self::Disk => hold::disk(point),
            Self::Reload => reload::measure(point),
            Self::Leave => leave::measure(point),
            Self::Traffic => traffic::measure(point),
        }
    }
}

impl Point {
    /// Measures it in this process, and takes down how late that ran.
    ///
    /// # Errors
    /// Tells why it could not be measured.
    pub fn measure(&self) -> Result<Measured, Unmeasured> {
        let lateness = machine::Lateness::begin();
        let measured = self.axis.measure(self);
        let lateness_us = lateness.end();
        Ok(Measured { lateness_us, ..measured? })
    }
}
