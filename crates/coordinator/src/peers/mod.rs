//! Gossip between the coordinators of one tier: each tells its peers how many of its own parts are in flight at each
//! host. The code has no I/O and no clock, so that it serves both the platform's datagrams and the simulator's
//! messages. `docs/design/peers.md` has the reasons.
//!
//! A host's own load reports arrive late and rarely. The peers know at once what they have in flight there, and the
//! choice of a host needs the sum of it. An update is evidence with a source and an age. Like a load report, it decides
//! whether a host is eligible. It never adds a host to the coordinator's own list, never removes one, and is ignored
//! once it is old.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`load_update`] | fields, encoding and decoding of an update |
//! | [`peer_loads`] | merges the peers' updates into their load by host |
//! | [`gossip`] | decides when an update is due and what it contains |
//! | [`publisher`] | connects a router to the gossip |

pub mod gossip;
pub mod load_update;
pub mod peer_loads;
pub mod publisher;

pub use gossip::{DatagramOutcome, Gossip, GossipSettings};
pub use load_update::{host_tag, Datagram, HostTag, LoadUpdate, UpdateError, MAX_DATAGRAM_BYTES};
pub use peer_loads::{PeerLoad, PeerLoads};
pub use publisher::LoadPublisher;
