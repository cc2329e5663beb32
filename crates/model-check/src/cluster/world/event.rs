//! What happens at a time of its own.

use super::envelope::Envelope;
use crate::cluster::faults::Way;
use replication::Update;
use std::hash::{DefaultHasher, Hash};
use std::sync::Arc;
use std::time::Duration;

/// An event that is scheduled for a time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A process starts.
    Start(usize),
    /// A new machine joins.
    Join,
    /// A frozen process goes on.
    Thaw(usize),
    /// The process of this incarnation is killed if it has been asked to leave and still runs.
    Kill(usize, u32),
    /// A cut ends.
    Heal(usize, Way),
    /// A slow disk is fast again.
    FastDisk(usize),
    /// A late message arrives.
    Deliver(Arc<Envelope>),
    /// The request of this number of the scenario is sent.
    Request(usize),
    /// A request is sent again.
    Retry(usize),
    /// All members show each other that they are reachable.
    AnnounceReachable,
    /// All members and readers pull.
    Pull,
    /// A late answer to a reader's pull arrives.
    Update {
        reader: usize,
        member: usize,
        update: Arc<Update>,
        asked: Duration,
    },
    /// A reader starts.
    StartReader,
}

impl Event {
    /// Hashes what tells events apart, but for their times.
    pub(super) fn hash_into(&self, hasher: &mut DefaultHasher) {
        std::mem::discriminant(self).hash(hasher);
        match self {
            Event::Start(n)
            | Event::Thaw(n)
            | Event::FastDisk(n)
            | Event::Request(n)
            | Event::Retry(n) => {
                n.hash(hasher);
            }
            Event::Heal(n, way) => (n, way).hash(hasher),
            Event::Kill(n, incarnation) => (n, incarnation).hash(hasher),
            Event::Deliver(envelope) => envelope.hash.hash(hasher),
            Event::Update {
                reader,
                member,
                update,
                ..
            } => {
                (
                    reader,
                    member,
                    update.age_ms,
                    update.configuration.as_ref().map(|c| c.index),
                )
                    .hash(hasher);
            }
            Event::Join | Event::AnnounceReachable | Event::Pull | Event::StartReader => {}
        }
    }
}
