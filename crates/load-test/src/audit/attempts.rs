//! Puts attempts together from what hosts observed.

use fake_hosts::event_log::{AttemptEnd, AttemptRef, Event, EventKind};
use fake_hosts::model::Micros;
use std::collections::HashMap;

/// An attempt, put together from its events.
#[derive(Clone, Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) id: u64,
    pub(crate) arrived: Micros,
    pub(crate) host: u16,
    pub(crate) coordinator: u16,
    pub(crate) name: &'a str,
    pub(crate) shard: u32,
    pub(crate) key: Option<&'a str>,
    pub(crate) reference: Option<AttemptRef>,
    /// Its first end; what comes after a withdrawal is an answer under way.
    pub(crate) end: Option<(Micros, AttemptEnd)>,
    /// When it was served, if it was, withdrawn or not.
    pub(crate) served: Option<Micros>,
}

impl Attempt<'_> {
    /// Whether its host may have run it.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(self.end, Some((_, AttemptEnd::Skipped)))
    }
}

/// Puts the attempts together from the hosts' events, in the order of their arrival.
pub(crate) fn attempts(events: &[Event]) -> Vec<Attempt<'_>> {
    let mut all: Vec<Attempt> = Vec::new();
    let mut index_by_id: HashMap<u64, usize> = HashMap::new();
    let mut open: HashMap<u16, Vec<usize>> = HashMap::new();
    for event in events {
        match &event.kind {
            EventKind::Arrived {
                name,
                shard,
                key,
                reference,
            } => {
                index_by_id.insert(event.attempt, all.len());
                open.entry(event.host).or_default().push(all.len());
                all.push(Attempt {
                    id: event.attempt,
                    arrived: event.at,
                    host: event.host,
                    coordinator: event.coordinator,
                    name,
                    shard: *shard,
                    key: key.as_deref(),
                    reference: *reference,
                    end: None,
                    served: None,
                });
            }
            EventKind::Ended(end) => {
                if let Some(attempt) = index_by_id.get(&event.attempt).map(|n| &mut all[*n]) {
                    attempt.end.get_or_insert((event.at, *end));
                    if matches!(end, AttemptEnd::Served(_)) {
                        attempt.served.get_or_insert(event.at);
                    }
                }
                if let Some(open) = open.get_mut(&event.host) {
                    open.retain(|n| all[*n].end.is_none());
                }
            }
            // A dead or silent host can't hear that a part is given up.
            EventKind::ProcessEnded | EventKind::FellOver => {
                for n in open.remove(&event.host).into_iter().flatten() {
                    all[n].end.get_or_insert((event.at, AttemptEnd::Cut));
                }
            }
            _ => {}
        }
    }
    all
}
