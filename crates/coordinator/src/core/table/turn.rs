//! The end of a turn: the module decides, and what it asks for is carried out.

use super::{
    Action, Answer, BTreeMap, CallPart, Cause, Duration, Event, Instant, Outcome, ServerId, Table,
    Transport,
};

use crate::counters::Pool;
use crate::decision::Router;

/// How often the operators' figures of the list are brought up to date.
const SHOW: Duration = Duration::from_millis(100);

impl<T: Transport> Table<T> {
    /// Lets the module decide and carries out what it asks for.
    pub fn turn_end(&mut self, now: Instant) {
        let at = self.clock.at(now);
        if let Some((load_publisher, _)) = &mut self.load_publisher {
            load_publisher.report_peer_loads(at, &mut self.router, &mut self.actions);
        }
        self.tell(now, Event::TurnEnded);
        if let Some((load_publisher, updates)) = &mut self.load_publisher {
            let update = load_publisher.next_update(at, &self.router, &self.actions, |id| {
                self.servers.name(id.0)
            });
            // One that finds the socket busy is dropped: the next says the same anew.
            update
                .into_iter()
                .for_each(|update| drop(updates.try_send(update)));
        }
        if now >= self.show_at {
            self.show_at = now + SHOW;
            self.counters.show_pool(host_pool(&self.router));
        }
        let mut calls: BTreeMap<ServerId, Vec<CallPart>> = BTreeMap::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send {
                    part,
                    server,
                    timeout,
                } => {
                    if let Some(call) = self.new_attempt(part, server, timeout, now) {
                        calls.entry(server).or_default().push(call);
                    }
                }
                Action::Cancel { part, attempt } => self.give_up(part, attempt, Outcome::Cancelled),
                Action::Answer {
                    query,
                    complete: whole,
                } => self.answer(query, whole),
                Action::Reject {
                    query,
                    retry_after,
                    cause,
                } => {
                    self.counters.inc(match cause {
                        Cause::Overloaded => "answered.refused.busy",
                        Cause::NoHost => "answered.refused.no_host",
                        Cause::TooLate => "answered.refused.late",
                        Cause::PartsLost => "answered.refused.lost",
                    });
                    self.end(query, |missing| Answer::Refused {
                        retry_after,
                        cause,
                        missing,
                    });
                }
                Action::Fail {
                    query,
                    retry_after,
                    cause,
                } => {
                    self.counters.inc(match cause {
                        Cause::Overloaded | Cause::NoHost => "answered.failed.no_host",
                        Cause::TooLate => "answered.failed.late",
                        Cause::PartsLost => "answered.failed.lost",
                    });
                    self.end(query, |missing| Answer::Failed {
                        retry_after,
                        cause,
                        missing,
                    });
                }
                Action::Probe { server } => {
                    self.counters.inc("sent.probes");
                    self.transport.probe(server);
                }
                Action::CloseIdleConnections { server } => self.transport.release(server),
                // Discovery pushes here: the list actor watches it from the start.
                Action::Subscribe => {}
                Action::Wake { after } => {
                    self.wakes.insert(now + after);
                }
            }
        }
        // One turn's parts to one host are one call, up to the batch limit.
        for (server, parts) in calls {
            let mut parts = parts.into_iter().peekable();
            while parts.peek().is_some() {
                self.counters.inc("sent.calls");
                self.transport
                    .call(server, parts.by_ref().take(self.bundle).collect());
            }
        }
    }
}

/// The counts of the host list as the status page shows them.
fn host_pool(router: &Router) -> Pool {
    let counts = router.server_counts();
    Pool {
        size: counts.listed,
        ejected: counts.ejected,
        in_service: counts.in_service,
    }
}
