use super::*;
use crate::error_code::{CodedError, documented_codes};

/// Guards the page: it has this program's codes, and no other of its kind.
#[test]
fn the_page_has_every_code_of_this_program() {
    let page = documented_codes(include_str!("../../../docs/operations.md"));
    let own: Vec<&str> = page.into_iter().filter(|code| code.starts_with("ops.")).collect();
    assert_eq!(own, NoWord::CODES);
}
