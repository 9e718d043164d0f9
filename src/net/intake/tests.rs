use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Writes these pieces half a second apart; returns what the peer receives, and after which time it is
/// disconnected.
async fn told(pieces: &[&str]) -> std::io::Result<(String, Duration)> {
    let (intake, _events) = intake(ServiceState::InService);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let local = tokio::task::LocalSet::new();
    local.spawn_local(intake.listen(listener.into(), 1));
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
            // Only the close matters, whether or not it is a reset.
            let _ = timeout(Duration::from_secs(600), peer.read_to_end(&mut told)).await;
            Ok((String::from_utf8_lossy(&told).into_owned(), begun.elapsed()))
        })
        .await
}

/// Peers that send nothing, or never complete a request, must not occupy the connections meant for clients.
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
        // Clients of the platform may keep an idle connection for 2 s.
        assert!(answer != "HTTP/1.1 404" || kept > Duration::from_secs(2), "{pieces:?}: {kept:?}");
    }
    Ok(())
}

/// Callers of `/ready` must not occupy the connections meant for clients.
#[tokio::test(start_paused = true)]
async fn a_look_at_readiness_keeps_no_connection() -> std::io::Result<()> {
    let (told, kept) = told(&["GET /ready HTTP/1.1\r\n\r\n"]).await?;
    assert!(told.starts_with("HTTP/1.1 200"), "{told}");
    assert!(kept < Duration::from_secs(1), "{kept:?}");
    Ok(())
}

/// Endless heads must not use up memory. A peer that is still writing may find its connection reset.
#[tokio::test(start_paused = true)]
async fn a_head_beyond_all_measure_is_refused() -> std::io::Result<()> {
    let pad = "p".repeat(200_000);
    let rest = "Req-Id: a\r\nX-Consignee: dest=7\r\nReq-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n";
    let (told, kept) = told(&[&format!("POST /order HTTP/1.1\r\nX-Pad: {pad}\r\n{rest}")]).await?;
    assert!(told.is_empty() || told.starts_with("HTTP/1.1 431"), "{told}");
    assert!(kept < Duration::from_secs(3), "{kept:?}");
    Ok(())
}

/// An intake with one class, and the receiver of its events.
fn intake(standing: ServiceState) -> (Rc<Intake>, tokio::sync::mpsc::UnboundedReceiver<Inbound>) {
    let (inbound, events) = tokio::sync::mpsc::unbounded_channel();
    let names = Names { classes: vec!["order".into()], ..Names::default() };
    let (_, standing) = watch::channel(standing);
    (Rc::new(Intake::new(Clock::new(), Rc::new(RefCell::new(names)), inbound, standing)), events)
}

fn handing_in(id: &str, length: usize) -> Vec<u8> {
    let head = "X-Consignee: dest=7\r\nReq-Deadline-Ms: 900";
    let body = "b".repeat(length);
    format!("POST /order HTTP/1.1\r\nReq-Id: {id}\r\n{head}\r\nContent-Length: {length}\r\n\r\n{body}").into()
}

/// Serves a client that has written all of `written` before its connection is accepted. Returns what the
/// client reads, and the ids of the submitted messages, all of which are accepted.
async fn crossing(written: Vec<u8>) -> std::io::Result<(std::io::Result<String>, Vec<String>)> {
    let (intake, mut events) = intake(ServiceState::OutOfService);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
    std::io::Write::write_all(&mut client, &written)?;
    client.set_nonblocking(true)?;
    let local = tokio::task::LocalSet::new();
    local.spawn_local(intake.listen(listener.into(), 1));
    local
        .run_until(async {
            let mut client = TcpStream::from_std(client)?;
            let mut ids = Vec::new();
            let mut told = Vec::new();
            let read = {
                let read = client.read_to_end(&mut told);
                tokio::pin!(read);
                loop {
                    tokio::select! {
                        read = &mut read => break read,
                        Some(said) = events.recv() => if let Inbound::Submitted(message) = said {
                            ids.push(message.taken.id);
                            let _ = message.answer.send(Answer::Taken);
                        },
                    }
                }
            };
            // A reset that follows the end of the stream would overtake the answer on a slower network.
            let read = read.and_then(|n| client.take_error()?.map_or(Ok(n), Err));
            Ok((read.map(|_| String::from_utf8_lossy(&told).into_owned()), ids))
        })
        .await
}

