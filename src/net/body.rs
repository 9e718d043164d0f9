//! Reads bodies of requests. A chunk of a body keeps the whole buffer that it was read into, so a body that
//! comes in many small chunks must be copied out of them.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why a body cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyError {
    /// It is longer than the limit.
    TooLong,
    /// It breaks off.
    Truncated,
}

/// Copies a body of at most this many bytes into a buffer of its own.
///
/// # Errors
/// Fails when the body is longer or breaks off.
pub async fn copy(mut body: Incoming, max_bytes: usize) -> Result<Bytes, CopyError> {
    let announced = body.size_hint().exact().unwrap_or(0);
    let announced = usize::try_from(announced).ok().filter(|length| *length <= max_bytes);
    let mut whole = Vec::with_capacity(announced.ok_or(CopyError::TooLong)?);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CopyError::Truncated)?;
        // Trailers are ignored.
        let Ok(chunk) = frame.into_data() else { continue };
        if whole.len() + chunk.len() > max_bytes {
            return Err(CopyError::TooLong);
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.into())
}
