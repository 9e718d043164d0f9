//! What every error of this program has: a stable code, a text with the values involved, and a remedy for the
//! operator. The programs in the folders `ops` and `fleet` include this file too, and share nothing else.

use std::fmt::Display;

/// An error as operators see it: in an answer of the management address, in the log, on the command line.
pub trait CodedError: Display {
    /// The codes of all variants. `docs/operations.md` lists each, and tests compare the page with them.
    const CODES: &'static [&'static str];

    /// Identifies the error for programs. A code never changes its meaning.
    fn code(&self) -> &'static str;

    /// What an operator can do, in one line.
    fn remedy(&self) -> &'static str;
}

/// Implements [`CodedError`] for an error type from one table: a line for each variant, and `..Variant;` for
/// one that forwards to the error it wraps. A variant without a line does not compile.
#[macro_export]
macro_rules! coded_error {
    ($type:ty { $($variant:ident => $code:literal, $remedy:literal;)+ $(..$inner:ident;)* }) => {
        impl $crate::error_code::CodedError for $type {
            const CODES: &'static [&'static str] = &[$($code),+];

            fn code(&self) -> &'static str {
                match self {
                    $(Self::$variant { .. } => $code,)+
                    $(Self::$inner(why) => $crate::error_code::CodedError::code(why),)*
                }
            }

            fn remedy(&self) -> &'static str {
                match self {
                    $(Self::$variant { .. } => $remedy,)+
                    $(Self::$inner(why) => $crate::error_code::CodedError::remedy(why),)*
                }
            }
        }
    };
}

/// The codes in a page's table: the first column of the rows below the heading `Codes`.
#[cfg(test)]
pub fn documented_codes(page: &str) -> Vec<&str> {
    let (_, table) = page.split_once("\n## Codes\n").unwrap_or_default();
    let (table, _) = table.split_once("\n## ").unwrap_or((table, ""));
    table.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next()).collect()
}
