//! Conformance table of the design page: the breaker, what counts as a failure, which messages are held or
//! answered, both shares of slots, and the weaknesses of the breaker.

use crate::Expect::*;
use crate::Step::*;
use crate::common::{KEYED, ONCE, SAFE};
use crate::{Row, World::*};
use myrtleyard::interface::Outcome::Full as Refusal;
use myrtleyard::interface::Outcome::{Cancelled, ConnectFailed, Delivered, Error, Moot, Reset, TimedOut};

macro_rules! rows {
    ($($name:literal, $world:expr, [$($given:expr),*], [$($when:expr),*] => [$($then:expr),*];)*) => {
        &[$(Row {
            name: $name,
            world: $world,
            given: &[$($given),*],
            when: &[$($when),*],
            then: &[$($then),*],
        }),*]
    };
}

pub const ROWS: &[Row] = rows! {
    // The states and the transitions between them.
    "closed: messages are sent at once",
        Warm, [Serve(20)], [Take(3, SAFE)] => [Sent(3, 3), Unhealthy(0)];
    "closed stays closed at four consecutive failures",
        Warm, [Serve(20)], [Each(4, Error)] => [Sent(4, 4), Unhealthy(0)];
    "closed to open: at the fifth consecutive failure",
        Warm, [Serve(20)], [Each(5, Error)] => [Sent(5, 5), Unhealthy(1)];
    "open: nothing is sent before the open time is over, half an aim at first",
        Warm, [Serve(20), Each(5, Error)], [Take(5, SAFE), Pass(1_990)]
        => [Sent(0, 0), Unhealthy(1), Held(5)];
    "open to half-open: once the open time is over, with one call",
        Warm, [Serve(20), Each(5, Error)], [Take(5, SAFE), Pass(2_010)] => [Sent(1, 1), Out(1), Unhealthy(1)];
    "half-open: one trial at a time, however long it takes",
        Warm, [Serve(20), Each(5, Error), Take(5, ONCE), Pass(2_010)], [Take(5, SAFE), Pass(3_900)]
        => [Sent(0, 0), Out(1), Unhealthy(1)];
    "half-open to closed: at one success, and held messages are sent",
        Warm, [Serve(20), Each(5, Error), Take(4, SAFE), Pass(2_010)], [End(1, Delivered)]
        => [Unhealthy(0), Sent(3, 3), Held(3)];
    "half-open to open: at one failure of the trial",
        Warm, [Serve(20), Each(5, Error), Take(4, ONCE), Pass(2_010)], [End(1, Error), Pass(1_000)]
        => [Unhealthy(1), Sent(0, 0), Out(0)];
    "half-open to open: at one time-out of the trial",
        Warm, [Serve(20), Each(5, Error), Take(4, ONCE), Pass(2_010)], [End(1, TimedOut), Pass(1_000)]
        => [Unhealthy(1), Sent(0, 0), Out(0)];
    "half-open: a cancelled trial proves nothing, and the next one is sent",
        Warm, [Serve(20), Each(5, Error), Take(4, ONCE), Pass(2_010)], [End(1, Cancelled)]
        => [Unhealthy(1), Sent(1, 1), Out(1)];
    "half-open: a trial refused as full neither closes nor opens",
        Warm, [Serve(20), Each(5, Error), Take(4, ONCE), Pass(2_010)], [End(1, Refusal(None)), Pass(2_500)]
        => [Unhealthy(1), Sent(1, 1), Out(1)];
    "open to closed: at a late success of a call sent before",
        Warm, [Serve(20), Take(6, ONCE), End(5, Error)], [End(1, Delivered), Take(1, SAFE)]
        => [Unhealthy(0), Sent(1, 1)];
    "open: the count of failures restarts after it has closed",
        Warm, [Serve(20), Each(5, Error), Take(1, SAFE), Pass(2_010), End(1, Delivered)], [Each(4, Error)]
        => [Unhealthy(0), Sent(4, 4)];

    // How long the breaker stays open.
    "open time: counts from the last failure, also one that comes while open",
        Warm, [Serve(20), Take(6, ONCE), End(5, Error), Pass(1_000), End(1, Error)],
        [Take(1, SAFE), Pass(1_990)] => [Sent(0, 0)];
    "open time: ends when it has passed since the last failure",
        Warm, [Serve(20), Take(6, ONCE), End(5, Error), Pass(1_000), End(1, Error)],
        [Take(1, SAFE), Pass(2_010)] => [Sent(1, 1)];
    "open time: is not changed by a refusal as full while open",
        Warm, [Serve(20), Take(6, ONCE), End(5, Error), Pass(1_000), End(1, Refusal(Some(0)))], [Pass(1_010)]
        => [Sent(1, 1)];
    "open time: twice as long after a trial that failed",
        Warm, [Serve(20), Each(5, Error), Take(4, ONCE), Pass(2_010), End(1, Error)], [Pass(3_990)]
        => [Sent(0, 0), Unhealthy(1)];
    "open time: no more than twice as long",
        Warm, [Serve(20), Each(5, Error), Take(4, ONCE), Pass(2_010), End(1, Error)], [Pass(4_010)]
        => [Sent(1, 1)];
    "open time: at most five seconds",
        Warm, [Serve(20), Each(5, Error), Take(4, ONCE), Pass(2_010), End(1, Error), Pass(4_010),
            End(1, Error)],
        [Pass(5_010)] => [Sent(1, 1)];
    "open time: not less than these five seconds",
        Warm, [Serve(20), Each(5, Error), Take(4, ONCE), Pass(2_010), End(1, Error), Pass(4_010),
            End(1, Error)],
        [Pass(4_990)] => [Sent(0, 0)];
    "open time: starts from half an aim again after it was closed",
        Warm, [Serve(20), Each(5, Error), Take(2, ONCE), Pass(2_010), End(1, Error), Pass(4_010),
            End(1, Delivered), Each(5, Error)],
        [Take(1, SAFE), Pass(2_010)] => [Sent(1, 1)];

    // Which outcomes count as failures, and which clear the count.
    "counts: connections that break",
        Warm, [Serve(20)], [Each(5, Reset)] => [Unhealthy(1)];
    "counts: connections that cannot be set up",
        Warm, [Serve(20)], [Repeated(5, ConnectFailed)] => [Unhealthy(1)];
    "counts: errors, broken and failed connections together",
        Warm, [Serve(20)], [Each(2, Error), Each(2, Reset), Repeated(1, ConnectFailed)] => [Unhealthy(1)];
    "does not count: refusals as full",
        Warm, [Serve(20)], [Repeated(12, Refusal(None))] => [Unhealthy(0)];
    "does not count: cancelled calls",
        Warm, [Serve(20)], [Each(25, Cancelled)] => [Unhealthy(0), Sent(25, 25)];
    "does not count: messages that were not sent at all",
        Warm, [Serve(20)], [Repeated(25, Moot { no_slot: true })] => [Unhealthy(0)];
    "does not clear: a refusal between failures",
        Warm, [Serve(20), Each(4, Error), Repeated(1, Refusal(None))], [Pass(500), End(1, Error)]
        => [Unhealthy(1)];
    "does not clear: a time-out between failures",
        Warm, [Serve(20)], [Each(4, Error), Each(1, TimedOut), Each(1, Error)] => [Unhealthy(1)];
    "clears: any success clears the count of failures",
        Warm, [Serve(20)], [Each(4, Error), Each(1, Delivered), Each(4, Error)] => [Unhealthy(0), Sent(9, 9)];
    "time-outs: nineteen consecutive ones leave it closed",
        Warm, [Serve(20)], [Each(19, TimedOut)] => [Unhealthy(0), Sent(19, 19)];
    "time-outs: the twentieth consecutive one opens it",
        Warm, [Serve(20)], [Each(20, TimedOut)] => [Unhealthy(1)];
    "time-outs: any success clears their count",
        Warm, [Serve(20)], [Each(19, TimedOut), Each(1, Delivered), Each(19, TimedOut)]
        => [Unhealthy(0), Sent(39, 39)];
    "time-outs: are counted separately from failures",
        Warm, [Serve(20)], [Each(4, Error), Each(19, TimedOut)] => [Unhealthy(0), Sent(23, 23)];
    "one call of several messages counts once",
        Batches, [Serve(20), Batch(5, ONCE)], [EndTurn(Error)] => [Unhealthy(0), Failed(5)];

    // Whether a message is held, refused or failed.
    "held: the trial comes before the deadline",
        Warm, [Serve(20), Each(5, Error)], [TakeWithTimeLeft(SAFE, 2_500)]
        => [Held(1), Refused(0), Sent(0, 0)];
    "refused: the deadline comes before the trial; Retry-After is the time until the trial",
        Warm, [Serve(20), Each(5, Error)], [TakeWithTimeLeft(SAFE, 1_500)]
        => [Held(0), Refused(1), RetryAfter(1_990, 2_000)];
    "refused: Retry-After is no longer than clients observe",
        Warm, [Serve(20), Each(5, Error), Take(1, ONCE), Pass(2_010), End(1, Error)],
        [TakeWithTimeLeft(SAFE, 1_500)]
        => [Refused(1), RetryAfter(3_000, 3_000)];
    "refused: a message whose call never ran",
        Warm, [Serve(20), Each(4, Error), TakeWithTimeLeft(ONCE, 1_500)], [End(1, ConnectFailed)]
        => [Refused(1), Failed(0)];
    "refused: a message that may have run and may be repeated",
        Warm, [Serve(20), Each(4, Error), TakeWithTimeLeft(SAFE, 1_500)], [End(1, Error)]
        => [Refused(1), Failed(0)];
    "failed: a message that may have run and whose key is only remembered for a while",
        Warm, [Serve(20), Each(4, Error), TakeWithTimeLeft(KEYED, 1_500)], [End(1, Error)]
        => [Refused(0), Failed(1)];
    "failed: a message that may have run and must not run twice, whatever the breaker's state",
        Warm, [Serve(20), Take(1, ONCE)], [End(1, Error)] => [Refused(0), Failed(1)];
    "held until its deadline if no endpoint is listed, then refused",
        Warm, [Serve(20), Unlisted, Take(1, SAFE), Pass(19_900)], [Pass(95)] => [Held(0), Refused(1)];

    // Both shares of slots, `dest_cap` and `parks`.
    "share: three quarters of the slots at most",
        Warm, [Serve(20)], [Take(20, SAFE)] => [Out(6), Held(20)];
    "share: half after a failure",
        Warm, [Serve(20), Each(1, Error)], [Take(20, SAFE)] => [Out(4)];
    "share: half after a time-out",
        Warm, [Serve(20), Each(1, TimedOut)], [Take(20, SAFE)] => [Out(4)];
    "share: half after a time-out, even if others were answered since",
        Warm, [Serve(20), Take(1, ONCE), Pass(20), Take(1, SAFE), Pass(20), EndNewest(Delivered),
            End(1, TimedOut)],
        [Take(20, SAFE)] => [Out(4)];
    "share: three quarters again after a success",
        Warm, [Serve(20), Each(1, Error), Each(1, Delivered)], [Take(20, SAFE)] => [Out(6)];
    "share: a destination may use the only slot",
        OneSlot, [], [Take(2, SAFE)] => [Out(1)];
    "dest_cap: a destination that hangs leaves slots for another",
        TwoDestinations, [Serve(20), Take(20, SAFE), Pass(200)], [Elsewhere(6)] => [Out(8), SentElsewhere(2)];
    "parks: a destination that is down gets far less than one call per message",
        Cold, [Serve(20)], [Stream(30, ConnectFailed)] => [Sent(1, 40), Unhealthy(1)];

    // The weaknesses that the design page names, and the protection against each.
    "backlog: after a successful trial no more is sent than a cold destination can take",
        Cold, [Serve(80), Repeated(12, ConnectFailed), Take(20, SAFE), Pass(200)], [Stream(4, Delivered)]
        => [Busiest(8)];
    "backlog: the ramp ends once it is warm",
        Cold, [Serve(80), Repeated(12, ConnectFailed), Stream(24, Delivered)], [Take(6, SAFE)]
        => [Sent(6, 6)];
    "backlog: two consecutive failures are an outage, after which the destination is cold",
        Cold, [Serve(80), Each(2, Error), Pass(3_500), Each(1, Delivered)], [Take(6, SAFE)] => [Sent(0, 5)];
    "backlog: a destination that refused everything for long returns cold",
        Cold, [Serve(80), Stream(10, Refusal(None))], [Stream(4, Delivered)] => [Busiest(8)];
    "backlog: no other message joins a trial",
        Batches, [Serve(20), Each(5, Error)], [Batch(5, SAFE), Pass(2_010)] => [Sent(1, 1)];
    "backlog: one of many senders waits for its turn after one failure",
        ManySenders, [Pass(10_000), Take(1, SAFE), Pass(1_000)], [End(1, ConnectFailed), Pass(1_000)]
        => [Sent(0, 0)];
    "backlog: one of few senders may send again after one failure",
        Cold, [Pass(10_000), Take(1, SAFE), Pass(1_000)], [End(1, ConnectFailed), Pass(1_000)]
        => [Sent(1, 1)];
    "slowness: two silent calls open the breaker long before twenty time-outs",
        Warm, [Serve(20), Take(2, ONCE)], [Pass(300), Take(1, SAFE)] => [Unhealthy(1), Sent(0, 0)];
    "slowness: one silent call does not open it",
        Warm, [Serve(20), Take(1, ONCE)], [Pass(300), Take(1, SAFE)] => [Unhealthy(0), Sent(1, 1)];
    "slowness: calls are slow, not silent, if others were answered since",
        Warm, [Serve(20), Take(2, ONCE), Pass(50), Take(1, SAFE), EndNewest(Delivered)], [Pass(300)]
        => [Unhealthy(0)];
    "slowness: a call that may be repeated times out before the aim",
        Warm, [Serve(20)], [Take(1, KEYED)] => [TimeoutMs(1, 1_000)];
    "slowness: a call that must not run twice times out at the aim",
        Warm, [Serve(20)], [Take(1, ONCE)] => [TimeoutMs(4_000, 4_000)];
    "every other call: the breaker alone never opens",
        Warm, [Serve(20)], [StreamHalfFailing(10)] => [Unhealthy(0), Sent(40, 40)];
    "every other call: the endpoint that failed last is chosen last",
        TwoEndpoints, [Each(1, Error)], [Serve(12)] => [Sent(12, 12), SentThere(0)];
    "every other call: one failure while cold restarts the warm-up",
        Cold, [Serve(80), Repeated(4, ConnectFailed), Stream(10, Delivered), Repeated(1, ConnectFailed)],
        [Stream(5, Delivered)] => [Busiest(12)];
    "every other call: half of the slots after each failure",
        Warm, [Serve(20), StreamHalfFailing(10), Each(1, Error)], [Take(20, SAFE)] => [Out(4)];

    // Protections that are not part of a plain breaker.
    "nothing is sent during a requested wait",
        Warm, [Serve(20), WaitRequested(1_000)], [Take(3, SAFE), Pass(990)] => [Sent(0, 0), Held(3)];
    "messages are sent once a requested wait is over",
        Warm, [Serve(20), WaitRequested(1_000)], [Take(3, SAFE), Pass(1_010)] => [Sent(3, 3)];
    "each route has its own breaker",
        RoutePerEndpoint, [Serve(20), Each(1, Error)], [Take(4, SAFE)] => [Unhealthy(0), Sent(4, 4)];
    "a destination that refuses gets one call at a time until it accepts one",
        Warm, [Serve(20), Take(1, SAFE), End(1, Refusal(None)), Pass(1_000)], [Take(5, SAFE), Pass(1_500)]
        => [Sent(0, 0), Out(1)];
    "no message has more attempts than allowed",
        Warm, [Serve(20)], [Take(1, SAFE), End(4, Cancelled)] => [Sent(4, 4), Refused(1)];
    "a trial that has too little time to be answered is not sent",
        Warm, [Serve(20), Each(5, Error)], [TakeWithTimeLeft(SAFE, 2_050), Pass(2_030)] => [Sent(0, 0)];
    "a requested wait applies to one route if each endpoint is a route",
        RoutePerEndpoint, [Serve(20), WaitRequested(1_000)], [Take(8, SAFE)]
        => [Sent(6, 6), SentElsewhere(6)];
    "share: three quarters again once a call is delivered after a lost one",
        Warm, [Serve(20), Take(1, ONCE), Pass(20), Take(1, SAFE), Pass(20), EndNewest(Delivered),
            End(1, TimedOut), Each(1, Delivered)],
        [Take(20, SAFE)] => [Out(6)];
    "open to closed: a message with little time left is sent right after",
        Warm, [Serve(20), Take(6, ONCE), End(5, Error), End(1, Delivered)], [TakeWithTimeLeft(SAFE, 1_500)]
        => [Sent(1, 1), Refused(0)];
    "half-open to closed: at a late success, and the trial no longer counts",
        Warm, [Serve(20), Take(6, ONCE), End(5, Error), Take(1, ONCE), Pass(2_010), End(1, Delivered),
            Each(5, Error)],
        [Take(1, SAFE), Pass(2_010)] => [Sent(1, 1)];
    "slowness: time-outs are no outage if others were answered since",
        Cold, [Serve(80), Take(2, ONCE), Pass(20), Take(1, SAFE), EndNewest(Delivered), Pass(2_000),
            End(2, TimedOut)],
        [Take(4, SAFE)] => [Sent(4, 4)];
    "backlog: one failure between successes is no outage",
        Cold, [Serve(80), Each(1, Error), Pass(1_000), Each(1, Delivered), Pass(1_000)], [Take(6, SAFE)]
        => [Sent(6, 6)];
};
