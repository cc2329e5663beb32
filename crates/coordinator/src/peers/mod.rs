//! Gossip between the coordinators of one tier: each tells its peers how many of its own parts are in flight at each
//! host. Free of I/O and clocks: the same code runs behind the datagrams of the platform and behind the simulator's
//! messages. `docs/design/peers.md` has the reasons.
//!
//! A host's own load reports come late and seldom. What the peers have in flight there is known to them at once, and
//! the sum of it is what the choice of a host needs. An update is evidence with a source and an age. Like a load
//! report it makes a host eligible or not. It never names a host that is not in the own list, never removes one, and
//! counts for nothing once it is old.
//!
//! | module | job |
//! | --- | --- |
//! | [`load_update`] | the datagram: its fields, encoding and decoding |
//! | [`peer_loads`] | merges the peers' updates into their load by host |
//! | [`gossip`] | when an update is due and what is in it |
//! | [`publisher`] | connects a router to the gossip |

pub mod gossip;
pub mod load_update;
pub mod peer_loads;
pub mod publisher;

pub use gossip::{DatagramOutcome, Gossip, GossipSettings};
pub use load_update::{host_tag, Datagram, HostTag, LoadUpdate, UpdateError, MAX_DATAGRAM_BYTES};
pub use peer_loads::{PeerLoad, PeerLoads};
pub use publisher::LoadPublisher;
