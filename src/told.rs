//! What every error of this program tells: a code that stays, what happened with which values (its text), and what
//! an operator can do. The programs of the folders `ops` and `fleet` read this file too, and share nothing else.

use std::fmt::Display;

/// An error as operators get it: in an answer of the management address, in the log, on the command line.
pub trait Told: Display {
    /// The codes of all variants; `docs/operations.md` has each, and tests hold the page against them.
    const CODES: &'static [&'static str];

    /// Names what happened, for programs. It never changes its meaning.
    fn code(&self) -> &'static str;

    /// What an operator can do, in one line.
    fn remedy(&self) -> &'static str;
}

/// Gives an error type its [`Told`] from one table: a line for each variant, `..Variant;` for one that hands on
/// another error's. A variant without a line does not compile.
#[macro_export]
macro_rules! told {
    ($type:ty { $($variant:ident => $code:literal, $remedy:literal;)+ $(..$inner:ident;)* }) => {
        impl $crate::told::Told for $type {
            const CODES: &'static [&'static str] = &[$($code),+];

            fn code(&self) -> &'static str {
                match self {
                    $(Self::$variant { .. } => $code,)+
                    $(Self::$inner(why) => $crate::told::Told::code(why),)*
                }
            }

            fn remedy(&self) -> &'static str {
                match self {
                    $(Self::$variant { .. } => $remedy,)+
                    $(Self::$inner(why) => $crate::told::Told::remedy(why),)*
                }
            }
        }
    };
}

/// The codes in the table of a page: the first column of the rows behind the heading `Codes`.
#[cfg(test)]
pub fn listed(page: &str) -> Vec<&str> {
    let (_, table) = page.split_once("\n## Codes\n").unwrap_or_default();
    let (table, _) = table.split_once("\n## ").unwrap_or((table, ""));
    table.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next()).collect()
}
