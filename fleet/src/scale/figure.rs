//! The figures that points are measured by. A name says its unit: bytes, microseconds of processor time (`cpu_us`),
//! seconds (`_s`), a second (`_per_s`), a member or message each (`_each`).

use serde::{Deserialize, Serialize};

macro_rules! figures {
    ($($variant:ident $name:literal $about:literal;)+) => {
        /// A figure of a point.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Figure {
            $(#[doc = $about] #[serde(rename = $name)] $variant,)+
        }

        impl Figure {
            /// All of them.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Its name in records.
            pub fn name(self) -> &'static str {
                match self { $(Self::$variant => $name),+ }
            }

            /// What it is, with its unit.
            pub fn about(self) -> &'static str {
                match self { $(Self::$variant => $about),+ }
            }
        }
    };
}

figures! {
    Resident "resident_bytes" "resident memory of the process, bytes";
    Peak "peak_bytes" "most memory that was ever resident, bytes";
    ResidentEach "resident_bytes_each" "resident memory that each message in hand adds, bytes";
    MemberResident "member_resident_bytes" "resident memory of a member, the network's queue included, bytes";
    MemberPeak "member_peak_bytes" "most memory of a member that was ever resident, bytes";
    CpuPerSecond "cpu_us_per_s" "processor time of a sender in a second, microseconds";
    CpuMember "cpu_us_per_s_member" "processor time of a member in a second, its share of the network's included, microseconds";
    CpuEach "cpu_us_each" "processor time of each message or change, microseconds";
    CpuStart "cpu_us_start" "processor time until the list was taken, or refused for the twentieth time, microseconds";
    CpuTurn "cpu_us_turn" "processor time of one turn of the module, microseconds";
    SentMedian "sent_per_s_median" "datagrams that a member sends in a second, median";
    SentP99 "sent_per_s_p99" "datagrams that a member sends in a second, 99th percentile";
    SentWorst "sent_per_s_worst" "datagrams that a member sends in a second, worst member";
    SentBytesMedian "sent_bytes_per_s_median" "bytes that a member sends in a second, median";
    SentBytesP99 "sent_bytes_per_s_p99" "bytes that a member sends in a second, 99th percentile";
    SentBytesWorst "sent_bytes_per_s_worst" "bytes that a member sends in a second, worst member";
    SentBytesEach "sent_bytes_each" "bytes between senders for each message";
    Covered "covered_share" "share of messages that are covered by others";
    ReceivedMedian "received_per_s_median" "datagrams that a member receives in a second, median";
    ReceivedP99 "received_per_s_p99" "datagrams that a member receives in a second, 99th percentile";
    ReceivedWorst "received_per_s_worst" "datagrams that a member receives in a second, worst member";
    ReceivedBytesMedian "received_bytes_per_s_median" "bytes that a member receives in a second, median";
    ReceivedBytesP99 "received_bytes_per_s_p99" "bytes that a member receives in a second, 99th percentile";
    ReceivedBytesWorst "received_bytes_per_s_worst" "bytes that a member receives in a second, worst member";
    Known "known_s" "from a cold start until every member holds every other for alive, seconds";
    CrashKnown "crash_known_s" "from a crash until all others hold the member for dead, seconds";
    RackKnown "rack_known_s" "from the loss of a hundredth until all others hold it for dead, seconds";
    RackBack "rack_back_s" "from its return until all know, seconds";
    ZoneKnown "zone_known_s" "from the loss of a twelfth until all others hold it for dead, seconds";
    ZoneBack "zone_back_s" "from its return until all know, seconds";
    RegionKnown "region_known_s" "from the loss of a third until all others hold it for dead, seconds";
    RegionBack "region_back_s" "from its return until all know, seconds";
    SplitKnown "split_known_s" "from a split in three until all hold the other regions for dead, seconds";
    SplitBack "split_back_s" "from its end until all know, seconds";
    SplitBytesMedian "split_bytes_per_s_median" "bytes that a member sends in a second of the split, median";
    SplitBytesWorst "split_bytes_per_s_worst" "bytes that a member sends in a second of the split, worst member";
    Listed "listed" "endpoints that the sender holds, of its counters";
    Taken "taken_s" "from the process's start until the list was taken, seconds";
    Calls "list_calls_per_s" "calls for the list in a second, once it was taken or refused";
    CallBytes "list_bytes_per_s" "bytes of the list that were written to the sender in a second";
    Delivered "last_delivered" "1 if a message to the last destination reached it";
    Handed "handed_per_s" "messages that were handed in within a second";
    Accepted "accepted_share" "share of messages that were taken on";
    Attempts "attempts_per_s" "attempts in a second";
    Wasted "wasted_per_s" "attempts in a second at destinations that are down";
    Tries "tries_each" "attempts of a message to a destination that is down, mean of those that ended";
    Open "breakers_open" "endpoints that a breaker keeps messages from at the end";
    OpenShare "open_share" "share of the endpoints of destinations that are down which a breaker guards at the end";
    Reused "reused_share" "share of attempts that found a connection which was kept from an earlier one";
    JournalBytes "journal_bytes" "length of the journal, bytes";
    JournalEach "journal_bytes_each" "length of the journal for each message in hand, bytes";
    Written "written_bytes_per_s" "bytes that went to the disk in a second";
    InHand "in_hand" "messages in hand";
    ResidentOver "resident_over_bytes" "resident memory after the first list over that of a sender with 30 destinations, bytes";
    PeakOver "peak_over_bytes" "most memory that was resident while a second whole list was taken, over the same, bytes";
    CpuChanges "cpu_us_per_s_changes" "processor time of a sender in a second with one change of the list, microseconds";
    SnapshotTaken "snapshot_s" "from a new whole list at the agent until it was taken under load, median, seconds";
    CalmP99 "accept_us_p99_calm" "from a hand-in to its answer while the list stays as it is, 99th percentile, microseconds";
    SnapshotP99 "accept_us_p99_snapshot" "the same while a whole list is taken, 99th percentile, microseconds";
    P99Ratio "accept_p99_ratio" "the latter over the former";
    LoadedFor "loaded_s" "time under load, seconds";
    Unanswered "unanswered" "messages whose hand-in had no answer";
    Answered202 "answered_202" "messages that were answered 202";
    EndDelivered "ended_delivered" "those of them that were delivered at an endpoint of their destination";
    EndNotice "ended_notice" "those of them that ended by a notice";
    EndLost "lost" "those of them without an end";
    EndLate "ended_late" "those of them that ended later than 300 ms after their time";
    EndTwice "ended_twice" "those of them with more than one delivery or notice";
    Misdirected "misdirected" "deliveries at an endpoint of another destination, or of a message that nobody handed in";
    LoadedResident "loaded_resident_bytes" "resident memory at the end of the load, bytes";
    WorkingSet "working_set" "destinations that the decision module knows at the end of the load";
}
