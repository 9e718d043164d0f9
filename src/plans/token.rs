//! Session tokens: what a session's next read must not be older than, as a position in each log that the
//! session has written to or read from (version vectors as used for session guarantees: Terry and others,
//! 1994). The client carries the token. It does not say which sender holds what, so it stays valid across
//! changes of owner, restarts and takeovers.
//!
//! Its size is bounded: it names at most [`MAX_LOGS`] logs, those with the smallest names. Positions that do
//! not fit are not ignored: the token then states that it overflowed, and a log that it does not name is read
//! at its owner only.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::Serialize;

use crate::coded_error;
use crate::error_code::CodedError;
use crate::status::{Generation, LogId, Rank};

/// Maximum number of logs that a token names.
pub const MAX_LOGS: usize = 128;
/// Maximum length of a token's text, so that it fits into one header.
pub const MAX_TOKEN_LEN: usize = (HEAD + MAX_LOGS * ENTRY).div_ceil(3) * 4;
/// The version that is written, and the only one that is accepted.
pub const VERSION: u8 = 1;

/// Version, flags, tier, length of the rest, checksum.
const HEAD: usize = 1 + 1 + 4 + 2 + 4;
/// Maximum size of a log, bytes: a rank and a position as postcard varints, and a generation in fixed size.
const ENTRY: usize = 3 + 8 + 10;
const OVERFLOWED: u8 = 1;

/// A log in encoded form: owner, generation, position.
type Written = (Rank, [u8; 8], u64);

/// Why a text is not a valid token. Nothing is lost: the client still has what it sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum TokenError {
    /// It is longer than any token.
    #[error("session token of {0} characters exceeds the maximum of {MAX_TOKEN_LEN}")]
    Long(usize),
    /// It is not base64url without padding.
    #[error("session token is not base64url")]
    Text,
    /// Its end is missing.
    #[error("session token is truncated: {received} of {expected} bytes")]
    Truncated {
        /// Bytes received.
        received: usize,
        /// Bytes expected by its header.
        expected: usize,
    },
    /// It has another version.
    #[error("session token has version {0}, this sender reads version {VERSION}")]
    Version(u8),
    /// It belongs to another tier.
    #[error("session token belongs to another tier")]
    Foreign,
    /// Its checksum or its form is wrong.
    #[error("session token is corrupt: wrong checksum or form")]
    Corrupt,
}

impl TokenError {
    /// The stable error code.
    pub fn code(self) -> &'static str {
        CodedError::code(&self)
    }

    /// What an operator can do.
    pub fn remedy(self) -> &'static str {
        CodedError::remedy(&self)
    }
}

coded_error! { TokenError {
    Long => "token_long", "check whether a proxy between the client and the sender shortens or joins headers";
    Text => "token_text", "have the client send the token unchanged";
    Truncated => "token_cut",
        "check whether a proxy between the client and the sender shortens or joins headers";
    Version => "token_version", "finish the roll-out, so that all senders read it";
    Foreign => "token_foreign", "send the client to its own tier, or have it start a new session here";
    Corrupt => "token_spoilt", "have the client send the token unchanged";
} }

/// The positions below which a session's reads must not fall.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Token {
    seen: BTreeMap<LogId, u64>,
    overflowed: bool,
}

impl Token {
    /// Records that all changes of a log up to a number were seen. 0 for none.
    pub fn observe(&mut self, log: LogId, upto: u64) {
        if upto == 0 {
            return;
        }
        let known = self.seen.entry(log).or_default();
        *known = upto.max(*known);
        self.enforce_limit();
    }

    /// Merges another token: the greater position of each log. Commutative, associative, idempotent, also at
    /// the maximum size.
    pub fn merge(&mut self, other: &Self) {
        for (log, upto) in &other.seen {
            let known = self.seen.entry(*log).or_default();
            *known = (*upto).max(*known);
        }
        self.overflowed |= other.overflowed;
        self.enforce_limit();
    }

    /// Keeps the logs with the smallest names. A log that was dropped once would be dropped from every token
    /// that this one is merged into, so the position of a named log is always the greatest that was seen.
    fn enforce_limit(&mut self) {
        while self.seen.len() > MAX_LOGS {
            self.seen.pop_last();
            self.overflowed = true;
        }
    }

    /// The position up to which a log was seen, if it is named.
    pub fn upto(&self, log: LogId) -> Option<u64> {
        self.seen.get(&log).copied()
    }

