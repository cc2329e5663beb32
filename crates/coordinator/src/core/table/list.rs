//! The hosts: what the list says of them, and which of them can't be reached.

use super::{
    Arc, BTreeSet, Duration, Endpoint, Event, Instant, ListKind, Mail, Outcome, ServerEntry,
    ServerId, ServerState, Table, Transport, ZoneId,
};

/// Sends to a draining host stop this long before the rule says, as the frame still has to be written.
const DRAIN_MARGIN: Duration = Duration::from_millis(50);
/// So many connections in a row that did not come up are news for the other cores.
const UNREACHED: u32 = 2;
/// A host that has been gone for so long, with nothing out on it, is forgotten with all that goes by its
/// name: hosts are replaced under new names all the time.
const FORGET: Duration = Duration::from_secs(15);

impl<T: Transport> Table<T> {
    /// Tells the other cores of a host that could not be reached twice in a row: each would otherwise
    /// find out at the cost of its own parts.
    pub(super) fn hear(&mut self, server: ServerId, outcome: Outcome) {
        let Some(seat) = &self.seat else { return };
        if outcome != Outcome::ConnectFailed {
            self.unreached.remove(&server);
            return;
        }
        let n = self.unreached.entry(server).or_default();
        *n += 1;
        if *n == UNREACHED {
            let id: Arc<str> = self.servers.name(server.0).into();
            for other in &seat.others {
                // One that has ended hears nothing more.
                let _ = other.send(Mail::Unreached(id.clone()));
            }
            self.counters.inc("cores.told_unreached");
        }
    }

    pub(super) fn on_list(&mut self, kind: ListKind, entries: Vec<Endpoint>, now: Instant) {
        let stop = Some(now + self.drain_grace.saturating_sub(DRAIN_MARGIN));
        let mut told = Vec::with_capacity(entries.len());
        let mut seen = BTreeSet::new();
        for e in entries {
            let server = ServerId(self.servers.number(&e.id));
            seen.insert(server);
            let zone = ZoneId(self.zones.number(&e.zone));
            let boot = self.clock.boot(e.up_since_ms);
            log::trace!(
                "list {kind:?} {} = {} cell {} {:?}",
                server.0,
                e.id,
                e.cell,
                e.state
            );
            // A core that stood still reads of a drain late: where the host's gate has shut meanwhile, the
            // module must not count on a grace that is over.
            let shut = e.state == ServerState::Draining
                && self
                    .seat
                    .as_ref()
                    .is_some_and(|s| s.is_gate_closed(&e.id, now));
            let state = if shut { ServerState::Gone } else { e.state };
            told.push(ServerEntry {
                server,
                zone,
                cell: e.cell,
                state,
                started_at: boot,
            });
            // The grace counts from the first news of a drain, not from its repetition.
            let same = self.listed.get(&server).is_some_and(|old| *old == e);
            if !same {
                let was_ready = self
                    .listed
                    .get(&server)
                    .is_none_or(|old| old.state == ServerState::Ready);
                let ready = e.state == ServerState::Ready;
                if ready || was_ready {
                    self.transport.listed(server, &e, stop.filter(|_| !ready));
                }
                self.listed.insert(server, e);
            }
        }
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            for (server, host) in self.listed.iter_mut().filter(|(s, _)| !seen.contains(s)) {
                if host.state == ServerState::Ready {
                    self.transport.listed(*server, host, stop);
                }
                host.state = ServerState::Gone;
            }
        }
        let is_gone = |host: &Endpoint| host.state == ServerState::Gone;
        self.gone
            .retain(|s, _| self.listed.get(s).is_some_and(is_gone));
        for (server, _) in self.listed.iter().filter(|(_, host)| is_gone(host)) {
            self.gone.entry(*server).or_insert(now + FORGET);
        }
        self.counters.inc("list.news");
        self.tell(
            now,
            Event::ServerList {
                kind,
                entries: told,
            },
        );
    }

    pub(super) fn forget_gone(&mut self, now: Instant) {
        let due: Vec<ServerId> = self
            .gone
            .iter()
            .filter(|g| *g.1 <= now)
            .map(|g| *g.0)
            .collect();
        for server in due {
            // What is out there still ends by its actor.
            if !self.out.contains_key(&server) {
                self.gone.remove(&server);
                self.listed.remove(&server);
                self.servers.forget(server.0);
                self.transport.forget(server);
                self.counters.inc("list.forgotten");
            }
        }
    }
}