/// Closing a connection with unread bytes resets it, which could discard a written 202. Also, the next
/// request must not be accepted when it can no longer be answered.
#[tokio::test]
async fn a_last_answer_arrives_whole_though_the_next_request_is_there() -> std::io::Result<()> {
    // The second request is longer than what is read together with the first.
    let written = [handing_in("first", 9), handing_in("second", 40_000)].concat();
    let (told, ids) = crossing(written).await?;
    let told = told?;
    assert!(told.starts_with("HTTP/1.1 202") && told.matches("HTTP/1.1").count() == 1, "{told}");
    assert_eq!(ids, ["first"]);
    Ok(())
}

/// An early error must reach the client although closing with an unread body would reset the connection.
#[tokio::test]
async fn an_early_error_arrives_whole_though_the_body_is_unread() -> std::io::Result<()> {
    let coded = b"POST /order HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let strange = b"\x01\x02\x03\r\n\r\n".to_vec();
    let long = format!("POST /order HTTP/1.1\r\nX-Pad: {}\r\n", "p".repeat(2 * MAX_HEAD)).into();
    for (head, answer) in [(coded, "411"), (strange, "400"), (long, "431")] {
        let (told, ids) = crossing([head, vec![b'x'; 40_000]].concat()).await?;
        let told = told.unwrap_or_else(|e| panic!("{answer}: {e}"));
        assert!(told.starts_with(&format!("HTTP/1.1 {answer}")), "{told}");
        assert!(ids.is_empty());
    }
    Ok(())
}

/// Peers that stay connected after the last answer must not occupy the connections meant for clients.
#[tokio::test(start_paused = true)]
async fn a_lingering_close_is_over_in_time() -> std::io::Result<()> {
    let (intake, _events) = intake(ServiceState::InService);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let local = tokio::task::LocalSet::new();
    local.spawn_local(intake.listen(listener.into(), 1));
    local
        .run_until(async {
            let begun = Instant::now();
            let mut kept = Vec::new();
            for _ in 0..3 {
                let mut peer = TcpStream::connect(address).await?;
                peer.write_all(b"GET /ready HTTP/1.1\r\n\r\n").await?;
                let mut told = String::new();
                peer.read_to_string(&mut told).await?;
                assert!(told.starts_with("HTTP/1.1 200"), "{told}");
                kept.push(peer);
            }
            assert!(begun.elapsed() >= LINGER_TIMEOUT, "the next connection waits for a free slot");
            assert!(begun.elapsed() < LINGER_TIMEOUT * 3, "{:?}", begun.elapsed());
            Ok(())
        })
        .await
}

/// Requests written while the process ends must not be lost: connections in the listen backlog are served,
/// and count as open before their task has run.
#[tokio::test]
async fn whom_the_backlog_holds_at_the_end_is_served() -> std::io::Result<()> {
    let (intake, mut events) = intake(ServiceState::Stopping);
    let door = TcpListener::bind("127.0.0.1:0").await?;
    let mut clients = Vec::new();
    for id in ["first", "second"] {
        let mut client = std::net::TcpStream::connect(door.local_addr()?)?;
        std::io::Write::write_all(&mut client, &handing_in(id, 9))?;
        client.set_nonblocking(true)?;
        clients.push(TcpStream::from_std(client)?);
    }
    tokio::task::LocalSet::new()
        .run_until(async {
            intake.admit_backlog(&door, 1).await;
            assert_eq!(intake.open(), 1, "no more than the limit");
            intake.admit_backlog(&door, 9).await;
            assert_eq!(intake.open(), 2);
            drop(door);
            for _ in &clients {
                let Some(Inbound::Submitted(message)) = events.recv().await else { panic!("no submission") };
                let _ = message.answer.send(Answer::Taken);
            }
            for client in &mut clients {
                let mut told = [0; 12];
                client.read_exact(&mut told).await?;
                assert_eq!(&told, b"HTTP/1.1 202");
            }
            Ok(())
        })
        .await
}
