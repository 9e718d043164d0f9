use super::*;
use crate::error_code::{CodedError, documented_codes};
use crate::world::senders::NotReady;

/// Guards the page: it has the bench's codes, and no other of their kind.
#[test]
fn the_page_has_every_code_of_the_bench() {
    let page = documented_codes(include_str!("../../../docs/operations.md"));
    let page: Vec<&str> = page.into_iter().filter(|code| code.starts_with("fleet.")).collect();
    assert_eq!(page, [Bad::CODES, NoRuns::CODES, NotReady::CODES, NoScale::CODES].concat());
}
