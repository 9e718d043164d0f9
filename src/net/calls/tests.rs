//! Tests of calls over loopback sockets. The order of events that race in practice is forced.

use myrtleyard::interface::DestinationId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;

use super::*;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const NEVER_RAN: Outcome = Outcome::Moot { no_slot: false };

fn part(message: u32) -> CallMessage {
    let (id, body) = (format!("m{message}"), Bytes::from_static(b"body"));
    let until = Instant::now() + TEST_TIMEOUT;
    CallMessage { message: MessageId(message), attempt: 0, id, key: None, body, until, write_by: until }
}

struct Fixture {
    calls: Calls,
    events: UnboundedReceiver<Inbound>,
    listener: TcpListener,
    target: Target,
}

impl Fixture {
    async fn new() -> io::Result<Self> {
        let (inbound, events) = unbounded_channel();
        let limits = Limits { connect: 20_000_000, idle: 9_000_000, connections: 9, report: vec![] };
        let calls = Calls::new(limits, Rc::new(Counters::default()), inbound);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (endpoint, address) = (EndpointId([1; 6]), listener.local_addr()?);
        let target = Target { endpoint, address, route: (DestinationId(7), None) };
        Ok(Self { calls, events, listener, target })
    }

    /// The outcomes of the messages of the next call that ends.
    async fn ends(&mut self) -> Vec<(u32, Outcome)> {
        match timeout(TEST_TIMEOUT, self.events.recv()).await {
            Ok(Some(Inbound::CallEnded(ends))) => ends.iter().map(|e| (e.message.0, e.outcome)).collect(),
            other => panic!("{other:?}"),
        }
    }
}

/// Reads from a connection up to the end of a request's body.
async fn read(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = String::new();
    while !text.ends_with("body") && !text.ends_with("}]") {
        let mut bytes = [0; 512];
        let n = stream.read(&mut bytes).await?;
        assert!(n > 0, "connection closed after {text}");
        text += &String::from_utf8_lossy(&bytes[..n]);
    }
    Ok(text)
}

