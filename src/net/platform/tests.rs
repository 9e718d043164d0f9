use std::io;

use myrtleyard::endpoints::reader::CHANGES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

use super::super::listing::ListBody;
use super::list_body::{INLINE, MIN_RATE};
use super::*;

const TEST_TIMEOUT: Duration = Duration::from_secs(15);

struct Agent(TcpListener, UnboundedReceiver<Inbound>);

impl Agent {
    /// Starts a follower; the second field receives what the driver is told.
    async fn new(following: Following, requests: Rc<ListRequests>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (inbound, notifications) = unbounded_channel();
        let (_, discovery) = watch::channel(listener.local_addr()?);
        tokio::task::spawn_local(follow(discovery, following, None, requests, Rc::default(), inbound));
        Ok(Self(listener, notifications))
    }

    /// Accepts the next connection, and returns it with the path of its request.
    async fn next_request(&self) -> io::Result<(TcpStream, String)> {
        let (mut stream, _) = timeout(TEST_TIMEOUT, self.0.accept()).await??;
        let path = read_request_path(&mut stream).await?;
        Ok((stream, path))
    }
}

async fn read_request_path(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        let mut bytes = [0; 512];
        let n = timeout(TEST_TIMEOUT, stream.read(&mut bytes)).await??;
        assert!(n > 0, "connection closed after {text}");
        text += &String::from_utf8_lossy(&bytes[..n]);
    }
    Ok(text.split(' ').nth(1).unwrap_or_default().to_owned())
}

