//! One call to a sender's management address, with a bound on its time and on what is read.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::Value;

/// An answer is no longer.
const LIMIT: usize = 4 << 20;

/// Asks for a path; what is told, or why there is nothing in one line.
///
/// # Errors
/// Fails when nothing comes in time, what comes can't be read, or the answer is a no.
pub fn get(address: SocketAddr, path: &str, within: Duration) -> Result<Value, String> {
    let until = Instant::now() + within;
    let left = || until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero());
    let late = || format!("no answer within {} ms", within.as_millis());
    let mut stream = TcpStream::connect_timeout(&address, within).map_err(|e| e.to_string())?;
    stream.set_write_timeout(Some(within)).map_err(|e| e.to_string())?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
    let (mut told, mut buffer) = (Vec::new(), [0; 16 * 1024]);
    loop {
        stream.set_read_timeout(Some(left().ok_or_else(late)?)).map_err(|e| e.to_string())?;
        match stream.read(&mut buffer) {
            Ok(0) => return read(&told),
            Ok(size) => told.extend_from_slice(&buffer[..size]),
            Err(_) if left().is_none() => return Err(late()),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Err(late()),
            Err(e) => return Err(e.to_string()),
        }
        if told.len() > LIMIT {
            return Err(format!("the answer is over {LIMIT} bytes"));
        }
    }
}

fn read(told: &[u8]) -> Result<Value, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut answer = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head)) = answer.parse(told) else {
        return Err("the answer can't be read".to_owned());
    };
    let body: Result<Value, _> = serde_json::from_slice(&told[head..]);
    match (answer.code, body) {
        (Some(200), Ok(body)) => Ok(body),
        (Some(200), Err(_)) => Err("the answer broke off".to_owned()),
        (code, body) => {
            let why = body.ok().and_then(|body| body["error"].as_str().map(str::to_owned));
            Err(why.unwrap_or_else(|| format!("status {}", code.unwrap_or(0))))
        }
    }
}