    /// Whether more was seen than is named: a log that is not named is read at its owner only.
    pub fn overflowed(&self) -> bool {
        self.overflowed
    }

    /// The named logs, with their positions.
    pub fn logs(&self) -> impl Iterator<Item = (LogId, u64)> {
        self.seen.iter().map(|(log, upto)| (*log, *upto))
    }

    /// Whether it requires nothing.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty() && !self.overflowed
    }

    /// Whether reads that meet this token also meet the other one.
    pub fn covers(&self, other: &Self) -> bool {
        let upto = |log: LogId| self.upto(log).or(self.overflowed.then_some(u64::MAX)).unwrap_or(0);
        (self.overflowed || !other.overflowed) && other.logs().all(|(log, seen)| upto(log) >= seen)
    }

    /// The token without some logs, for a client that was informed of a loss and accepts it. None if it
    /// overflowed: with free entries, a log that was dropped before could come back with a smaller position.
    pub fn without(&self, logs: &[LogId]) -> Option<Self> {
        let mut token = self.clone();
        token.seen.retain(|log, _| !logs.contains(log));
        (!self.overflowed).then_some(token)
    }

    /// Encodes it as a header value of at most [`MAX_TOKEN_LEN`] characters.
    pub fn text(&self, tier: u32) -> String {
        let written = |(log, upto): (&LogId, &u64)| (log.owner, log.generation.0.to_le_bytes(), *upto);
        let mut body = Vec::with_capacity(self.seen.len() * ENTRY);
        for entry in self.seen.iter().map(written) {
            let entry: Written = entry;
            match postcard::to_stdvec(&entry) {
                Ok(bytes) => body.extend(bytes),
                // Encoding cannot fail; if it did, no reader would accept the result as a smaller token.
                Err(_) => body.push(0xff),
            }
        }
        let mut bytes = vec![VERSION, u8::from(self.overflowed) * OVERFLOWED];
        bytes.extend(tier.to_le_bytes());
        // At most `MAX_LOGS * ENTRY`.
        bytes.extend((body.len() as u16).to_le_bytes());
        bytes.extend(checksum(&bytes, &body).to_le_bytes());
        bytes.extend(body);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a header value as written by [`Token::text`] for the same tier.
    ///
    /// # Errors
    /// What is wrong with it; a token is accepted as a whole or not at all.
    pub fn read(text: &str, tier: u32) -> Result<Self, TokenError> {
        if text.len() > MAX_TOKEN_LEN {
            return Err(TokenError::Long(text.len()));
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| TokenError::Text)?;
        let version = *bytes.first().ok_or(TokenError::Truncated { received: 0, expected: HEAD })?;
        if version != VERSION {
            return Err(TokenError::Version(version));
        }
        let Some((head, body)) = bytes.split_at_checked(HEAD) else {
            return Err(TokenError::Truncated { received: bytes.len(), expected: HEAD });
        };
        let (head, sum) = head.split_at(HEAD - 4);
        let expected = usize::from(u16::from_le_bytes([head[6], head[7]]));
        if body.len() < expected {
            return Err(TokenError::Truncated { received: bytes.len(), expected: HEAD + expected });
        }
        if checksum(head, body).to_le_bytes() != sum || head[1] & !OVERFLOWED != 0 {
            return Err(TokenError::Corrupt);
        }
        if head[2..6] != tier.to_le_bytes() {
            return Err(TokenError::Foreign);
        }
        let mut seen = BTreeMap::new();
        let mut rest = body;
        while !rest.is_empty() {
            let ((owner, generation, upto), next): (Written, _) =
                postcard::take_from_bytes(rest).map_err(|_| TokenError::Corrupt)?;
            rest = next;
            let log = LogId { owner, generation: Generation(u64::from_le_bytes(generation)) };
            let next = seen.last_key_value().is_none_or(|(last, _)| *last < log);
            if !next || upto == 0 || seen.len() == MAX_LOGS {
                return Err(TokenError::Corrupt);
            }
            seen.insert(log, upto);
        }
        // A token that overflowed names the maximum number of logs: otherwise a log that was dropped could
        // come back with a smaller position.
        let overflowed = head[1] == OVERFLOWED;
        if overflowed && seen.len() < MAX_LOGS {
            return Err(TokenError::Corrupt);
        }
        Ok(Self { seen, overflowed })
    }
}

fn checksum(head: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    hasher.update(body);
    hasher.finalize()
}
