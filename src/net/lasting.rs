//! Small files in the folder that lasts, beside the journal: each is replaced as a whole, and carries a
//! checksum, so that what is read is what was written, or nothing.

use std::fs;
use std::io;
use std::path::Path;

/// Bytes of a file that are not its content.
const HEAD: usize = 8;

/// The content of a file; none if there is no such file.
///
/// # Errors
/// Fails when it can't be read, or is not what was written.
pub fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let spoilt = || io::Error::new(io::ErrorKind::InvalidData, "its checksum does not hold");
    let (head, content) = bytes.split_at_checked(HEAD).ok_or_else(spoilt)?;
    let expected = [(content.len() as u32).to_le_bytes(), crc32fast::hash(content).to_le_bytes()].concat();
    if head == expected { Ok(Some(content.to_vec())) } else { Err(spoilt()) }
}

/// Replaces a file. A process that is killed meanwhile leaves the old one or the new one.
///
/// # Errors
/// Fails when it can't be written; then the old one stays.
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