/// Drains depend on the watch: whatever the agent does instead of answering, the watch must be renewed within
/// the hold time and a margin.
#[tokio::test]
async fn silent_truncated_or_rejected_watch_is_renewed() -> io::Result<()> {
    let run = async {
        let hold = Duration::from_secs(1);
        let mut agent = Agent::new(Following::Watch(1, hold), Rc::default()).await?;
        let mut open_streams = Vec::new();
        for answer in [
            "",
            "HTTP/1.1 200 OK\r\ncontent-le",
            "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"index\":5,",
            "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n{\"inde}",
        ] {
            let (mut stream, path) = agent.next_request().await?;
            assert_eq!(path, "/v1/endpoints?from=1&hold_ms=1000", "before {answer}");
            stream.write_all(answer.as_bytes()).await?;
            open_streams.push(stream);
            let notifications = timeout(TEST_TIMEOUT, agent.1.recv()).await?;
            assert!(
                matches!(notifications, Some(Inbound::Event(Event::ListFailed))),
                "{answer}: {notifications:?}"
            );
        }
        let (mut stream, _) = agent.next_request().await?;
        let list = "{\r\n  \"index\": 7,\r\n  \"snapshot\": true,\r\n  \"endpoints\": [\r\n  ]\r\n}\r\n";
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
        stream.write_all(answer.as_bytes()).await?;
        let notifications = timeout(TEST_TIMEOUT, agent.1.recv()).await?;
        assert!(
            matches!(notifications, Some(Inbound::ListReceived(List::Entries(ListBody { index: 7, .. })))),
            "{notifications:?}"
        );
        assert_eq!(read_request_path(&mut stream).await?, "/v1/endpoints?from=7&hold_ms=1000");
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Drains depend on the polls where the list is polled: however a poll fails, and however often in a row, the
/// next one must be sent early enough to be answered within 6 s of the start of the failed one, though it may
/// wait for 2 s. It must not be sent immediately, since all senders may have failed together.
#[tokio::test(start_paused = true)]
async fn failed_poll_is_retried_in_time_after_any_number_of_failures() -> io::Result<()> {
    let run = async {
        let requests = Rc::new(ListRequests::default());
        requests.watch.notify_one();
        let following = Following::Poll(Duration::from_secs(3600), fastrand::Rng::with_seed(1));
        let agent = Agent::new(following, requests).await?;
        let mut open_streams = Vec::new();
        let (mut stream, path) = agent.next_request().await?;
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
                let started = tokio::time::Instant::now();
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
                        open_streams.push(stream);
                    }
                }
                let (next, _) = timeout(Duration::from_secs(4), agent.next_request()).await??;
                let after = started.elapsed();
                assert!(after >= Duration::from_millis(1500), "next poll {after:?} after {answer}");
                stream = next;
            }
        }
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Drains depend on it: a discovery that refused connections, for however long, must be polled within 4 s of
/// its return.
#[tokio::test(start_paused = true)]
async fn discovery_is_polled_soon_after_refusing_connections() -> io::Result<()> {
    let run = async {
        let address = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
        let (inbound, _notifications) = unbounded_channel();
        let (_moves, discovery) = watch::channel(address);
        let requests = Rc::new(ListRequests::default());
        requests.watch.notify_one();
        let following = Following::Poll(Duration::from_secs(3600), fastrand::Rng::with_seed(2));
        tokio::task::spawn_local(follow(discovery, following, None, requests, Rc::default(), inbound));
        tokio::time::sleep(Duration::from_secs(20)).await;
        let listener = TcpListener::bind(address).await?;
        timeout(Duration::from_secs(4), listener.accept()).await??;
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// The agent may close a kept connection just as a request is sent: this is not a failed call, and there must
/// be no pause.
#[tokio::test(start_paused = true)]
async fn request_on_just_closed_connection_is_retried_immediately() -> io::Result<()> {
    let run = async {
        let requests = Rc::new(ListRequests::default());
        requests.watch.notify_one();
        let following = Following::Poll(Duration::from_secs(5), fastrand::Rng::with_seed(3));
        let mut agent = Agent::new(following, requests).await?;
        let (mut stream, _) = agent.next_request().await?;
        let list = "{\"index\":7,\"snapshot\":true,\"endpoints\":[]}";
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
        stream.write_all(answer.as_bytes()).await?;
        assert!(matches!(agent.1.recv().await, Some(Inbound::ListReceived(_))));
        read_request_path(&mut stream).await?;
        // The request was read, and no byte of a response is sent.
        drop(stream);
        let (mut stream, _) = timeout(Duration::from_millis(50), agent.next_request()).await??;
        stream.write_all(answer.as_bytes()).await?;
        assert!(
            matches!(agent.1.recv().await, Some(Inbound::ListReceived(_))),
            "the call was reported as failed"
        );
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// If the list's versions were restarted, the complete list must be fetched until it has arrived: a watch
/// from the new version would never report the changes in between.
#[tokio::test(start_paused = true)]
async fn complete_list_is_fetched_until_received() -> io::Result<()> {
    let run = async {
        let agent = Agent::new(Following::Watch(9, Duration::from_secs(1)), Rc::default()).await?;
        let (mut stream, path) = agent.next_request().await?;
        assert_eq!(path, "/v1/endpoints?from=9&hold_ms=1000");
        let list = |snapshot| {
            let list = format!("{{\"index\":3,\"snapshot\":{snapshot},\"endpoints\":[]}}");
            format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len())
        };
        stream.write_all(list(false).as_bytes()).await?;
        for _ in 0..2 {
            assert_eq!(read_request_path(&mut stream).await?, "/v1/endpoints");
            stream.write_all(b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n").await?;
            let (next, path) = agent.next_request().await?;
            assert_eq!(path, "/v1/endpoints", "after a failed call for the complete list");
            drop(std::mem::replace(&mut stream, next));
            stream.write_all(b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n").await?;
            stream = agent.0.accept().await?.0;
        }
        assert_eq!(read_request_path(&mut stream).await?, "/v1/endpoints");
        stream.write_all(list(true).as_bytes()).await?;
        assert_eq!(read_request_path(&mut stream).await?, "/v1/endpoints?from=3&hold_ms=1000");
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Bounds on the times: calls to a leaving endpoint must cease in time if its watch fell silent or the agent
/// did, and the poll after a silent one must be answered within 6 s though it may wait for 2 s.
#[test]
fn missed_changes_are_detected_before_they_bind() {
    let grace = Duration::from_secs(2);
    let watch = Following::Watch(1, grace / 2);
    assert!(watch.call_timeout() + RETRY_PAUSE + Duration::from_millis(250) < grace);
    let long = Duration::from_secs(10);
    assert!(
        pause_after_failure(long, 0.0) >= Duration::from_millis(600),
        "a long list is fetched again immediately"
    );
    for elapsed in [Duration::ZERO, MAX_ANSWER_TIME, POLL_TIMEOUT] {
        let (min, max) = (pause_after_failure(elapsed, 0.0), pause_after_failure(elapsed, 1.0));
        assert!(
            elapsed + max + Duration::from_secs(2) < Duration::from_secs(6),
            "the next poll is too late after {elapsed:?}"
        );
        assert!(
            min >= Duration::from_millis(600) && max == min * 2,
            "all senders poll at the same time after {elapsed:?}"
        );
    }
    // The longest hold time, silent twice in a row; and silent once, where discovery has moved and 4 s are
    // left.
    let longest = Following::Watch(1, MAX_HOLD_TIME);
    assert!((longest.call_timeout() + RETRY_PAUSE) * 2 < Duration::from_secs(6));
    assert!(longest.call_timeout() + RETRY_PAUSE < Duration::from_secs(4));
}

/// A complete list with this number of entries.
fn list(index: u64, endpoints: usize) -> String {
    let entry = |n: usize| {
        format!(
            "{{\"name\":\"s-{n:08x}\",\"address\":\"127.0.0.1:9000\",\"zone\":\"a\",\"type\":\"m2\",\"group\":{n},\
             \"status\":\"active\",\"weight\":1.0,\"since_ms\":0}}"
        )
    };
    let entries: Vec<_> = (0..endpoints).map(entry).collect();
    format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","))
}

/// The response with this list as its body.
fn response(list: &str) -> String {
    format!("{}{list}", head(list.len()))
}

fn head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n")
}

/// Starts a follower with these bounds. Returns its counters, what the driver is told, and the sender that
/// moves discovery.
fn start_follower(
    address: SocketAddr,
    following: Following,
    bounds: Bounds,
) -> (Rc<Counters>, UnboundedReceiver<Inbound>, watch::Sender<SocketAddr>) {
    let (inbound, notifications) = unbounded_channel();
    let (moves, discovery) = watch::channel(address);
    let counters = Rc::<Counters>::default();
    let follower = Follower {
        discovery,
        following,
        pace: None,
        requests: Rc::default(),
        counters: counters.clone(),
        inbound,
        bounds,
        conn: None,
        address,
        need_complete: false,
        refused: 0,
    };
    tokio::task::spawn_local(follower.run());
    (counters, notifications, moves)
}

/// The counters on lists; null before the first list is refused.
fn list_counters(counters: &Counters) -> serde_json::Value {
    let all: serde_json::Value = serde_json::from_slice(&counters.json()).unwrap_or_default();
    all["list"].clone()
}

/// A watch with a hold time of half a second; its timeout is 700 ms.
fn short_watch() -> Following {
    Following::Watch(1, MIN_HOLD_TIME)
}

/// A list over 1 MiB was never accepted, and its watch ended with it.
#[tokio::test]
async fn list_of_any_length_is_accepted_and_connection_reused() -> io::Result<()> {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (counters, mut notifications, _moves) =
            start_follower(listener.local_addr()?, short_watch(), Bounds::default());
        let agent = Agent(listener, unbounded_channel().1);
        let (mut stream, _) = agent.next_request().await?;
        assert!(list_counters(&counters).is_null());
        // The counters report on lists once one was refused.
        stream.write_all(response("{").as_bytes()).await?;
        stream = agent.next_request().await?.0;
        assert!(matches!(notifications.recv().await, Some(Inbound::Event(Event::ListFailed))));
        for (index, endpoints) in [(2, 10), (3, 10_000), (4, 1500), (5, 20_000)] {
            stream.write_all(response(&list(index, endpoints)).as_bytes()).await?;
            let listed = timeout(TEST_TIMEOUT, notifications.recv()).await?;
            let Some(Inbound::ListReceived(listed)) = listed else { panic!("{endpoints}: {listed:?}") };
            assert_eq!(list_version(&listed), (index, Some(endpoints)));
            assert_eq!(list_counters(&counters)["endpoints"], endpoints);
            assert_eq!(list_counters(&counters)["index"], index);
            let path = read_request_path(&mut stream).await?;
            assert_eq!(path, format!("/v1/endpoints?from={index}&hold_ms=500"), "on the same connection");
        }
        assert_eq!(list_counters(&counters)["refused"], 1);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A list whose transfer takes longer than a call's timeout must be accepted if it arrives at the minimum
/// rate.
#[tokio::test]
async fn long_list_is_accepted_after_call_timeout() -> io::Result<()> {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (_, mut notifications, _moves) =
            start_follower(listener.local_addr()?, short_watch(), Bounds::default());
        let agent = Agent(listener, unbounded_channel().1);
        let (mut stream, _) = agent.next_request().await?;
        let text = response(&list(2, 60_000));
        let chunk = MIN_RATE as usize / 2;
        assert!(text.len() > 3 * chunk, "{} bytes", text.len());
        let started = Instant::now();
        for chunk in text.as_bytes().chunks(chunk) {
            stream.write_all(chunk).await?;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        assert!(started.elapsed() > short_watch().call_timeout());
        let listed = timeout(TEST_TIMEOUT, notifications.recv()).await?;
        assert!(
            matches!(&listed, Some(Inbound::ListReceived(list)) if list_version(list) == (2, Some(60_000)))
        );
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Answers every request with `text` for 5 s, and returns the number of requests.
async fn count_requests_in_5_s(listener: &TcpListener, text: &[u8]) -> io::Result<usize> {
    let until = Instant::now() + Duration::from_secs(5);
    let mut requests = 0;
    while let Ok(accepted) = tokio::time::timeout_at(until, listener.accept()).await {
        let (mut stream, _) = accepted?;
        read_request_path(&mut stream).await?;
        requests += 1;
        // The follower may have stopped reading.
        let _ = stream.write_all(text).await;
    }
    Ok(requests)
}

/// A list over 1 MiB was fetched 18 times a second forever, without any report of the reason. Refused lists
/// must be counted, and fetched at growing intervals.
#[tokio::test]
async fn truncated_or_corrupt_list_is_counted_and_fetched_at_growing_intervals() -> io::Result<()> {
    let run = async {
        let (short, long) = (response(&list(2, 100)), response(&list(2, 5000)));
        let corrupt = |list: &str| response(&format!("{}!", &list[..list.len() - 1]));
        let cases = [
            (short[..short.len() - 1].to_owned(), "list.cut"),
            (short[..60].to_owned(), "list.cut"),
            (long[..INLINE / 2].to_owned(), "list.cut"),
            (long[..INLINE * 2].to_owned(), "list.cut"),
            (corrupt(&list(2, 100)), "list.malformed"),
            (corrupt(&list(2, 5000)), "list.malformed"),
        ];
        let tasks = cases.map(|(text, code)| {
            tokio::task::spawn_local(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await?;
                let (counters, mut notifications, _moves) =
                    start_follower(listener.local_addr()?, short_watch(), Bounds::default());
                let requests = count_requests_in_5_s(&listener, text.as_bytes()).await?;
                assert!((4..=12).contains(&requests), "{code}: {requests}");
                let refused = list_counters(&counters)["refused"].as_u64().unwrap_or_default() as usize;
                assert!(refused == requests || refused + 1 == requests, "{code}: {refused} of {requests}");
                assert_eq!(list_counters(&counters)["refused_in_a_row"], refused);
                assert_eq!(list_counters(&counters)["last_error"], code);
                while let Ok(notification) = notifications.try_recv() {
                    assert!(
                        matches!(notification, Inbound::Event(Event::ListFailed)),
                        "{code}: {notification:?}"
                    );
                }
                io::Result::Ok(())
            })
        });
        for case in tasks {
            case.await??;
        }
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Drains depend on it: a single corrupt response among good ones must cost no more than a failed call, also
/// after a run of corrupt ones.
#[tokio::test]
async fn accepted_list_resets_pause_after_refusals() -> io::Result<()> {
    let run = async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (counters, _notifications, _moves) =
            start_follower(listener.local_addr()?, short_watch(), Bounds::default());
        let agent = Agent(listener, unbounded_channel().1);
        let (mut stream, _) = agent.next_request().await?;
        for index in 2..5 {
            for refused in 0..4 {
                let started = Instant::now();
                stream.write_all(response("{\"inde").as_bytes()).await?;
                stream = agent.next_request().await?.0;
                let (after, min) = (started.elapsed(), RETRY_PAUSE * (1 << refused));
                assert!(after >= min && after < min + Duration::from_millis(150), "{refused}: {after:?}");
            }
            stream.write_all(response(&list(index, 3)).as_bytes()).await?;
            read_request_path(&mut stream).await?;
            assert_eq!(list_counters(&counters)["refused_in_a_row"], 0);
        }
        assert_eq!(list_counters(&counters)["refused"], 12);
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A body that arrives byte by byte must not hold the watch longer than its timeout, however much arrived
/// before.
#[tokio::test]
async fn slow_list_is_aborted_at_call_timeout() -> io::Result<()> {
    let run = async {
        for first in [0, INLINE + 1000] {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let (counters, _notifications, _moves) =
                start_follower(listener.local_addr()?, short_watch(), Bounds::default());
            let agent = Agent(listener, unbounded_channel().1);
            let (mut stream, _) = agent.next_request().await?;
            let started = Instant::now();
            stream.write_all(head(1 << 30).as_bytes()).await?;
            stream.write_all(&vec![b' '; first]).await?;
            tokio::task::spawn_local(async move {
                while stream.write_all(b" ").await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            });
            agent.next_request().await?;
            let after = started.elapsed();
            let max = short_watch().call_timeout() + RETRY_PAUSE + Duration::from_millis(250);
            assert!(after < max, "next call {after:?} after {first} bytes");
            assert_eq!(list_counters(&counters)["last_error"], "list.cut");
        }
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// An endless body must be refused at the limit in bytes, whatever it contains.
#[tokio::test]
async fn endless_list_is_refused_at_byte_limit() -> io::Result<()> {
    let run = async {
        let bounds = Bounds { bytes: 4 << 20, ..Bounds::default() };
        for text in [&[b' '; 1 << 16][..], b"{\"index\":1,\"index\":1,"] {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let (counters, _notifications, _moves) =
                start_follower(listener.local_addr()?, short_watch(), bounds);
            let agent = Agent(listener, unbounded_channel().1);
            let (mut stream, _) = agent.next_request().await?;
            stream.write_all(head(usize::MAX >> 1).as_bytes()).await?;
            let chunk = text.repeat((1 << 16) / text.len());
            let mut written = 0;
            while stream.write_all(&chunk).await.is_ok() {
                written += chunk.len();
                assert!(written < 64 << 20, "the body is read beyond its limit");
            }
            agent.next_request().await?;
            let code = list_counters(&counters)["last_error"].clone();
            assert!(code == "list.bytes" || code == "list.malformed", "{code}");
        }
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// If discovery moves while a long list is being received, the new address must be asked immediately, and
/// nothing of the old list may be used.
#[tokio::test]
async fn long_list_is_aborted_when_discovery_moves() -> io::Result<()> {
    let run = async {
        let (old, new) = (TcpListener::bind("127.0.0.1:0").await?, TcpListener::bind("127.0.0.1:0").await?);
        let following = Following::Watch(1, MAX_HOLD_TIME);
        let (counters, mut notifications, moves) =
            start_follower(old.local_addr()?, following, Bounds::default());
        let (old, new_address) = (Agent(old, unbounded_channel().1), new.local_addr()?);
        let new = Agent(new, unbounded_channel().1);
        let (mut stream, _) = old.next_request().await?;
        let text = response(&list(2, 5000));
        stream.write_all(&text.as_bytes()[..text.len() - 1]).await?;
        tokio::time::sleep(Duration::from_millis(100)).await;
        let moved = Instant::now();
        moves.send_replace(new_address);
        let (mut stream, path) = new.next_request().await?;
        assert!(
            moved.elapsed() < Duration::from_millis(250),
            "the new address was asked after {:?}",
            moved.elapsed()
        );
        assert_eq!(path, "/v1/endpoints?from=1&hold_ms=2000");
        assert!(notifications.try_recv().is_err() && list_counters(&counters).is_null());
        stream.write_all(response(&list(9, 1)).as_bytes()).await?;
        let listed = timeout(TEST_TIMEOUT, notifications.recv()).await?;
        assert!(matches!(&listed, Some(Inbound::ListReceived(list)) if list_version(list) == (9, Some(1))));
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// A request for the complete list must not abort the transfer of a long one; it is made afterwards.
#[tokio::test]
async fn complete_list_request_waits_for_long_list() -> io::Result<()> {
    let run = async {
        let requests = Rc::new(ListRequests::default());
        let mut agent = Agent::new(Following::Watch(1, MAX_HOLD_TIME), requests.clone()).await?;
        let (mut stream, _) = agent.next_request().await?;
        let text = response(&list(2, 5000));
        let (first, last) = text.as_bytes().split_at(text.len() - 1);
        stream.write_all(first).await?;
        tokio::time::sleep(Duration::from_millis(100)).await;
        requests.fetch.notify_one();
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(last).await?;
        let listed = timeout(TEST_TIMEOUT, agent.1.recv()).await?;
        assert!(
            matches!(&listed, Some(Inbound::ListReceived(list)) if list_version(list) == (2, Some(5000)))
        );
        assert_eq!(read_request_path(&mut stream).await?, "/v1/endpoints");
        Ok(())
    };
    LocalSet::new().run_until(run).await
}

/// Bounds on the times: after any number of refused lists in a row, a change just after a refused call was
/// sent must be reported within 6 s.
#[test]
fn pause_after_refused_lists_keeps_report_deadline() {
    for hold in [MIN_HOLD_TIME, Duration::from_secs(1), MAX_HOLD_TIME] {
        let call_timeout = Following::Watch(1, hold).call_timeout();
        for elapsed in [Duration::ZERO, hold, call_timeout] {
            assert_eq!(
                pause_after_refusal(1, elapsed, call_timeout),
                RETRY_PAUSE,
                "a single refusal costs no more than a failed call"
            );
            for refused in [2, 5, 8, 100, u32::MAX] {
                let pause = pause_after_refusal(refused, elapsed, call_timeout);
                assert!(
                    pause >= RETRY_PAUSE && elapsed + pause + call_timeout + POLL_SLACK <= REPORTED_WITHIN,
                    "{refused}: {pause:?}"
                );
            }
        }
        // However many were refused before, the agent's first good list is fetched soon.
        assert!(pause_after_refusal(u32::MAX, call_timeout, call_timeout) <= MAX_PAUSE_AT_AGENT);
        // The transfer took longer than the call's timeout: the time counts from its end.
        let pause = pause_after_refusal(100, Duration::from_secs(30), call_timeout);
        assert!(
            pause + call_timeout + POLL_SLACK <= REPORTED_WITHIN && pause > Duration::from_secs(2),
            "{pause:?}"
        );
    }
    let shared = Following::Watch(1, SHARED_HOLD_TIME).call_timeout();
    assert!(
        pause_after_refusal(100, Duration::ZERO, shared) > Duration::from_secs(2),
        "the pause at a service is too short"
    );
}

/// A list with too many changes is never accepted, so the complete list must be fetched instead.
#[tokio::test]
async fn complete_list_is_fetched_after_too_many_changes() -> io::Result<()> {
    let run = async {
        let mut agent = Agent::new(Following::Watch(1, MAX_HOLD_TIME), Rc::default()).await?;
        let (mut stream, _) = agent.next_request().await?;
        let changes = list(2, CHANGES + 1).replacen("\"snapshot\":true", "\"snapshot\":false", 1);
        // The follower may have stopped reading before the end.
        let _ = stream.write_all(response(&changes).as_bytes()).await;
        let notifications = timeout(TEST_TIMEOUT, agent.1.recv()).await?;
        assert!(matches!(notifications, Some(Inbound::Event(Event::ListFailed))), "{notifications:?}");
        let (mut stream, path) = agent.next_request().await?;
        assert_eq!(path, "/v1/endpoints");
        stream.write_all(response(&list(3, 5)).as_bytes()).await?;
        assert_eq!(read_request_path(&mut stream).await?, "/v1/endpoints?from=3&hold_ms=2000");
        Ok(())
    };
    LocalSet::new().run_until(run).await
}
