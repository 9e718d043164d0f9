use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Writes these pieces half a second apart; returns what the peer receives, and after which time it is
/// disconnected.
async fn response_to(pieces: &[&str]) -> std::io::Result<(String, Duration)> {
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
            let mut response = Vec::new();
            // Only the close matters, whether or not it is a reset.
            let _ = timeout(Duration::from_secs(600), peer.read_to_end(&mut response)).await;
            Ok((String::from_utf8_lossy(&response).into_owned(), begun.elapsed()))
        })
        .await
}

/// Peers that send nothing, or never complete a request, must not occupy the connections meant for clients.
#[tokio::test(start_paused = true)]
async fn incomplete_requests_are_answered_or_closed_in_time() -> std::io::Result<()> {
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
        let (response, open_for) = response_to(&pieces).await?;
        assert!(
            response.starts_with(answer) && response.is_empty() == answer.is_empty(),
            "{pieces:?}: {response}"
        );
        assert!(open_for < Duration::from_secs(3), "{pieces:?}: {open_for:?}");
        // Clients of the platform may keep an idle connection for 2 s.
        assert!(answer != "HTTP/1.1 404" || open_for > Duration::from_secs(2), "{pieces:?}: {open_for:?}");
    }
    Ok(())
}

/// Callers of `/ready` must not occupy the connections meant for clients.
#[tokio::test(start_paused = true)]
async fn readiness_request_closes_its_connection() -> std::io::Result<()> {
    let (response, open_for) = response_to(&["GET /ready HTTP/1.1\r\n\r\n"]).await?;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(open_for < Duration::from_secs(1), "{open_for:?}");
    Ok(())
}

/// Endless heads must not use up memory. A peer that is still writing may find its connection reset.
#[tokio::test(start_paused = true)]
async fn oversized_head_is_rejected() -> std::io::Result<()> {
    let pad = "p".repeat(200_000);
    let rest = "Req-Id: a\r\nX-Consignee: dest=7\r\nReq-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n";
    let (response, open_for) =
        response_to(&[&format!("POST /order HTTP/1.1\r\nX-Pad: {pad}\r\n{rest}")]).await?;
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");
    assert!(open_for < Duration::from_secs(3), "{open_for:?}");
    Ok(())
}

/// An intake with one class, and the receiver of its events.
fn intake(standing: ServiceState) -> (Rc<Intake>, tokio::sync::mpsc::UnboundedReceiver<Inbound>) {
    let (inbound, events) = tokio::sync::mpsc::unbounded_channel();
    let names = Names { classes: vec!["order".into()], ..Names::default() };
    let (_, standing) = watch::channel(standing);
    let (counters, bodies) = (Rc::default(), BufferBudget::new(BODY_LIMIT));
    let names = Rc::new(RefCell::new(names));
    (Rc::new(Intake::new(Clock::continuing(None), names, inbound, standing, counters, bodies)), events)
}

fn handing_in(id: &str, length: usize) -> Vec<u8> {
    let head = "X-Consignee: dest=7\r\nReq-Deadline-Ms: 900";
    let body = "b".repeat(length);
    format!("POST /order HTTP/1.1\r\nReq-Id: {id}\r\n{head}\r\nContent-Length: {length}\r\n\r\n{body}").into()
}

/// Serves a client that has written all of `written` before its connection is accepted. Returns what the
/// client reads, and the ids of the submitted messages, all of which are accepted.
async fn serve_written(written: Vec<u8>) -> std::io::Result<(std::io::Result<String>, Vec<String>)> {
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
            let mut response = Vec::new();
            let read = {
                let read = client.read_to_end(&mut response);
                tokio::pin!(read);
                loop {
                    tokio::select! {
                        read = &mut read => break read,
                        Some(event) = events.recv() => if let Inbound::Submitted(message) = event {
                            ids.push(message.taken.id);
                            let _ = message.answer.send(Answer::Taken);
                        },
                    }
                }
            };
            // A reset that follows the end of the stream would overtake the answer on a slower network.
            let read = read.and_then(|n| client.take_error()?.map_or(Ok(n), Err));
            Ok((read.map(|_| String::from_utf8_lossy(&response).into_owned()), ids))
        })
        .await
}

/// Closing a connection with unread bytes resets it, which could discard a written 202. Also, the next
/// request must not be accepted when it can no longer be answered.
#[tokio::test]
async fn last_answer_arrives_complete_with_a_pipelined_request() -> std::io::Result<()> {
    // The second request is longer than what is read together with the first.
    let written = [handing_in("first", 9), handing_in("second", 40_000)].concat();
    let (response, ids) = serve_written(written).await?;
    let response = response?;
    assert!(response.starts_with("HTTP/1.1 202") && response.matches("HTTP/1.1").count() == 1, "{response}");
    assert_eq!(ids, ["first"]);
    Ok(())
}

/// An early error must reach the client although closing with an unread body would reset the connection.
#[tokio::test]
async fn early_error_arrives_complete_with_an_unread_body() -> std::io::Result<()> {
    let coded = b"POST /order HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let strange = b"\x01\x02\x03\r\n\r\n".to_vec();
    let long = format!("POST /order HTTP/1.1\r\nX-Pad: {}\r\n", "p".repeat(2 * MAX_HEAD)).into();
    for (head, answer) in [(coded, "411"), (strange, "400"), (long, "431")] {
        let (response, ids) = serve_written([head, vec![b'x'; 40_000]].concat()).await?;
        let response = response.unwrap_or_else(|e| panic!("{answer}: {e}"));
        assert!(response.starts_with(&format!("HTTP/1.1 {answer}")), "{response}");
        assert!(ids.is_empty());
    }
    Ok(())
}

/// Peers that stay connected after the last answer must not occupy the connections meant for clients.
#[tokio::test(start_paused = true)]
async fn lingering_close_ends_in_time() -> std::io::Result<()> {
    let (intake, _events) = intake(ServiceState::InService);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let local = tokio::task::LocalSet::new();
    local.spawn_local(intake.listen(listener.into(), 1));
    local
        .run_until(async {
            let begun = Instant::now();
            let mut peers = Vec::new();
            for _ in 0..3 {
                let mut peer = TcpStream::connect(address).await?;
                peer.write_all(b"GET /ready HTTP/1.1\r\n\r\n").await?;
                let mut response = String::new();
                peer.read_to_string(&mut response).await?;
                assert!(response.starts_with("HTTP/1.1 200"), "{response}");
                peers.push(peer);
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
async fn backlog_connections_are_served_at_the_end() -> std::io::Result<()> {
    let (intake, mut events) = intake(ServiceState::Stopping);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut clients = Vec::new();
    for id in ["first", "second"] {
        let mut client = std::net::TcpStream::connect(listener.local_addr()?)?;
        std::io::Write::write_all(&mut client, &handing_in(id, 9))?;
        client.set_nonblocking(true)?;
        clients.push(TcpStream::from_std(client)?);
    }
    tokio::task::LocalSet::new()
        .run_until(async {
            intake.admit_backlog(&listener, 1).await;
            assert_eq!(intake.open(), 1, "no more than the limit");
            intake.admit_backlog(&listener, 9).await;
            assert_eq!(intake.open(), 2);
            drop(listener);
            for _ in &clients {
                let Some(Inbound::Submitted(message)) = events.recv().await else { panic!("no submission") };
                let _ = message.answer.send(Answer::Taken);
            }
            for client in &mut clients {
                let mut response = [0; 12];
                client.read_exact(&mut response).await?;
                assert_eq!(&response, b"HTTP/1.1 202");
            }
            Ok(())
        })
        .await
}
