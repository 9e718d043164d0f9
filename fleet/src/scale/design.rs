//! The operators' size in two years, and what control may take of a sender.

/// Senders of the tier.
pub const SENDERS: u64 = 4_900;
/// Destinations in the list.
pub const DESTINATIONS: u64 = 310_000;
/// Endpoints in the list, 1.8 for each destination.
pub const ENDPOINTS: u64 = 558_000;
/// Events a second of the whole tier.
pub const EVENTS_PER_S: f64 = 1.1e6;
/// Events a second of a sender, which is rounded down from 224.5.
pub const SENDER_EVENTS_PER_S: u64 = 224;
/// Destinations that are down at any time, in tenths of a percent.
pub const DOWN_TENTHS: u64 = 44;
/// Events in all backlogs at most.
pub const BACKLOG: u64 = 49_000_000_000;
/// Changes of the configuration in a day.
pub const CHANGES_PER_DAY: u64 = 4_900;
/// A change is in force everywhere within so many seconds.
pub const CHANGE_WITHIN_S: f64 = 11.0;
/// Machines that are set aside for control.
pub const CONTROL_MACHINES: u64 = 8;

/// Processor time of a sender in a second that control may take, microseconds: 2.2% of a core.
pub const CPU_US_PER_S: f64 = 22_000.0;
/// Memory of a sender that control may take, bytes.
pub const MEMORY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
/// Bytes a second of a sender that control may send.
pub const BYTES_PER_S: f64 = 3_000.0;
