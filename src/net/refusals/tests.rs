use std::collections::BTreeSet;

use myrtleyard::drain::{Refusal, Unread};
use myrtleyard::endpoints::ListError;
use myrtleyard::estimate::decide::Cut;
use myrtleyard::estimate::estimator::NoEstimate;
use myrtleyard::estimate::sending::NoRun;
use myrtleyard::estimate::summary::NoFilter;
use myrtleyard::mesh;
use myrtleyard::plans::limits::Denied;
use myrtleyard::plans::token::Unreadable;
use myrtleyard::start::kept::Unfit;
use myrtleyard::status::query;
use myrtleyard::told::Told;

use super::super::driver::estimating::Why;
use super::*;

/// Codes of error replies without an error type of their own, with the source file that produces them.
const BARE: [(&str, &[&str]); 2] = [
    (include_str!("../driver/indexed.rs"), &["status-off", "plans-off"]),
    (include_str!("../parts/reading.rs"), &["read_wide", "read_late", "read_lost", "plan_cut"]),
];

fn status() -> [&'static str; 3] {
    use query::Refused::{Busy, Ids, Limit};
    let all = [Ids(0), Limit(0), Busy];
    // A new variant must be added to `all`; until it is, this match does not compile.
    all.map(|refused| match refused {
        Ids(_) | Limit(_) | Busy => refused.code(),
    })
}

/// The page must list every error code of the sender, and no others.
#[test]
fn the_page_has_every_code_of_the_sender() {
    let own = [
        NoStart::CODES,
        NoCall::CODES,
        Wrong::CODES,
        NoLog::CODES,
        Refusal::CODES,
        Unread::CODES,
        Why::CODES,
        NoEstimate::CODES,
        NoRun::CODES,
        NoFilter::CODES,
        Cut::CODES,
        mesh::Refused::CODES,
        Denied::CODES,
        Unreadable::CODES,
        Unfit::CODES,
        ListError::CODES,
        &status(),
    ];
    let mut own: BTreeSet<&str> = own.concat().into_iter().collect();
    for (source, codes) in BARE {
        assert!(codes.iter().all(|code| source.contains(&format!("\"{code}\""))), "{codes:?}");
        own.extend(codes);
    }
    let page = include_str!("../../../docs/operations.md");
    let (_, table) = page.split_once("\n## Codes\n").unwrap();
    let (table, _) = table.split_once("\n## ").unwrap_or((table, ""));
    let rows = table.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let rows: Vec<&str> =
        rows.filter(|code| !["ops.", "fleet."].iter().any(|of| code.starts_with(of))).collect();
    let page: BTreeSet<&str> = rows.iter().copied().collect();
    assert_eq!(rows.len(), page.len(), "a code has two rows");
    assert_eq!(page, own);
}
