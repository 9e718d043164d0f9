use super::*;

#[test]
fn read_returns_the_written_content_or_an_error() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("marks");
    assert!(read(&path)?.is_none());
    write(&path, b"first")?;
    write(&path, b"second")?;
    assert_eq!(read(&path)?.as_deref(), Some(&b"second"[..]));
    let whole = fs::read(&path)?;
    for end in 0..whole.len() {
        fs::write(&path, &whole[..end])?;
        assert!(read(&path).is_err(), "cut off at {end}");
    }
    for at in 0..whole.len() {
        let mut bad = whole.clone();
        bad[at] ^= 1;
        fs::write(&path, &bad)?;
        assert!(read(&path).is_err(), "changed at {at}");
    }
    Ok(())
}
