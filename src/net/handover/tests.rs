use super::*;

/// Guards the folder against two owners, whatever becomes of the asking.
#[tokio::test(start_paused = true)]
async fn a_folder_has_one_owner_at_a_time() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let (first, before) = claim(folder.path()).await?;
    assert!(before.is_none());
    let second = timeout(Duration::from_secs(60), claim(folder.path())).await;
    assert!(second.is_err(), "it waits while the folder is another's");
    drop(first);
    claim(folder.path()).await?;
    Ok(())
}

/// Guards a serving process against whoever finds the socket and is no successor.
#[tokio::test(start_paused = true)]
async fn only_who_asks_for_it_takes_over() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let asked = successor(folder.path());
    let calls = async {
        let path = folder.path().join(SOCKET);
        // The listener is there once the other future has been polled.
        while !path.exists() {
            tokio::task::yield_now().await;
        }
        drop(UnixStream::connect(&path).await?);
        let silent = UnixStream::connect(&path).await?;
        let mut strange = UnixStream::connect(&path).await?;
        strange.write_all(b"GET / HTTP/1.1\r\n\r\n").await?;
        let mut next = UnixStream::connect(&path).await?;
        next.write_all(ASK).await?;
        next.write_all(b"!").await?;
        Ok::<_, io::Error>((silent, strange, next))
    };
    let (taken, calls) = tokio::join!(asked, calls);
    let _calls = calls?;
    assert_eq!(taken?.read_u8().await?, b'!');
    Ok(())
}
