use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Callers that occupy every connection and send nothing, or half a request, must not delay operators.
#[tokio::test(start_paused = true)]
async fn call_behind_silent_callers_is_answered_within_a_second() -> std::io::Result<()> {
    let (inbound, _events) = tokio::sync::mpsc::unbounded_channel();
    let (_standing, standing) = watch::channel(ServiceState::InService);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let local = tokio::task::LocalSet::new();
    local.spawn_local(Rc::new(Mgmt::new(standing, Rc::default(), Rc::default(), inbound)).listen(listener));
    local
        .run_until(async {
            let mut silent = Vec::new();
            for n in 0..PLACES {
                let mut caller = TcpStream::connect(address).await?;
                if n % 2 == 0 {
                    caller.write_all(b"GET /control/ready HT").await?;
                }
                silent.push(caller);
            }
            let begun = Instant::now();
            let mut caller = TcpStream::connect(address).await?;
            caller.write_all(b"GET /control/ready HTTP/1.1\r\nHost: mgmt\r\n\r\n").await?;
            let mut response = String::new();
            caller.read_to_string(&mut response).await?;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
            assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
            Ok(())
        })
        .await
}

/// An early answer must reach the operator although closing with an unread body would reset the connection.
#[tokio::test]
async fn answer_to_an_oversized_call_arrives_complete() -> std::io::Result<()> {
    let (inbound, _events) = tokio::sync::mpsc::unbounded_channel();
    let (_standing, standing) = watch::channel(ServiceState::InService);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut caller = std::net::TcpStream::connect(listener.local_addr()?)?;
    let head = "POST /control/endpoints/drain HTTP/1.1\r\nHost: mgmt\r\nContent-Length: 60000\r\n\r\n";
    // The whole request has arrived before the call is read.
    std::io::Write::write_all(&mut caller, &[head.as_bytes(), &[b' '; 60_000]].concat())?;
    caller.set_nonblocking(true)?;
    let local = tokio::task::LocalSet::new();
    local.spawn_local(Rc::new(Mgmt::new(standing, Rc::default(), Rc::default(), inbound)).listen(listener));
    local
        .run_until(async {
            let mut response = String::new();
            let mut caller = TcpStream::from_std(caller)?;
            caller.read_to_string(&mut response).await?;
            assert!(caller.take_error()?.is_none(), "no reset follows the end");
            assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
            Ok(())
        })
        .await
}
