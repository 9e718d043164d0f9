use std::collections::BTreeSet;

use myrtleyard::drain::{MarksUnreadable, Refusal};
use myrtleyard::endpoints::ListError;
use myrtleyard::error_code::CodedError;
use myrtleyard::estimate::decide::LimitExceeded;
use myrtleyard::estimate::estimator::EstimateError;
use myrtleyard::estimate::sending::RunError;
use myrtleyard::estimate::summary::FilterError;
use myrtleyard::mesh;
use myrtleyard::plans::limits::Denied;
use myrtleyard::plans::token::TokenError;
use myrtleyard::start::cached_list::CachedListError;
use myrtleyard::status::query;

use super::super::driver::estimates::EstimateRequestError;
use super::*;

/// Codes of error replies without an error type of their own, with the source file that produces them.
const UNTYPED: [(&str, &[&str]); 2] = [
    (include_str!("../driver/status_index.rs"), &["status-off", "plans-off"]),
    (include_str!("../parts/plans.rs"), &["read_wide", "read_late", "read_lost", "plan_cut"]),
];

fn status() -> [&'static str; 3] {
    use query::QueryRejected::{Busy, Ids, Limit};
    let all = [Ids(0), Limit(0), Busy];
    // A new variant must be added to `all`; until it is, this match does not compile.
    all.map(|refused| match refused {
        Ids(_) | Limit(_) | Busy => refused.code(),
    })
}

/// The page must list every error code of the sender, and no others.
#[test]
fn operations_page_lists_every_error_code_of_the_sender() {
    let own = [
        StartError::CODES,
        CallError::CODES,
        ConfigError::CODES,
        LogError::CODES,
        Refusal::CODES,
        MarksUnreadable::CODES,
        EstimateRequestError::CODES,
        EstimateError::CODES,
        RunError::CODES,
        FilterError::CODES,
        LimitExceeded::CODES,
        mesh::SendError::CODES,
        Denied::CODES,
        TokenError::CODES,
        CachedListError::CODES,
        ListError::CODES,
        &status(),
    ];
    let mut own: BTreeSet<&str> = own.concat().into_iter().collect();
    for (source, codes) in UNTYPED {
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
