use super::*;

/// The smallest limit leaves every descriptor that clients may use its connection.
#[test]
fn shares_of_the_smallest_limit_leave_room_for_all_client_descriptors() {
    let shares = MemoryShares::of(32_000_000);
    assert!(shares.client_connections >= (1024 - 32 - 16) / 2, "{shares:?}");
    let connections = shares.client_connections as u64 * CLIENT_CONNECTION_BYTES;
    assert!(connections + shares.request_bodies as u64 <= 32_000_000 / 8 * 5, "{shares:?}");
    assert_eq!(MemoryShares::of(0).client_connections, 1);
}

/// A reservation beyond what is free waits; one beyond the budget is refused.
#[tokio::test]
async fn reservations_never_exceed_the_budget() {
    let budget = BufferBudget::new(10 * UNIT);
    let first = budget.reserve(6 * UNIT).await.expect("it is free");
    let second = budget.reserve(4 * UNIT + 1);
    tokio::pin!(second);
    assert!(poll_once(second.as_mut()).await.is_none(), "it waits");
    drop(first);
    assert!(second.await.is_some());
    assert!(budget.reserve(11 * UNIT).await.is_none(), "it can never be free");
    assert!(budget.reserve(10 * UNIT).await.is_some(), "all of it is free again");
}

async fn poll_once<F: Future + Unpin>(mut future: F) -> Option<F::Output> {
    std::future::poll_fn(|cx| {
        std::task::Poll::Ready(match std::pin::Pin::new(&mut future).poll(cx) {
            std::task::Poll::Ready(output) => Some(output),
            std::task::Poll::Pending => None,
        })
    })
    .await
}
