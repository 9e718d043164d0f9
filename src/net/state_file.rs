//! Small files in the state folder, besides the journal. Each is replaced as a whole and carries a checksum,
//! so that a read returns either exactly what was written or nothing.

use std::fs;
use std::io;
use std::path::Path;

/// Size of the header before the content: length and checksum, bytes.
const HEAD: usize = 8;

/// Reads the content of a file; `None` if there is no such file.
///
/// # Errors
/// Fails when the file cannot be read or is corrupt.
pub fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let corrupt = || io::Error::new(io::ErrorKind::InvalidData, "corrupt file: length or checksum mismatch");
    let (head, content) = bytes.split_at_checked(HEAD).ok_or_else(corrupt)?;
    let expected = [(content.len() as u32).to_le_bytes(), crc32fast::hash(content).to_le_bytes()].concat();
    if head == expected { Ok(Some(content.to_vec())) } else { Err(corrupt()) }
}

/// Replaces a file atomically: a process killed meanwhile leaves either the old file or the new one.
///
/// # Errors
/// Fails when the file cannot be written; then the old one stays.
pub fn write(path: &Path, content: &[u8]) -> io::Result<()> {
    let mut bytes = (content.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(content).to_le_bytes());
    bytes.extend(content);
    let new = path.with_extension("new");
    let written = fs::write(&new, bytes).and_then(|()| fs::rename(&new, path));
    if written.is_err() {
        let _ = fs::remove_file(&new);
    }
    written
}

#[cfg(test)]
mod tests;
