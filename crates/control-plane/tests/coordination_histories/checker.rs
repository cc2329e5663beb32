//! The history of the answers that applications got, and its checks.

use std::collections::{BTreeMap, BTreeSet};

/// A period in which a caller considered itself the holder of a lock. All times are in ms.
#[derive(Clone, Debug)]
pub struct Hold {
    pub lock: String,
    pub holder: String,
    pub fence: u64,
    /// When the request was sent.
    pub sent: u64,
    /// When it was answered, which is the start of the period.
    pub from: u64,
    /// End of the period.
    pub until: u64,
}

/// A number that a counter gave out. Times are in ms.
#[derive(Clone, Debug)]
pub struct IssuedNumber {
    pub name: String,
    pub value: u64,
    pub sent: u64,
    pub answered: u64,
}

/// A put and its outcome. `sent` is the time, in ms, at which it was sent for the first time.
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
    /// Acknowledged with this revision.
    Acknowledged(u64),
    /// Answered with status 412 or 503, so it never takes effect; with the cell's revision if the answer named one.
    Rejected(Option<u64>),
    /// No answer tells whether it took effect.
    Unknown,
}

/// The answer to a read; revision 0 if the cell doesn't exist.
#[derive(Clone, Debug)]
pub struct Read {
    pub cell: String,
    pub value: String,
    pub revision: u64,
    pub sent: u64,
}

/// An event of a watch: cell name, value and revision.
pub type Event = (String, String, u64);

/// One answer to a watch: the events after revision `after` up to `revision`.
#[derive(Clone, Debug)]
pub struct WatchAnswer {
    pub after: u64,
    pub revision: u64,
    pub events: Vec<Event>,
}

/// All answers that applications got in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub holds: Vec<Hold>,
    pub numbers: Vec<IssuedNumber>,
    pub puts: Vec<Put>,
    pub reads: Vec<Read>,
    /// Answers to watches, by group.
    pub watches: BTreeMap<String, Vec<WatchAnswer>>,
    /// All events of each group, from its first put on, as read at the end of the run.
    pub events: BTreeMap<String, Vec<Event>>,
}

impl History {
    /// Descriptions of all violations of the guarantees; empty if the history is valid.
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
            let is_not_above = |b: &&Hold| {
                a.lock == b.lock && a.holder != b.holder && b.from <= a.sent && b.fence >= a.fence
            };
            found.extend(
                others
                    .filter(is_not_above)
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
            let is_earlier_but_not_below =
                |b: &&IssuedNumber| b.name == a.name && b.answered <= a.sent && b.value >= a.value;
            if let Some(b) = others.find(is_earlier_but_not_below) {
                found.push(format!("number not above: {a:?} {b:?}"));
            }
        }
    }

    fn check_puts(&self, found: &mut Vec<String>) {
        for put in &self.puts {
            let events = self.events_of(&put.cell);
            let event = events.iter().find(|e| e.0 == put.cell && e.1 == put.value);
            match put.outcome {
                PutOutcome::Acknowledged(revision) => {
                    if event.is_none_or(|event| event.2 != revision) {
                        found.push(format!("acknowledged put lost: {put:?}, {event:?}"));
                    }
                }
                PutOutcome::Rejected(_) if event.is_some() => {
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
            if let PutOutcome::Acknowledged(revision) = put.outcome {
                let mut others = self.puts.iter();
                let is_earlier_but_not_below = |b: &&Put| {
                    let is_same_group = group(&b.cell) == group(&put.cell);
                    let is_earlier = b.answered <= put.sent && b.value != put.value;
                    let is_not_below =
                        matches!(b.outcome, PutOutcome::Acknowledged(other) if other >= revision);
                    is_same_group && is_earlier && is_not_below
                };
                if let Some(b) = others.find(is_earlier_but_not_below) {
                    found.push(format!("revision not above: {put:?} {b:?}"));
                }
            }
        }
    }

    fn check_reads(&self, found: &mut Vec<String>) {
        for read in &self.reads {
            let acknowledged = self.puts.iter().filter_map(|put| match put.outcome {
                PutOutcome::Acknowledged(revision)
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
            let is_rising = events.windows(2).all(|pair| pair[0].2 < pair[1].2);
            if !is_rising {
                found.push(format!("revisions of {group} don't rise: {events:?}"));
            }
        }
        for (group, answers) in &self.watches {
            let all = self.events.get(group).cloned().unwrap_or_default();
            for answer in answers {
                let is_in_range =
                    |event: &&Event| event.2 > answer.after && event.2 <= answer.revision;
                let expected: Vec<Event> = all.iter().filter(is_in_range).cloned().collect();
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

/// The group that a cell belongs to, by its name.
pub fn group(cell: &str) -> &str {
    coordination::group_of(cell)
}
