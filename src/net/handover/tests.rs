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

/// Guards a serving process against giving all away to a next one that is gone, or that could not read it.
#[tokio::test]
async fn only_what_can_be_read_and_has_a_reader_is_offered() -> io::Result<()> {
    let (here, there) = UnixStream::pair()?;
    drop(there);
    assert!(offer(here, &"all").await.is_err(), "nobody reads it");
    let (here, mut there) = UnixStream::pair()?;
    assert!(offer(here, &vec![0u8; FRAME_LIMIT as usize]).await.is_err(), "longer than is read");
    let mut told = Vec::new();
    assert_eq!(there.read_to_end(&mut told).await?, 0, "nothing of it is written");
    let (here, mut there) = UnixStream::pair()?;
    let Offered { mut stream, last } = offer(here, &"all").await?;
    let whole = frame(&"all")?;
    let mut told = vec![0; whole.len() - 1];
    there.read_exact(&mut told).await?;
    assert_eq!(told, whole[..whole.len() - 1]);
    stream.write_all(&[last]).await?;
    assert_eq!(there.read_u8().await?, whole[whole.len() - 1]);
    Ok(())
}

/// Guards the process that serves against a next one that reads nothing: the wait for it has an end.
#[tokio::test(start_paused = true)]
async fn who_does_not_read_is_not_waited_for() -> io::Result<()> {
    let (here, _there) = UnixStream::pair()?;
    let more_than_a_socket_holds = vec![0u8; 8 << 20];
    let begun = tokio::time::Instant::now();
    assert!(offer(here, &more_than_a_socket_holds).await.is_err());
    assert!(begun.elapsed() < TOLD_WITHIN * 2);
    Ok(())
}
