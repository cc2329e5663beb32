//! The proxy's counters.

use std::cell::Cell;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// Event counts since the start of the process.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64,)* }

        impl Counters {
            /// Returns the names and values of all counters, in the order of declaration.
            pub fn pairs(&self) -> Vec<(&'static str, u64)> { vec![$((stringify!($name), self.$name),)*] }
        }
    };
}

counters! {
    /// Client connections that were accepted.
    client_connections;
    /// Requests that were read completely.
    requests;
    /// Attempts, that is, requests sent to a host.
    attempts;
    /// Attempts after the first one of their request.
    retries;
    /// Responses of hosts that were forwarded completely.
    responses;
    /// Streams that were resumed on another host.
    resumed_streams;
    /// Local replies which state that the request was not executed.
    local_rejections;
    /// Other local replies.
    local_errors;
    /// Responses truncated because the host's response was.
    truncated_responses;
    /// Responses truncated because this process ended.
    truncated_at_shutdown;
    /// Clients that disconnected before their response was complete.
    client_disconnects;
    /// Attempts to open a connection to a host.
    host_connects;
    /// Attempts to open a connection to a host that failed.
    host_connect_failures;
    /// Responses of hosts that belonged to other requests and were discarded.
    stray_responses;
    /// Responses of hosts that were malformed or ended early.
    broken_responses;
    /// Event streams whose host closed its connection inside an event.
    interrupted_events;
    /// Bodies of hosts that nothing but an orderly close of the connection ended, where they can end.
    close_delimited_bodies;
    /// Such bodies whose host refused a new connection after the close: its process had crashed.
    bodies_ended_by_crash;
    /// Datagrams received that were not valid hints.
    invalid_hints;
    /// Requests that failed over to another host because the first one didn't respond in time.
    failovers;
    /// Ejections of hosts that were healthy before.
    hosts_ejected;
    /// Reinstatements of ejected hosts.
    hosts_reinstated;
    /// Requests without a key that belongs to a tenant.
    unknown_keys;
    /// Requests refused because they exceed their tenant's quota.
    quota_refusals;
    /// Datagrams received on the quota socket that were not valid replies.
    invalid_quota_replies;
    /// Requests rejected because the hosts are overloaded.
    throttled_requests;
    /// Requests rejected because the process is shutting down.
    rejected_at_shutdown;
}

/// Counters of one thread, shared through an `Rc` so that they can be read while the proxy serves.
///
/// ```
/// let counters = std::rc::Rc::new(proxy::counters::SharedCounters::default());
/// assert_eq!(counters.get().pairs()[0], ("client_connections", 0));
/// ```
#[derive(Debug, Default)]
pub struct SharedCounters(Cell<Counters>);

impl SharedCounters {
    pub(crate) fn add(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.0.get();
        change(&mut counters);
        self.0.set(counters);
    }

    /// Returns the current counts.
    pub fn get(&self) -> Counters {
        self.0.get()
    }
}
