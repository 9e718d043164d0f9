use super::*;
use crate::error_code::{CodedError, documented_codes};

/// The operations page documents exactly this program's error codes: none is missing, none is obsolete.
#[test]
fn operations_page_lists_exactly_the_ops_error_codes() {
    let page = documented_codes(include_str!("../../../docs/operations.md"));
    let own: Vec<&str> = page.into_iter().filter(|code| code.starts_with("ops.")).collect();
    assert_eq!(own, CallError::CODES);
}
