//! HTTP as the bench needs it here: requests are read whole, one after another on a connection, and calls are made one a
//! connection or one after another.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Headers of a message at most.
const HEADERS: usize = 32;
/// A piece that is read at once, bytes.
const PIECE: usize = 16 * 1024;
/// A call that is not answered within this time has failed.
const ANSWER: Duration = Duration::from_secs(5);

/// A request, as far as it is looked at.
pub struct Asked {
    /// Its method.
    pub method: String,
    /// Its path with the query.
    pub path: String,
    /// The header `Req-Id`.
    pub id: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Asked {
    /// A figure of the query.
    pub fn query(&self, name: &str) -> Option<u64> {
        let query = self.path.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

/// Reads messages off a connection.
pub struct Reader {
    buffer: Vec<u8>,
}

/// The length of a message whose head is there, and what is read of it.
type Whole<T> = Option<(usize, T)>;

impl Reader {
    /// One that has read nothing yet.
    pub fn new() -> Self {
        Self { buffer: Vec::with_capacity(PIECE) }
    }

    /// The next request; nothing at the connection's end, or when what comes is no request.
    pub async fn request(&mut self, stream: &mut TcpStream) -> Option<Asked> {
        self.next(stream, request).await
    }

    /// The status of the next answer; nothing at the connection's end, or when what comes is no answer.
    pub async fn status(&mut self, stream: &mut TcpStream) -> Option<u16> {
        self.next(stream, status).await
    }

    async fn next<T>(
        &mut self,
        stream: &mut TcpStream,
        read: impl Fn(&[u8]) -> Option<Whole<T>>,
    ) -> Option<T> {
        loop {
            if let Some((length, message)) = read(&self.buffer)?
                && self.buffer.len() >= length
            {
                self.buffer.drain(..length);
                return Some(message);
            }
            if stream.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
    }
}

fn length(headers: &[httparse::Header<'_>]) -> usize {
    let length = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok()).unwrap_or(0)
}

fn request(buffer: &[u8]) -> Option<Whole<Asked>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(buffer).ok()? else { return Some(None) };
    let id = parsed.headers.iter().find(|header| header.name.eq_ignore_ascii_case("req-id"));
    let id = id.map(|header| String::from_utf8_lossy(header.value).into_owned());
    let (method, path) = (parsed.method?.to_owned(), parsed.path?.to_owned());
    let whole = head + length(parsed.headers);
    let body = buffer.get(head..whole).unwrap_or_default().to_vec();
    Some(Some((whole, Asked { method, path, id, body })))
}

fn status(buffer: &[u8]) -> Option<Whole<u16>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(buffer).ok()? else { return Some(None) };
    Some(Some((head + length(parsed.headers), parsed.code?)))
}

/// Asks a sender's operators' address for JSON; nothing if it does not answer with that.
pub async fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: mgmt\r\n\r\n");
        stream.write_all(request.as_bytes()).await.ok()?;
        let mut told = Vec::new();
        stream.read_to_end(&mut told).await.ok()?;
        let head = told.windows(4).position(|four| four == b"\r\n\r\n")?;
        serde_json::from_slice(&told[head + 4..]).ok()
    };
    tokio::time::timeout(ANSWER, asked).await.ok()?
}

/// A client of a sender, on a connection that is kept.
pub struct Client {
    stream: TcpStream,
    reader: Reader,
}

/// What a client hands in.
pub struct Handed<'a> {
    /// The message's id.
    pub id: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its destination.
    pub destination: u64,
    /// Its time, milliseconds.
    pub deadline_ms: u64,
    /// Its body.
    pub body: &'a [u8],
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    /// Fails when the sender takes no connection.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, reader: Reader::new() })
    }

    /// Hands a message in and tells the status that it was answered with; nothing if the connection broke, or after 5 s.
    pub async fn hand(&mut self, message: &Handed<'_>) -> Option<u16> {
        let Handed { id, class, destination, deadline_ms, body } = message;
        let mut request = format!(
            "POST /{class} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
             Req-Owner: {}\r\nIdempotency-Key: {id}\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
             X-Consignee: dest={destination}\r\nContent-Length: {}\r\n\r\n",
            crate::world::clients::TENANT,
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        let asked = async {
            self.stream.write_all(&request).await.ok()?;
            self.reader.status(&mut self.stream).await
        };
        tokio::time::timeout(ANSWER, asked).await.ok()?
    }
}
