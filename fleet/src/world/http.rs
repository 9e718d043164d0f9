//! Parses HTTP requests from a conduit, and keeps the times of their first and last bytes.

use std::collections::HashMap;

use bytes::Bytes;

use crate::Micros;
use crate::links::tcp::Conduit;

/// Maximum headers of a request.
const MAX_HEADERS: usize = 64;
/// Maximum bytes of a request's head and body.
const MAX_REQUEST_BYTES: usize = 4 << 20;

/// A request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path and query.
    pub path: String,
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
    /// When its first byte was written.
    pub first: Micros,
    /// When its last byte was written.
    pub last: Micros,
}

impl Request {
    /// A numeric parameter of the query.
    pub fn query(&self, name: &str) -> Option<u64> {
        let query = self.path.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

/// Bytes received on a connection that were not parsed yet.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    first: Option<Micros>,
    last: Micros,
}

impl Reader {
    /// The next request; `None` at the end of the connection or for malformed input.
    pub async fn next(&mut self, conduit: &mut Conduit) -> Option<Request> {
        loop {
            if let Some(request) = self.take()? {
                return Some(request);
            }
            if self.buffer.len() > MAX_REQUEST_BYTES {
                return None;
            }
            let piece = conduit.receive().await?;
            self.first.get_or_insert(piece.written);
            self.last = piece.written;
            self.buffer.extend_from_slice(&piece.bytes);
        }
    }

    /// `Some(Some(_))` for a complete request, `Some(None)` for an incomplete one, `None` for malformed
    /// input.
    #[allow(clippy::option_option)]
    fn take(&mut self) -> Option<Option<Request>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let head = match parsed.parse(&self.buffer).ok()? {
            httparse::Status::Complete(head) => head,
            httparse::Status::Partial => return Some(None),
        };
        let headers: HashMap<String, String> = parsed
            .headers
            .iter()
            .map(|h| (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).trim().to_owned()))
            .collect();
        let length = headers.get("content-length").map_or(Some(0), |n| n.parse::<usize>().ok())?;
        if self.buffer.len() < head + length {
            return Some(None);
        }
        let (method, path) = (parsed.method?.to_owned(), parsed.path?.to_owned());
        let body = self.buffer[head..head + length].to_vec();
        self.buffer.drain(..head + length);
        let (first, last) = (self.first.unwrap_or(self.last), self.last);
        // The remaining bytes arrived with the last piece.
        self.first = (!self.buffer.is_empty()).then_some(self.last);
        Some(Some(Request { method, path, headers, body, first, last }))
    }
}

/// Encodes an answer.
pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8]) -> Bytes {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes.into()
}
