use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// What a peer is told that writes these pieces, half a second apart, and how long it is kept.
async fn told(pieces: &[&str]) -> std::io::Result<(String, Duration)> {
    let (inbound, _events) = tokio::sync::mpsc::unbounded_channel();
    let names = Names { classes: vec!["order".into()], ..Names::default() };
    let (_standing, standing) = watch::channel(Standing::InService);
    let names = Rc::new(RefCell::new(names));
    let intake = Rc::new(Intake::new(Clock::new(), names, inbound, standing));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let local = tokio::task::LocalSet::new();
    local.spawn_local(intake.listen(listener, 1));
    local
        .run_until(async {
            let mut peer = TcpStream::connect(address).await?;
            let begun = Instant::now();
            for (n, piece) in pieces.iter().enumerate() {
                tokio::time::sleep(Duration::from_millis(if n == 0 { 0 } else { 500 })).await;
                if peer.write_all(piece.as_bytes()).await.is_err() {
                    break;
                }
            }
            let mut told = Vec::new();
            // That it closes is what counts, with a reset or without.
            let _ = timeout(Duration::from_secs(600), peer.read_to_end(&mut told)).await;
            Ok((String::from_utf8_lossy(&told).into_owned(), begun.elapsed()))
        })
        .await
}

/// Guards the places for clients against peers that bring nothing, or never come to an end.
#[tokio::test(start_paused = true)]
async fn whoever_brings_no_whole_request_is_answered_or_closed_in_time() -> std::io::Result<()> {
    let head = "POST /order HTTP/1.1\r\nReq-Id: a\r\nX-Consignee: dest=7\r\nReq-Deadline-Ms: 900\r\n";
    let begun = format!("{head}Content-Length: 9\r\n\r\nbody");
    let other = "GET /other HTTP/1.1\r\n\r\n";
    for (pieces, answer) in [
        (vec![], ""),
        (vec![head], ""),
        (head.split_inclusive('\n').collect(), ""),
        (vec![begun.as_str()], "HTTP/1.1 408"),
        (vec![begun.as_str(), "o", "f", " "], "HTTP/1.1 408"),
        (vec![other], "HTTP/1.1 404"),
    ] {
        let (told, kept) = told(&pieces).await?;
        assert!(told.starts_with(answer) && told.is_empty() == answer.is_empty(), "{pieces:?}: {told}");
        assert!(kept < Duration::from_secs(3), "{pieces:?}: {kept:?}");
        // The platform's clients may keep an idle connection for 2 s.
        assert!(answer != "HTTP/1.1 404" || kept > Duration::from_secs(2), "{pieces:?}: {kept:?}");
    }
    Ok(())
}

/// Guards the places for clients against those who look and stay.
#[tokio::test(start_paused = true)]
async fn a_look_at_readiness_keeps_no_connection() -> std::io::Result<()> {
    let (told, kept) = told(&["GET /ready HTTP/1.1\r\n\r\n"]).await?;
    assert!(told.starts_with("HTTP/1.1 200"), "{told}");
    assert!(kept < Duration::from_secs(1), "{kept:?}");
    Ok(())
}

/// Guards the memory against heads without end; whoever still writes may find the connection reset.
#[tokio::test(start_paused = true)]
async fn a_head_beyond_all_measure_is_refused() -> std::io::Result<()> {
    let pad = "p".repeat(200_000);
    let rest = "Req-Id: a\r\nX-Consignee: dest=7\r\nReq-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n";
    let (told, kept) = told(&[&format!("POST /order HTTP/1.1\r\nX-Pad: {pad}\r\n{rest}")]).await?;
    assert!(told.is_empty() || told.starts_with("HTTP/1.1 431"), "{told}");
    assert!(kept < Duration::from_secs(3), "{kept:?}");
    Ok(())
}
