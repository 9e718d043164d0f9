//! The head of a submission: what its headers say, and why one is invalid.

use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use hyper::http::request::Parts;

use super::super::names::Names;

/// Why the head of a request is no valid submission. The text is the body of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// It has a transfer coding. hyper hides the length then, so that it cannot be checked that the two agree,
    /// and what follows on the connection cannot be trusted (request smuggling).
    #[error("Content-Length is required\n")]
    TransferCoding,
    /// It has no id.
    #[error("Req-Id is missing\n")]
    Id,
    /// Its class is unknown, or not the one of the path.
    #[error("Req-Kind or the path does not name a class\n")]
    Class,
    /// Its tenant is unknown.
    #[error("Req-Owner does not name a tenant\n")]
    Tenant,
    /// It has no destination.
    #[error("X-Consignee has no valid dest\n")]
    Destination,
    /// It has no deadline.
    #[error("Req-Deadline-Ms is not a number of milliseconds\n")]
    Deadline,
    /// Its key is invalid.
    #[error("Idempotency-Key is empty or not visible ASCII\n")]
    Key,
}

/// What the head of a submission says.
#[derive(Debug, PartialEq, Eq)]
pub struct SubmissionHead {
    /// The `Req-Id`.
    pub id: String,
    /// The `Idempotency-Key`.
    pub key: Option<String>,
    /// Position of its class in the settings.
    pub class: usize,
    /// Name of its class.
    pub class_name: String,
    /// Name of the tenant.
    pub owner: Option<String>,
    /// The destination.
    pub destination: u32,
    /// How long the message may still be delivered, milliseconds.
    pub time_left_ms: u32,
}

/// The value of a header, if it is present, visible ASCII and not empty.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim).filter(|text| !text.is_empty())
}

fn destination(headers: &HeaderMap) -> Option<u32> {
    let pairs = header_text(headers, "x-consignee")?;
    let mut pairs = pairs.split([',', ';']).filter_map(|pair| pair.split_once('='));
    pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse().ok()
}

fn key(headers: &HeaderMap) -> Result<Option<String>, HeadError> {
    if !headers.contains_key("idempotency-key") {
        return Ok(None);
    }
    let key = header_text(headers, "idempotency-key").ok_or(HeadError::Key)?;
    Ok(Some(key.to_owned()))
}

impl SubmissionHead {
    /// Reads the head of a request.
    ///
    /// # Errors
    /// Fails when it is no valid submission by these names.
    pub fn read(head: &Parts, names: &Names) -> Result<Self, HeadError> {
        let headers = &head.headers;
        if headers.contains_key(TRANSFER_ENCODING) {
            return Err(HeadError::TransferCoding);
        }
        let id = header_text(headers, "req-id").ok_or(HeadError::Id)?.to_owned();
        let path = head.uri.path_and_query().map_or("", |path| path.as_str()).trim_start_matches('/');
        let kind = header_text(headers, "req-kind").unwrap_or(path);
        let class = names.class(kind).filter(|_| kind == path).ok_or(HeadError::Class)?;
        let owner = header_text(headers, "req-owner").map(str::to_owned);
        if !names.accepts_tenant(owner.as_deref()) {
            return Err(HeadError::Tenant);
        }
        let destination = destination(headers).ok_or(HeadError::Destination)?;
        let time_left = header_text(headers, "req-deadline-ms").and_then(|ms| ms.parse().ok());
        let time_left_ms = time_left.ok_or(HeadError::Deadline)?;
        let key = key(headers)?;
        Ok(Self { id, key, class, class_name: kind.to_owned(), owner, destination, time_left_ms })
    }
}
