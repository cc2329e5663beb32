//! Checks what applications were told.

use std::collections::{BTreeMap, BTreeSet};

/// A span of time for which a caller counted itself holder of a lock, in ms.
#[derive(Clone, Debug)]
pub struct Hold {
    pub lock: String,
    pub holder: String,
    pub fence: u64,
    /// When the call was sent, and when it was answered.
    pub sent: u64,
    pub from: u64,
    pub until: u64,
}

/// A number or a revision that was given out.
#[derive(Clone, Debug)]
pub struct Given {
    pub name: String,
    pub value: u64,
    pub sent: u64,
    pub answered: u64,
}

/// A put: what it was told, if anything. `sent` is when it was sent first.
#[derive(Clone, Debug)]
pub struct Put {
    pub cell: String,
    pub value: String,
    pub sent: u64,
    pub answered: u64,
    pub outcome: PutOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PutOutcome {
    Done(u64),
    /// It was told 412 or 503, so it never takes effect; with the cell's revision if it was told one.
    Rejected(Option<u64>),
    Unknown,
}

/// What a read was told; revision 0 if there is no such cell.
#[derive(Clone, Debug)]
pub struct Read {
    pub cell: String,
    pub value: String,
    pub revision: u64,
    pub sent: u64,
}

/// An event of a watch: cell, value and revision.
pub type Event = (String, String, u64);

/// What one answer to a watch told.
#[derive(Clone, Debug)]
pub struct Watched {
    pub after: u64,
    pub revision: u64,
    pub events: Vec<Event>,
}

/// All that applications were told in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub holds: Vec<Hold>,
    pub numbers: Vec<Given>,
    pub puts: Vec<Put>,
    pub reads: Vec<Read>,
    pub watches: BTreeMap<String, Vec<Watched>>,
    /// All events of each group at the end, from its first put on.
    pub events: BTreeMap<String, Vec<Event>>,
}

impl History {
    /// What is wrong with it.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        self.check_holders(&mut found);
        self.check_fences(&mut found);
        self.check_numbers(&mut found);
        self.check_puts(&mut found);
        self.check_reads(&mut found);
        self.check_watches(&mut found);
        found
    }

    fn check_holders(&self, found: &mut Vec<String>) {
        for (position, a) in self.holds.iter().enumerate() {
            let others = self.holds[position + 1..].iter();
            let overlaps = |b: &&Hold| {
                a.lock == b.lock && a.holder != b.holder && a.from < b.until && b.from < a.until
            };
            found.extend(
                others
                    .filter(overlaps)
                    .map(|b| format!("two holders: {a:?} {b:?}")),
            );
        }
    }

    fn check_fences(&self, found: &mut Vec<String>) {
        for a in &self.holds {
            let others = self.holds.iter();
            let is_wrong = |b: &&Hold| {
                a.lock == b.lock && a.holder != b.holder && b.from <= a.sent && b.fence >= a.fence
            };
            found.extend(
                others
                    .filter(is_wrong)
                    .map(|b| format!("fence not above: {a:?} {b:?}")),
            );
        }
    }

    fn check_numbers(&self, found: &mut Vec<String>) {
        let mut seen = BTreeSet::new();
        for a in &self.numbers {
            if !seen.insert((&a.name, a.value)) {
                found.push(format!("number given twice: {a:?}"));
            }
            let mut others = self.numbers.iter();
            let earlier =
                |b: &&Given| b.name == a.name && b.answered <= a.sent && b.value >= a.value;
            if let Some(b) = others.find(earlier) {
                found.push(format!("number not above: {a:?} {b:?}"));
            }
        }
    }

    fn check_puts(&self, found: &mut Vec<String>) {
        for put in &self.puts {
            let events = self.events_of(&put.cell);
            let shown = events.iter().find(|e| e.0 == put.cell && e.1 == put.value);
            match put.outcome {
                PutOutcome::Done(revision) => {
                    if shown.is_none_or(|event| event.2 != revision) {
                        found.push(format!("acknowledged put lost: {put:?}, {shown:?}"));
                    }
                }
                PutOutcome::Rejected(_) if shown.is_some() => {
                    found.push(format!("rejected put shown: {put:?}"));
                }
                PutOutcome::Rejected(Some(revision)) if revision != 0 => {
                    let is_of_cell = events.iter().any(|e| e.0 == put.cell && e.2 == revision);
                    if !is_of_cell {
                        found.push(format!("conflict with a revision that no put got: {put:?}"));
                    }
                }
                PutOutcome::Rejected(_) | PutOutcome::Unknown => {}
            }
            if let PutOutcome::Done(revision) = put.outcome {
                let mut others = self.puts.iter();
                let not_above = |b: &&Put| {
                    let same_group = group(&b.cell) == group(&put.cell);
                    let is_earlier = b.answered <= put.sent && b.value != put.value;
                    let above = matches!(b.outcome, PutOutcome::Done(other) if other >= revision);
                    same_group && is_earlier && above
                };
                if let Some(b) = others.find(not_above) {
                    found.push(format!("revision not above: {put:?} {b:?}"));
                }
            }
        }
    }

    fn check_reads(&self, found: &mut Vec<String>) {
        for read in &self.reads {
            let acknowledged = self.puts.iter().filter_map(|put| match put.outcome {
                PutOutcome::Done(revision)
                    if put.cell == read.cell && put.answered <= read.sent =>
                {
                    Some(revision)
                }
                _ => None,
            });
            let newest = acknowledged.max().unwrap_or(0);
            if read.revision < newest {
                found.push(format!("stale read: {read:?}, {newest} was acknowledged"));
            }
            let event = (read.cell.clone(), read.value.clone(), read.revision);
            if read.revision > 0 && !self.events_of(&read.cell).contains(&event) {
                found.push(format!("value that nobody put: {read:?}"));
            }
        }
    }

    fn check_watches(&self, found: &mut Vec<String>) {
        for (group, events) in &self.events {
            let rises = events.windows(2).all(|pair| pair[0].2 < pair[1].2);
            if !rises {
                found.push(format!("revisions of {group} don't rise: {events:?}"));
            }
        }
        for (group, answers) in &self.watches {
            let all = self.events.get(group).cloned().unwrap_or_default();
            for answer in answers {
                let span = |event: &&Event| event.2 > answer.after && event.2 <= answer.revision;
                let expected: Vec<Event> = all.iter().filter(span).cloned().collect();
                if answer.events != expected {
                    found.push(format!("watch of {group}: {answer:?}, not {expected:?}"));
                }
            }
        }
    }

    fn events_of(&self, cell: &str) -> &[Event] {
        self.events.get(group(cell)).map_or(&[], Vec::as_slice)
    }
}

pub fn group(cell: &str) -> &str {
    coordination::group_of(cell)
}
