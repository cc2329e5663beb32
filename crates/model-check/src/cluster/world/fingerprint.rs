//! The fingerprint that tells states apart.

use super::state::World;
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
            .chain(&self.deferred)
            .for_each(|e| e.hash.hash(&mut hasher));
        self.deferred.len().hash(&mut hasher);
        for (at, event) in &self.events {
            canonical::relative(self.now, *at, LEASE).hash(&mut hasher);
            event.hash_into(&mut hasher);
        }
        self.cut.hash(&mut hasher);
        self.clients.hash(&mut hasher);
        for reader in &self.readers {
            let mirror = reader.mirror.read();
            (
                mirror.index(),
                reader.newest,
                mirror.age_ms(self.now).min(9000),
            )
                .hash(&mut hasher);
        }
        self.observations
            .fingerprint(self.now, LEASE)
            .hash(&mut hasher);
        (self.wipes, self.replaced, self.late_updates).hash(&mut hasher);
        hasher.finish()
    }
}