/// Nothing may be sent after the client was told a message's outcome, on a new connection or on a reused one.
/// A message given up before the first byte of its request must be left out of it.
#[tokio::test]
async fn message_given_up_before_first_byte_is_not_written() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        // No message is left: the connection is made, and kept.
        fixture.calls.start(fixture.target, vec![part(1), part(2)]);
        assert_eq!(fixture.calls.give_up(MessageId(1)), [0]);
        assert_eq!(fixture.calls.give_up(MessageId(2)), [0]);
        assert_eq!(fixture.ends().await, [(1, NEVER_RAN), (2, NEVER_RAN)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        // The other messages are sent.
        fixture.calls.start(fixture.target, vec![part(3), part(4), part(5)]);
        assert_eq!(fixture.calls.give_up(MessageId(4)), [0]);
        let text = read(&mut stream).await?;
        assert!(text.contains("m3") && text.contains("m5") && !text.contains("m4"), "{text}");
        assert_eq!(fixture.calls.give_up(MessageId(5)), [0; 0], "the message may run");
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 26\r\n\r\n").await?;
        stream.write_all(br#"[{"id":"m3","state":"ok"}]"#).await?;
        assert_eq!(fixture.ends().await, [(3, Outcome::Delivered), (4, NEVER_RAN), (5, Outcome::Error)]);
        // A single remaining message is sent as a single one, not as a batch.
        fixture.calls.start(fixture.target, vec![part(6), part(7)]);
        assert_eq!(fixture.calls.give_up(MessageId(6)), [0]);
        let text = read(&mut stream).await?;
        assert!(text.starts_with("POST /v1/messages HTTP") && text.contains("m7"), "{text}");
        stream.write_all(ANSWER).await?;
        assert_eq!(fixture.ends().await, [(6, NEVER_RAN), (7, Outcome::Delivered)]);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// The same if the process was suspended in between: each message's own time limit applies, whatever else is
/// in the call.
#[tokio::test]
async fn message_past_its_timeout_is_not_written() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        let late = CallMessage { until: Instant::now(), ..part(1) };
        fixture.calls.start(fixture.target, vec![late, part(2)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        let text = read(&mut stream).await?;
        assert!(text.starts_with("POST /v1/messages HTTP") && text.contains("m2"), "{text}");
        stream.write_all(ANSWER).await?;
        assert_eq!(fixture.ends().await, [(1, NEVER_RAN), (2, Outcome::Delivered)]);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A message given up after its request was composed and before the first byte is written must not be sent.
/// This is possible if the first write is delayed.
#[tokio::test]
async fn request_with_excluded_message_writes_no_byte() -> io::Result<()> {
    let run = async {
        let fixture = Fixture::new().await?;
        let (state, _off) = CallState::new(fixture.target.endpoint);
        let mut conn = Conn::open(fixture.target.address).await.map_err(io::Error::other)?;
        conn.traffic.state.replace(Rc::downgrade(&state));
        let parts = [part(1), part(2)];
        let composed = state.compose(fixture.target, &parts, parts[0].until);
        assert!(state.exclude((MessageId(1), 0)));
        let request = composed.map(|c| c.request).ok_or(io::ErrorKind::Other)?;
        assert!(conn.send(request).await.is_err());
        assert_eq!((conn.traffic.written.get(), state.write_started.get()), (0, false));
        // The remaining message is sent.
        let mut conn = Conn::open(fixture.target.address).await.map_err(io::Error::other)?;
        conn.traffic.state.replace(Rc::downgrade(&state));
        let composed = state.compose(fixture.target, &parts, parts[0].until);
        let request = composed.map(|c| c.request).ok_or(io::ErrorKind::Other)?;
        let (mut first, _) = fixture.listener.accept().await?;
        assert_eq!(first.read(&mut [0]).await?, 0);
        let (mut second, _) = fixture.listener.accept().await?;
        let answered = async {
            let text = read(&mut second).await?;
            assert!(text.contains("m2") && !text.contains("m1"), "{text}");
            second.write_all(ANSWER).await
        };
        let (answer, answered) = tokio::join!(conn.send(request), answered);
        answered?;
        assert!(answer.is_ok() && state.write_started.get());
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A Retry-After in the head of a batch's response applies at once, even if the body never arrives
/// completely.
#[tokio::test]
async fn retry_after_of_truncated_response_applies() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        fixture.calls.start(fixture.target, vec![part(1), part(2)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        read(&mut stream).await?;
        stream.write_all(b"HTTP/1.1 200 OK\r\nretry-after: 60\r\ncontent-length: 26\r\n\r\n[{").await?;
        let reported = timeout(TEST_TIMEOUT, fixture.events.recv()).await?;
        let wait = Event::RetryAfter { endpoint: fixture.target.endpoint, wait: 60_000_000 };
        assert!(matches!(&reported, Some(Inbound::Event(event)) if *event == wait), "{reported:?}");
        // It applies even before the call is over.
        fixture.calls.start(fixture.target, vec![part(3)]);
        assert_eq!(fixture.ends().await, [(3, NEVER_RAN)]);
        drop(stream);
        assert_eq!(fixture.ends().await, [(1, Outcome::Reset), (2, Outcome::Reset)]);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Runs `interfere` on the server's end of an idle connection immediately before its reuse, when the runtime
/// has not polled its sockets since. The next call must use a new connection.
async fn reuse_after_interference(
    interfere: impl FnOnce(std::net::TcpStream) -> io::Result<()>,
) -> io::Result<()> {
    let mut fixture = Fixture::new().await?;
    fixture.calls.start(fixture.target, vec![part(1)]);
    let (mut stream, _) = fixture.listener.accept().await?;
    read(&mut stream).await?;
    stream.write_all(ANSWER).await?;
    assert_eq!(fixture.ends().await, [(1, Outcome::Delivered)]);
    let kept = fixture.calls.clone();
    let kept_idle = poll_fn(|cx| {
        let idle = kept.0.idle.borrow().contains_key(&fixture.target);
        cx.waker().wake_by_ref();
        if idle { Poll::Ready(()) } else { Poll::Pending }
    });
    timeout(TEST_TIMEOUT, kept_idle).await?;
    // No await from here until the call has been started.
    interfere(stream.into_std()?)?;
    fixture.calls.start(fixture.target, vec![part(2)]);
    let (next, _) = timeout(TEST_TIMEOUT, async {
        tokio::select! {
            end = fixture.events.recv() => panic!("the call used the stale connection: {end:?}"),
            next = fixture.listener.accept() => next,
        }
    })
    .await??;
    let mut next = next;
    assert!(read(&mut next).await?.contains("m2"));
    next.write_all(ANSWER).await?;
    assert_eq!(fixture.ends().await, [(2, Outcome::Delivered)]);
    Ok(())
}

/// A message that may not be repeated must not be lost to a reset that could have been foreseen: the peer
/// closed the connection just before its reuse.
#[tokio::test]
async fn connection_closed_while_idle_is_not_reused() -> io::Result<()> {
    let interfere = |stream| {
        drop(stream);
        Ok(())
    };
    LocalSet::new().run_until(reuse_after_interference(interfere)).await
}

/// Bytes that arrived on an idle connection before a request was written must not be taken for its response.
#[tokio::test]
async fn connection_with_unexpected_bytes_is_not_reused() -> io::Result<()> {
    let left = std::cell::RefCell::new(None);
    let interfere = |mut stream: std::net::TcpStream| {
        io::Write::write_all(&mut stream, ANSWER)?;
        // The connection stays open.
        left.replace(Some(stream));
        Ok(())
    };
    LocalSet::new().run_until(reuse_after_interference(interfere)).await
}

/// A message larger than the buffers between two sockets.
fn large(message: u32) -> CallMessage {
    CallMessage { body: Bytes::from(vec![b'x'; 32 << 20]), ..part(message) }
}

/// Reads until the connection ends. Returns whether the complete body was received.
async fn received_completely(stream: &mut TcpStream) -> bool {
    let (mut bytes, mut size) = (vec![0; 1 << 16], 0);
    while let Ok(n @ 1..) = stream.read(&mut bytes).await {
        size += n;
    }
    size >= 32 << 20
}

/// The same once the first bytes of a request are written: a message given up then must never arrive
/// completely, so that it does not run.
#[tokio::test]
async fn message_given_up_while_being_written_never_runs() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        fixture.calls.start(fixture.target, vec![large(1)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        stream.read_exact(&mut [0]).await?;
        assert_eq!(fixture.calls.give_up(MessageId(1)), [0]);
        assert_eq!(fixture.ends().await, [(1, NEVER_RAN)]);
        assert!(!received_completely(&mut stream).await);
        // The same holds for requests that are being written when an endpoint leaves or the process hands
        // over.
        fixture.calls.start(fixture.target, vec![large(4)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        stream.read_exact(&mut [0]).await?;
        fixture.calls.abort_unwritten(|_| true);
        assert_eq!(fixture.ends().await, [(4, NEVER_RAN)]);
        assert!(!received_completely(&mut stream).await);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A message that may not be repeated can go elsewhere if its request was not completely written by the
/// timeout: the attempt must be reported as never run.
#[tokio::test]
async fn request_partly_written_at_timeout_is_reported_as_never_run() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        fixture.calls.start(fixture.target, vec![large(1)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        stream.read_exact(&mut [0]).await?;
        tokio::time::pause();
        tokio::time::advance(TEST_TIMEOUT).await;
        assert_eq!(fixture.ends().await, [(1, Outcome::ConnectFailed)]);
        assert!(!received_completely(&mut stream).await);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// If the response comes before the request is completely written, the rest of the request must not be sent.
#[tokio::test]
async fn early_response_stops_writing() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        fixture.calls.start(fixture.target, vec![large(1)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        stream.read_exact(&mut [0]).await?;
        // The body of the response does not arrive.
        stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 9\r\n\r\n").await?;
        assert_eq!(fixture.ends().await, [(1, Outcome::Full(None))]);
        assert!(!received_completely(&mut stream).await);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A response applies only to the messages that were sent: an endpoint that answers 410 to the one message
/// that was written knows nothing of the others, which are still owed.
#[tokio::test]
async fn response_does_not_end_excluded_message() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        let late = CallMessage { until: Instant::now(), ..part(1) };
        fixture.calls.start(fixture.target, vec![late, part(2)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        assert!(read(&mut stream).await?.starts_with("POST /v1/messages HTTP"));
        stream.write_all(b"HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n").await?;
        let ends = timeout(TEST_TIMEOUT, fixture.events.recv()).await?;
        let Some(Inbound::CallEnded(ends)) = ends else { panic!("{ends:?}") };
        let gone: Vec<_> = ends.iter().map(|end| (end.message.0, end.outcome, end.gone)).collect();
        assert_eq!(gone, [(1, NEVER_RAN, false), (2, NEVER_RAN, true)]);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// If a connection is made late, a repeat whose idempotency window is over must not be written, even if its
/// response would still be in time.
#[tokio::test]
async fn repeat_past_its_window_is_not_written() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        let late = CallMessage { write_by: Instant::now(), ..part(1) };
        fixture.calls.start(fixture.target, vec![late, part(2)]);
        let (mut stream, _) = fixture.listener.accept().await?;
        let text = read(&mut stream).await?;
        assert!(text.starts_with("POST /v1/messages HTTP") && text.contains("m2"), "{text}");
        stream.write_all(ANSWER).await?;
        assert_eq!(fixture.ends().await, [(1, NEVER_RAN), (2, Outcome::Delivered)]);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A truncated status line must not be taken for a complete one, which might have said something else.
#[tokio::test]
async fn truncated_status_line_is_not_a_delivery() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        for (answer, outcome) in [
            ("HTTP/1.1 200 O", Outcome::Reset),
            ("HTTP/1.1 200 OK\r\n", Outcome::Delivered),
            ("HTTP/1.1 200 OK\r\ncontent-le", Outcome::Delivered),
        ] {
            fixture.calls.start(fixture.target, vec![part(1)]);
            let (mut stream, _) = fixture.listener.accept().await?;
            read(&mut stream).await?;
            stream.write_all(answer.as_bytes()).await?;
            drop(stream);
            assert_eq!(fixture.ends().await, [(1, outcome)], "{answer}");
        }
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A message must not run twice: a batch reports each message's outcome in its body, and any other response
/// outside the protocol may hide a message that ran.
#[tokio::test]
async fn batch_is_not_ended_by_status_outside_the_protocol() -> io::Result<()> {
    let run = async {
        let mut fixture = Fixture::new().await?;
        for answer in ["HTTP/1.1 410 Gone", "HTTP/1.1 504 Late"] {
            fixture.calls.start(fixture.target, vec![part(1), part(2)]);
            let (mut stream, _) = fixture.listener.accept().await?;
            read(&mut stream).await?;
            stream
                .write_all(format!("{answer}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").as_bytes())
                .await?;
            let ends = timeout(TEST_TIMEOUT, fixture.events.recv()).await?;
            let Some(Inbound::CallEnded(ends)) = ends else { panic!("{ends:?}") };
            assert!(ends.iter().all(|end| end.outcome == Outcome::Error && !end.gone), "{answer}: {ends:?}");
        }
        Ok(())
    };
    LocalSet::new().run_until(run).await
}
