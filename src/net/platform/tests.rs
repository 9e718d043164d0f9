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
        assert!(matches!(heard, Some(Inbound::Listed(ListBody { index: 7, .. }))), "{heard:?}");
        assert_eq!(asked(&mut stream).await?, "/v1/endpoints?from=7&hold_ms=1000");
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Guards drains where the list is asked for: a poll that falls silent alone is made again before what it missed
/// counts as told. Where the next one is silent, too, the module sees to it that not all ask at once.
#[tokio::test]
async fn a_silent_poll_is_made_again_at_once_but_once() -> io::Result<()> {
    let run = async {
        let wanted = Rc::new(Wanted::default());
        wanted.watch.notify_one();
        let round = Duration::from_secs(3600);
        let following = Following::Ask(round, fastrand::Rng::with_seed(1));
        let mut agent = Agent::new(following, wanted.clone()).await?;
        let (_first, path) = agent.asked().await?;
        assert_eq!(path, "/v1/endpoints");
        let (_second, _) = agent.asked().await?;
        assert!(agent.1.try_recv().is_err(), "the module would wait");
        let heard = timeout(PATIENCE, agent.1.recv()).await?;
        assert!(matches!(heard, Some(Inbound::Event(Event::ListFailed))), "{heard:?}");
        assert!(timeout(POLL_AGAIN + POLL_WITHIN, agent.0.accept()).await.is_err(), "the module says when");
        wanted.watch.notify_one();
        agent.asked().await?;
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
    assert!(POLL_WITHIN + POLL_AGAIN + Duration::from_secs(2) < Duration::from_secs(6));
}
