//! Work in hand survives the loss of its sender. [`lots`] decides who owns what; `docs/takeover.md` has the argument.

pub mod lots;
