//! A configuration with a long list of endpoints. The list is taken out of the text, so that the rest of the document
//! keeps its bound and is checked like any other; what was taken out is read as discovery's lists are. Beside the text,
//! which is held once, a copy of the rest is held, of [`LARGEST`] bytes at most.

use std::borrow::Cow;
use std::io::{Cursor, Read};
use std::ops::Range;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::{Fault, LARGEST};
use crate::endpoints::reader::{self, List};
use crate::endpoints::{Bounds, ListError};
use crate::told::Told;

/// Where the list stands.
const KEY: &str = "known.endpoints";

/// A document's text and its list.
#[derive(Debug, PartialEq, Eq)]
pub struct Apart<'a> {
    /// The text; the list in it is empty if it was taken out.
    pub text: Cow<'a, [u8]>,
    /// The list's text, if it was taken out.
    pub list: Option<&'a [u8]>,
}

#[derive(Deserialize)]
struct Document<'a> {
    #[serde(borrow)]
    known: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Known<'a> {
    #[serde(borrow)]
    endpoints: Option<&'a RawValue>,
}

/// Bytes of a document with its list at most, where the list may have so many.
pub fn most_bytes(bounds: &Bounds) -> u64 {
    bounds.bytes.saturating_add(LARGEST as u64)
}

/// Takes the list out of a text of more than [`LARGEST`] bytes; any other text is left as it is.
///
/// # Errors
/// Tells that a long text is not JSON, or too long without its list.
pub fn apart<'a>(text: &'a [u8], bounds: &Bounds) -> Result<Apart<'a>, Vec<Fault>> {
    if text.len() <= LARGEST {
        return Ok(Apart { text: text.into(), list: None });
    }
    let whole = |value: String, expected: String| vec![Fault::new("", value, expected)];
    if text.len() as u64 > most_bytes(bounds) {
        let (value, most) = (format!("over {} bytes", most_bytes(bounds)), most_bytes(bounds));
        return Err(whole(value, format!("at most {most} bytes with its list {KEY}")));
    }
    let list = place(text).map_err(|e| whole(e.to_string(), "JSON".to_owned()))?;
    let length = text.len() - list.as_ref().map_or(0, Range::len);
    if length > LARGEST {
        return Err(whole(
            format!("{length} bytes"),
            format!("at most {LARGEST} bytes without its list {KEY}"),
        ));
    }
    Ok(match list {
        None => Apart { text: text.into(), list: None },
        Some(place) => {
            let rest = [&text[..place.start], b"[]", &text[place.end..]].concat();
            Apart { text: rest.into(), list: Some(&text[place]) }
        }
    })
}

/// Where the list stands in a text, if it has one.
fn place(text: &[u8]) -> serde_json::Result<Option<Range<usize>>> {
    let document: Document = serde_json::from_slice(text)?;
    // What is no object is told where the document is checked.
    let known = document.known.and_then(|known| serde_json::from_str::<Known>(known.get()).ok());
    let list = known.and_then(|known| known.endpoints).map(RawValue::get);
    Ok(list.filter(|list| list.starts_with('[')).map(|list| {
        let start = list.as_ptr() as usize - text.as_ptr() as usize;
        start..start + list.len()
    }))
}

/// Reads a list that was taken out, of this version.
///
/// # Errors
/// Tells why it is not taken, and what can be done.
pub fn read(list: &[u8], index: u64, bounds: &Bounds) -> Result<List, Fault> {
    let head = format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":");
    let text = Cursor::new(head).chain(list).chain(&b"}"[..]);
    reader::read(text, bounds).map_err(|why| fault(&why))
}

fn fault(why: &ListError) -> Fault {
    let value: String =
        format!("{}: {why}", why.code()).replace(['\n', '\r'], " ").chars().take(200).collect();
    Fault::new(KEY, value, format!("a list that can be taken ({})", why.remedy()))
}
