//! What the proxy counts.

use std::cell::Cell;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// Numbers since the start.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Counters { $($(#[$doc])* pub $name: u64,)* }

        impl Counters {
            /// Names and numbers.
            pub fn pairs(&self) -> Vec<(&'static str, u64)> { vec![$((stringify!($name), self.$name),)*] }
        }
    };
}

counters! {
    /// Connections of clients.
    clients;
    /// Requests that were read whole.
    requests;
    /// Requests sent to a host.
    sent;
    /// Of those, sent to a host after another one.
    repeats;
    /// Answers of hosts passed on whole.
    passed;
    /// Streams that went on at another host.
    resumed;
    /// Answers of our own that promise that the request has not run.
    refused;
    /// Other answers of our own.
    failed;
    /// Answers cut off because the host's was.
    cut;
    /// Clients that left before their answer.
    left;
    /// Connections opened to hosts.
    connects;
    /// Connections to hosts that did not come up.
    unreached;
    /// Answers to other requests, thrown away.
    strays;
    /// Bytes of hosts that were no answer, and answers cut off.
    broken;
    /// Datagrams that were no hints.
    bad_hints;
    /// Requests moved to another host as the first was silent.
    moved;
}

/// Counters that one thread counts up; shared by `Rc`, they can be read while the proxy serves.
///
/// ```
/// let counters = std::rc::Rc::new(proxy::counters::SharedCounters::default());
/// assert_eq!(counters.get().pairs()[0], ("clients", 0));
/// ```
#[derive(Debug, Default)]
pub struct SharedCounters(Cell<Counters>);

impl SharedCounters {
    pub(crate) fn add(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.0.get();
        change(&mut counters);
        self.0.set(counters);
    }

    /// The numbers as they stand now.
    pub fn get(&self) -> Counters {
        self.0.get()
    }
}
