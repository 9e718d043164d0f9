//! A configuration with a long list of endpoints. The list is cut out of the text, so that the size limit
//! applies to the rest of the document, which is checked like any other; the list is parsed like discovery's
//! lists. In memory are the text, once, and a copy of the rest, of at most [`MAX_DOCUMENT_BYTES`] bytes.

use std::borrow::Cow;
use std::io::{Cursor, Read};
use std::ops::Range;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::{Fault, MAX_DOCUMENT_BYTES};
use crate::endpoints::reader::{self, List};
use crate::endpoints::{Bounds, ListError};
use crate::error_code::CodedError;

/// Path of the list in the document.
const KEY: &str = "known.endpoints";

/// A document's text, and its list if that was cut out.
#[derive(Debug, PartialEq, Eq)]
pub struct SplitDocument<'a> {
    /// The text; its list is empty if it was cut out.
    pub text: Cow<'a, [u8]>,
    /// The list's text, if it was cut out.
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

/// Maximum size of a document with its list, in bytes.
pub fn max_bytes(bounds: &Bounds) -> u64 {
    bounds.bytes.saturating_add(MAX_DOCUMENT_BYTES as u64)
}

/// Cuts the list out of a text of more than [`MAX_DOCUMENT_BYTES`] bytes; any other text is left as it is.
///
/// # Errors
/// Fails if a long text is not JSON, too long as a whole, or too long without its list.
pub fn split<'a>(text: &'a [u8], bounds: &Bounds) -> Result<SplitDocument<'a>, Vec<Fault>> {
    if text.len() <= MAX_DOCUMENT_BYTES {
        return Ok(SplitDocument { text: text.into(), list: None });
    }
    let whole = |value: String, expected: String| vec![Fault::new("", value, expected)];
    if text.len() as u64 > max_bytes(bounds) {
        let (value, most) = (format!("over {} bytes", max_bytes(bounds)), max_bytes(bounds));
        return Err(whole(value, format!("at most {most} bytes with its list {KEY}")));
    }
    let list = place(text).map_err(|e| whole(e.to_string(), "JSON".to_owned()))?;
    let length = text.len() - list.as_ref().map_or(0, Range::len);
    if length > MAX_DOCUMENT_BYTES {
        return Err(whole(
            format!("{length} bytes"),
            format!("at most {MAX_DOCUMENT_BYTES} bytes without its list {KEY}"),
        ));
    }
    Ok(match list {
        None => SplitDocument { text: text.into(), list: None },
        Some(place) => {
            let rest = [&text[..place.start], b"[]", &text[place.end..]].concat();
            SplitDocument { text: rest.into(), list: Some(&text[place]) }
        }
    })
}

/// The position of the list in a text, if it has one.
fn place(text: &[u8]) -> serde_json::Result<Option<Range<usize>>> {
    let document: Document = serde_json::from_slice(text)?;
    // A value that is not an object is reported by the check of the document.
    let known = document.known.and_then(|known| serde_json::from_str::<Known>(known.get()).ok());
    let list = known.and_then(|known| known.endpoints).map(RawValue::get);
    Ok(list.filter(|list| list.starts_with('[')).map(|list| {
        let start = list.as_ptr() as usize - text.as_ptr() as usize;
        start..start + list.len()
    }))
}

/// Parses a list that was cut out, as the version `index`.
///
/// # Errors
/// Returns why the list is rejected, and the remedy.
pub fn read(list: &[u8], index: u64, bounds: &Bounds) -> Result<List, Fault> {
    let head = format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":");
    let text = Cursor::new(head).chain(list).chain(&b"}"[..]);
    reader::read(text, bounds).map_err(|why| fault(&why))
}

fn fault(why: &ListError) -> Fault {
    let value: String =
        format!("{}: {why}", why.code()).replace(['\n', '\r'], " ").chars().take(200).collect();
    Fault::new(KEY, value, format!("a valid list of endpoints ({})", why.remedy()))
}
