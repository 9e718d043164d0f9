use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

use super::*;

const PATIENCE: Duration = Duration::from_secs(15);

struct Agent(TcpListener, UnboundedReceiver<Inbound>);

impl Agent {
    /// What is followed so, and what of it the driver hears.
    async fn new(following: Following, wanted: Rc<Wanted>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (inbound, heard) = unbounded_channel();
        let (_, discovery) = watch::channel(listener.local_addr()?);
        tokio::task::spawn_local(follow(discovery, following, None, wanted, inbound));
        Ok(Self(listener, heard))
    }

    /// The next connection, and what is asked over it.
    async fn asked(&self) -> io::Result<(TcpStream, String)> {
        let (mut stream, _) = timeout(PATIENCE, self.0.accept()).await??;
        let path = asked(&mut stream).await?;
        Ok((stream, path))
    }
}

async fn asked(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        let mut bytes = [0; 512];
        let n = timeout(PATIENCE, stream.read(&mut bytes)).await??;
        assert!(n > 0, "it ends after {text}");
        text += &String::from_utf8_lossy(&bytes[..n]);
    }
    Ok(text.split(' ').nth(1).unwrap_or_default().to_owned())
}

/// Guards drains: whatever the agent does that is no answer, it is asked anew, within the hold and a little.
#[tokio::test]
async fn a_watch_that_is_silent_cut_or_refused_is_asked_for_anew() -> io::Result<()> {
    let run = async {
        let hold = Duration::from_secs(1);
        let mut agent = Agent::new(Following::Watch(1, hold), Rc::default()).await?;
        let mut kept = Vec::new();
        for answer in [
            "",
            "HTTP/1.1 200 OK\r\ncontent-le",
            "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"index\":5,",
            "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n{\"inde}",
        ] {
            let (mut stream, path) = agent.asked().await?;
            assert_eq!(path, "/v1/endpoints?from=1&hold_ms=1000", "before {answer}");
            stream.write_all(answer.as_bytes()).await?;
            kept.push(stream);
            let heard = timeout(PATIENCE, agent.1.recv()).await?;
            assert!(matches!(heard, Some(Inbound::Event(Event::ListFailed))), "{answer}: {heard:?}");
        }
        let (mut stream, _) = agent.asked().await?;
        let list = "{\r\n  \"index\": 7,\r\n  \"snapshot\": true,\r\n  \"endpoints\": [\r\n  ]\r\n}\r\n";
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
        stream.write_all(answer.as_bytes()).await?;
        let heard = timeout(PATIENCE, agent.1.recv()).await?;
        assert!(
            matches!(heard, Some(Inbound::Listed(List::Entries(ListBody { index: 7, .. })))),
            "{heard:?}"
        );
        assert_eq!(asked(&mut stream).await?, "/v1/endpoints?from=7&hold_ms=1000");
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Guards drains where the list is asked for: however a poll ends that brings no list, and however often in a row, the
/// next one goes out early enough to be answered within 6 s of the failed one's beginning though it waits for 2 s, and
/// not at once: all senders may have failed together.
#[tokio::test(start_paused = true)]
async fn a_poll_that_brings_no_list_is_made_again_in_time_however_often_it_fails() -> io::Result<()> {
    let run = async {
        let wanted = Rc::new(Wanted::default());
        wanted.watch.notify_one();
        let following = Following::Ask(Duration::from_secs(3600), fastrand::Rng::with_seed(1));
        let agent = Agent::new(following, wanted).await?;
        let mut kept = Vec::new();
        let (mut stream, path) = agent.asked().await?;
        assert_eq!(path, "/v1/endpoints");
        for answer in [
            "",
            "HTTP/1.1 200 OK\r\ncontent-le",
            "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"index\":5,",
            "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n{\"inde}",
            "closed",
            "no end",
        ] {
            for _ in 0..3 {
                let began = tokio::time::Instant::now();
                match answer {
                    "closed" => drop(stream),
                    "no end" => {
                        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n").await?;
                        tokio::task::spawn_local(async move {
                            while stream.write_all(b" ").await.is_ok() {
                                tokio::time::sleep(Duration::from_secs(1)).await;
                            }
                        });
                    }
                    _ => {
                        stream.write_all(answer.as_bytes()).await?;
                        kept.push(stream);
                    }
                }
                let (next, _) = timeout(Duration::from_secs(4), agent.asked()).await??;
                let after = began.elapsed();
                assert!(after >= Duration::from_millis(1500), "after {answer} again in {after:?}");
                stream = next;
            }
        }
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Guards drains: a discovery that refuses connections, for however long, is asked within 4 s of its return.
#[tokio::test(start_paused = true)]
async fn a_discovery_that_refused_connections_is_asked_soon_after_its_return() -> io::Result<()> {
    let run = async {
        let address = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
        let (inbound, _heard) = unbounded_channel();
        let (_moves, discovery) = watch::channel(address);
        let wanted = Rc::new(Wanted::default());
        wanted.watch.notify_one();
        let following = Following::Ask(Duration::from_secs(3600), fastrand::Rng::with_seed(2));
        tokio::task::spawn_local(follow(discovery, following, None, wanted, inbound));
        tokio::time::sleep(Duration::from_secs(20)).await;
        let listener = TcpListener::bind(address).await?;
        timeout(Duration::from_secs(4), listener.accept()).await??;
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// The agent may close a kept connection just as a request goes out: that is no failed call, and costs no pause.
#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_the_close_of_a_kept_connection_is_made_again_at_once() -> io::Result<()> {
    let run = async {
        let wanted = Rc::new(Wanted::default());
        wanted.watch.notify_one();
        let following = Following::Ask(Duration::from_secs(5), fastrand::Rng::with_seed(3));
        let mut agent = Agent::new(following, wanted).await?;
        let (mut stream, _) = agent.asked().await?;
        let list = "{\"index\":7,\"snapshot\":true,\"endpoints\":[]}";
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
        stream.write_all(answer.as_bytes()).await?;
        assert!(matches!(agent.1.recv().await, Some(Inbound::Listed(_))));
        asked(&mut stream).await?;
        // It is read, and no byte of an answer goes back.
        drop(stream);
        let (mut stream, _) = timeout(Duration::from_millis(50), agent.asked()).await??;
        stream.write_all(answer.as_bytes()).await?;
        assert!(matches!(agent.1.recv().await, Some(Inbound::Listed(_))), "the call failed");
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Where versions began anew the whole list is owed until it has come: a watch from the new version would never tell what
/// lies between.
#[tokio::test(start_paused = true)]
async fn a_whole_list_that_was_not_got_is_asked_for_until_it_comes() -> io::Result<()> {
    let run = async {
        let agent = Agent::new(Following::Watch(9, Duration::from_secs(1)), Rc::default()).await?;
        let (mut stream, path) = agent.asked().await?;
        assert_eq!(path, "/v1/endpoints?from=9&hold_ms=1000");
        let list = |snapshot| {
            let list = format!("{{\"index\":3,\"snapshot\":{snapshot},\"endpoints\":[]}}");
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len())
        };
        stream.write_all(list(false).as_bytes()).await?;
        for _ in 0..2 {
            assert_eq!(asked(&mut stream).await?, "/v1/endpoints");
            stream.write_all(b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n").await?;
            let (next, path) = agent.asked().await?;
            assert_eq!(path, "/v1/endpoints", "after a failed call for all of it");
            drop(std::mem::replace(&mut stream, next));
            stream.write_all(b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n").await?;
            stream = agent.0.accept().await?.0;
        }
        assert_eq!(asked(&mut stream).await?, "/v1/endpoints");
        stream.write_all(list(true).as_bytes()).await?;
        assert_eq!(asked(&mut stream).await?, "/v1/endpoints?from=3&hold_ms=1000");
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// The clocks: sends to an endpoint that leaves cease in time where its watch fell silent or the agent was, and
/// a silent poll's successor is answered within 6 s though it waits for its 2.
#[test]
fn what_is_missed_is_known_before_it_binds() {
    let grace = Duration::from_secs(2);
    let watch = Following::Watch(1, grace / 2);
    assert!(watch.patience() + AGAIN + Duration::from_millis(250) < grace);
    for took in [Duration::ZERO, ANSWERED_WITHIN, POLL_WITHIN] {
        let (least, most) = (rest_after_failure(took, 0.0), rest_after_failure(took, 1.0));
        assert!(
            took + most + Duration::from_secs(2) < Duration::from_secs(6),
            "told too late after {took:?}"
        );
        assert!(least >= Duration::from_millis(600) && most == least * 2, "all at once after {took:?}");
    }
    // The longest hold, silent twice in a row; and once, where discovery has moved and 4 s are left.
    let longest = Following::Watch(1, LONGEST_HOLD);
    assert!((longest.patience() + AGAIN) * 2 < Duration::from_secs(6));
    assert!(longest.patience() + AGAIN < Duration::from_secs(4));
}
