//! What tells two states apart.

use super::event::Event;
use super::World;
use crate::canonical;
use crate::cluster::machine::LEASE;
use std::hash::{DefaultHasher, Hash, Hasher};

impl World {
    pub(in crate::cluster) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for machine in &self.machines {
            machine.fingerprint(self.now).hash(&mut hasher);
        }
        self.network
            .iter()
            .chain(&self.held)
            .for_each(|e| e.hash.hash(&mut hasher));
        self.held.len().hash(&mut hasher);
        for (at, event) in &self.events {
            canonical::relative(self.now, *at, LEASE).hash(&mut hasher);
            event.hash_into(&mut hasher);
        }
        self.cut.hash(&mut hasher);
        self.operators.hash(&mut hasher);
        for reader in &self.readers {
            let mirror = reader.mirror.read();
            (
                mirror.ledger(),
                reader.newest,
                mirror.age_ms(self.now).min(9000),
            )
                .hash(&mut hasher);
        }
        self.facts.fingerprint(self.now, LEASE).hash(&mut hasher);
        (self.wipes, self.replaced, self.late_news).hash(&mut hasher);
        hasher.finish()
    }
}

impl Event {
    fn hash_into(&self, hasher: &mut DefaultHasher) {
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
            Event::Kill(n, life) => (n, life).hash(hasher),
            Event::Deliver(envelope) => envelope.hash.hash(hasher),
            Event::Update {
                reader,
                member,
                news,
                ..
            } => {
                (
                    reader,
                    member,
                    news.age_ms,
                    news.configuration.as_ref().map(|c| c.index),
                )
                    .hash(hasher);
            }
            Event::Join | Event::Hello | Event::Pull | Event::StartReader => {}
        }
    }
}
