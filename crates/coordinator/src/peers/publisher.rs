//! The talk beside one router: what its servers are called on the wire, what it has out, what it is told.

use super::{tag, Datagram, Gossip, Heard, HostTag, Talk};
use crate::decision::Router;
use crate::interface::{Action, Event, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// One router's voice and ear.
pub struct LoadPublisher {
    gossip: Gossip,
    /// Tags of the servers met; `None` for one whose tag another has as well.
    tags: BTreeMap<ServerId, Option<HostTag>>,
    sends: u64,
    news: bool,
}

impl LoadPublisher {
    /// See [`Gossip::new`].
    pub fn new(talk: Talk, life: u64, seed: u64) -> Self {
        Self {
            gossip: Gossip::new(talk, life, seed),
            tags: BTreeMap::new(),
            sends: 0,
            news: false,
        }
    }

    /// A datagram came from the fellow of this number.
    pub fn hear(&mut self, now: Duration, from: u32, bytes: &[u8]) -> Heard {
        let heard = self.gossip.hear(now, from, bytes);
        self.news |= heard == Heard::Taken;
        heard
    }

    /// Before the turn ends: tells the router what fellows have out.
    pub fn tell(&mut self, now: Duration, router: &mut Router, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.news) {
            return;
        }
        for (server, _) in router.in_flight() {
            let told = self
                .tags
                .get(&server)
                .copied()
                .flatten()
                .and_then(|t| self.gossip.others(now, t));
            if let Some(told) = told {
                router.handle(
                    now,
                    Event::PeerLoad {
                        server,
                        in_flight: told.out,
                        age: told.age,
                    },
                    out,
                );
            }
        }
    }

    /// Once a turn has ended with these actions: what is to be told to all fellows, if anything.
    pub fn speak<'a>(
        &mut self,
        now: Duration,
        router: &Router,
        actions: &[Action],
        name: impl Fn(ServerId) -> &'a str,
    ) -> Option<Datagram> {
        self.sends += actions
            .iter()
            .filter(|a| matches!(a, Action::Send { .. }))
            .count() as u64;
        let outs = router.in_flight();
        if outs.iter().any(|(id, _)| !self.tags.contains_key(id)) {
            self.name_all(&outs, name);
        }
        let tagged = outs
            .iter()
            .filter_map(|(id, n)| Some((self.tags.get(id).copied().flatten()?, *n)));
        let outs: Vec<(HostTag, u16)> = tagged
            .map(|(t, n)| (t, n.min(u32::from(u16::MAX)) as u16))
            .collect();
        self.gossip.turn(now, &outs, self.sends)
    }

    fn name_all<'a>(&mut self, outs: &[(ServerId, u32)], name: impl Fn(ServerId) -> &'a str) {
        let tags: Vec<(ServerId, HostTag)> =
            outs.iter().map(|(id, _)| (*id, tag(name(*id)))).collect();
        let one = |t: &HostTag| tags.iter().filter(|other| other.1 == *t).count() == 1;
        self.tags = tags
            .iter()
            .map(|(id, t)| (*id, one(t).then_some(*t)))
            .collect();
    }
}
