use super::*;
use crate::error_code::{CodedError, documented_codes};
use crate::world::senders::NotReady;

/// The operations page documents exactly the bench's error codes: none is missing, none is obsolete.
#[test]
fn operations_page_lists_exactly_the_fleet_error_codes() {
    let page = documented_codes(include_str!("../../../docs/operations.md"));
    let page: Vec<&str> = page.into_iter().filter(|code| code.starts_with("fleet.")).collect();
    assert_eq!(page, [BenchError::CODES, NoRuns::CODES, NotReady::CODES, NoScale::CODES].concat());
}
