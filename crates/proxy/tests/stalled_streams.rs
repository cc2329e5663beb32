//! Plays what a client gets while its stream's host is silent: by what that host does next, and by what the other host
//! does that is asked meanwhile (incident `docs/incidents/doubted-host.md`). To doubt a host must never leave the client
//! worse off than to wait for it.

mod common;
use common::*;
use rstest::rstest;
use std::time::Duration;

/// What the silent host does once the other one was asked.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SilentHost {
    /// Sends the rest before the other host has responded.
    GoesOnAtOnce,
    /// Sends the rest after the other host has responded.
    GoesOnLater,
    /// Resets the connection after the other host has responded.
    BreaksOff,
    /// Sends nothing, and keeps the connection.
    StaysSilent,
}

/// What the other host does with the request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OtherHost {
    /// Sends the rest of the stream.
    Streams,
    /// Sends all events from the first one on.
    RepeatsEvents,
    /// Ends its response in order without an event: nothing is behind the last one.
    EndsWithoutEvent,
    /// States that it did not run the request.
    Refuses,
    /// Resets the connection before a response.
    Resets,
    /// Keeps the connection, and sends nothing.
    IsSilent,
}

impl OtherHost {
    /// Whether it has taken the stream over once it has responded.
    fn takes_over(self) -> bool {
        matches!(
            self,
            Self::Streams | Self::RepeatsEvents | Self::EndsWithoutEvent
        )
    }

    async fn respond(self, mut conn: TestConnection) -> Option<TestConnection> {
        match self {
            Self::Streams => {
                conn.start_stream("other", &[2, 3]).await;
                conn.send("0\r\n\r\n").await;
            }
            Self::RepeatsEvents => {
                conn.start_stream("other", &[1, 2, 3]).await;
                conn.send("0\r\n\r\n").await;
            }
            Self::EndsWithoutEvent => {
                conn.start_stream("other", &[]).await;
                conn.send("0\r\n\r\n").await;
            }
            Self::Refuses => {
                conn.respond_refusal().await;
            }
            Self::Resets => {
                conn.read_message().await.expect("a request");
                conn.reset();
                return None;
            }
            Self::IsSilent => {
                conn.read_message().await.expect("a request");
            }
        }
        Some(conn)
    }
}

/// What the client gets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    /// Events 1 to 3, and the end.
    Complete,
    /// Event 1, and the end: the other host has nothing behind it.
    CompleteAfterFirst,
    /// Event 1, and an end that shows that more is missing.
    Truncated,
    /// Event 1, and nothing while both hosts are silent.
    Pending,
}

fn expected_outcome(silent: SilentHost, other: OtherHost) -> Outcome {
    match (silent, other) {
        (SilentHost::GoesOnAtOnce, _) => Outcome::Complete,
        (_, OtherHost::EndsWithoutEvent) => Outcome::CompleteAfterFirst,
        (_, other) if other.takes_over() => Outcome::Complete,
        (SilentHost::GoesOnLater, _) => Outcome::Complete,
        (SilentHost::BreaksOff, OtherHost::IsSilent) => Outcome::Pending,
        (SilentHost::BreaksOff, _) => Outcome::Truncated,
        (SilentHost::StaysSilent, _) => Outcome::Pending,
    }
}

/// Longest time for which a client waits for what should not come.
const PENDING_TIME: Duration = Duration::from_millis(400);

/// Reads to the end of the response, unless it is to stay pending.
async fn read_outcome(client: &mut TestConnection, expected: Outcome) -> Outcome {
    let read = client.read_message();
    if expected == Outcome::Pending {
        let response = tokio::time::timeout(PENDING_TIME, read).await;
        assert!(response.is_err(), "{response:?}");
        return Outcome::Pending;
    }
    let response = read.await.expect("a response");
    match (response.complete, response.body) {
        (true, body) if body == events([1, 2, 3]) => Outcome::Complete,
        (true, body) if body == event(1) => Outcome::CompleteAfterFirst,
        (false, body) if body == event(1) => Outcome::Truncated,
        other => panic!("{other:?}"),
    }
}

/// Guards against LOST: a silent host was given up for one that was merely selected, and a refusal then cut the stream.
#[rstest]
fn client_is_never_worse_off_as_its_silent_host_is_doubted(
    #[values(
        SilentHost::GoesOnAtOnce,
        SilentHost::GoesOnLater,
        SilentHost::BreaksOff,
        SilentHost::StaysSilent
    )]
    silent: SilentHost,
    #[values(
        OtherHost::Streams,
        OtherHost::RepeatsEvents,
        OtherHost::EndsWithoutEvent,
        OtherHost::Refuses,
        OtherHost::Resets,
        OtherHost::IsSilent
    )]
    other: OtherHost,
) {
    run_async_test(async {
        let (mut host_1, mut host_2, proxy) = Proxy::with_two_hosts().await;
        let mut client = proxy.send_request("/more/a").await;
        let (mut conn, other_host) = first_connection(&mut host_1, &mut host_2).await;
        conn.start_stream("silent", &[1]).await;
        client.read_until("piece 1\n\n").await;
        let mut next = other_host.accept().await;
        if silent == SilentHost::GoesOnAtOnce {
            conn.send_events(&[2, 3]).await;
            conn.send("0\r\n\r\n").await;
        }
        let expected = expected_outcome(silent, other);
        let mut kept = None;
        if expected == Outcome::Complete && silent == SilentHost::GoesOnAtOnce {
            // The request is cancelled at the other host.
            next.wait_until_closed().await;
        } else {
            kept = other.respond(next).await;
        }
        let mut silent_conn = Some(conn);
        match silent {
            _ if other.takes_over() => {}
            SilentHost::GoesOnLater => {
                let conn = silent_conn.as_mut().expect("open");
                assert!(!is_closed(conn).await);
                conn.send_events(&[2, 3]).await;
                conn.send("0\r\n\r\n").await;
            }
            SilentHost::BreaksOff => silent_conn.take().expect("open").reset(),
            SilentHost::GoesOnAtOnce | SilentHost::StaysSilent => {}
        }
        assert_eq!(read_outcome(&mut client, expected).await, expected);
        let counters = proxy.counters.get();
        assert_eq!((counters.attempts, counters.retries), (2, 1));
        drop(kept);
    });
}

/// Whether the proxy closes the connection within some time.
async fn is_closed(conn: &mut TestConnection) -> bool {
    tokio::time::timeout(PENDING_TIME, conn.wait_until_closed())
        .await
        .is_ok()
}
