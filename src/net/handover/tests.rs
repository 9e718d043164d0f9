use super::*;

/// The folder must never have two owners, even if the request to the old process gets no answer.
#[tokio::test(start_paused = true)]
async fn a_folder_has_one_owner_at_a_time() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let (first, before) = acquire_folder(folder.path()).await?;
    assert!(before.is_none());
    let second = timeout(Duration::from_secs(60), acquire_folder(folder.path())).await;
    assert!(second.is_err(), "the claim waits while another process owns the folder");
    drop(first);
    acquire_folder(folder.path()).await?;
    Ok(())
}

/// A serving process must not hand over to a peer that connects to the socket but is no successor.
#[tokio::test(start_paused = true)]
async fn only_a_peer_that_sends_the_request_becomes_successor() -> io::Result<()> {
    let folder = tempfile::tempdir()?;
    let asked = wait_for_successor(folder.path());
    let calls = async {
        let path = folder.path().join(SOCKET);
        // The socket exists once the other future has been polled.
        while !path.exists() {
            tokio::task::yield_now().await;
        }
        drop(UnixStream::connect(&path).await?);
        let silent = UnixStream::connect(&path).await?;
        let mut strange = UnixStream::connect(&path).await?;
        strange.write_all(b"GET / HTTP/1.1\r\n\r\n").await?;
        let mut next = UnixStream::connect(&path).await?;
        next.write_all(REQUEST).await?;
        next.write_all(b"!").await?;
        Ok::<_, io::Error>((silent, strange, next))
    };
    let (taken, calls) = tokio::join!(asked, calls);
    let _calls = calls?;
    assert_eq!(taken?.read_u8().await?, b'!');
    Ok(())
}

/// A serving process must not give up its state to a successor that is gone or could not decode it.
#[tokio::test]
async fn handover_is_not_prepared_for_a_closed_peer_or_an_oversized_state() -> io::Result<()> {
    let (here, there) = UnixStream::pair()?;
    drop(there);
    assert!(prepare_handover(here, &"all").await.is_err(), "the peer has closed");
    let (here, mut there) = UnixStream::pair()?;
    assert!(
        prepare_handover(here, &vec![0u8; MAX_FRAME as usize]).await.is_err(),
        "longer than the frame limit"
    );
    let mut received = Vec::new();
    assert_eq!(there.read_to_end(&mut received).await?, 0, "no part of it is written");
    let (here, mut there) = UnixStream::pair()?;
    let PreparedHandover { mut stream, last } = prepare_handover(here, &"all").await?;
    let whole = frame(&"all")?;
    let mut received = vec![0; whole.len() - 1];
    there.read_exact(&mut received).await?;
    assert_eq!(received, whole[..whole.len() - 1]);
    stream.write_all(&[last]).await?;
    assert_eq!(there.read_u8().await?, whole[whole.len() - 1]);
    Ok(())
}

/// A serving process must not wait forever for a successor that reads nothing.
#[tokio::test(start_paused = true)]
async fn handover_to_a_peer_that_does_not_read_times_out() -> io::Result<()> {
    let (here, _there) = UnixStream::pair()?;
    let more_than_a_socket_holds = vec![0u8; 8 << 20];
    let begun = tokio::time::Instant::now();
    assert!(prepare_handover(here, &more_than_a_socket_holds).await.is_err());
    assert!(begun.elapsed() < TRANSFER_TIMEOUT * 2);
    Ok(())
}
