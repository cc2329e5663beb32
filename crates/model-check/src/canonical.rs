//! Canonical hashes of states: times count from now, so that the same state at another time has the same hash.

use protocol::Message;
use std::cell::RefCell;
use std::collections::hash_map::DefaultHasher;
use std::fmt::{Debug, Write};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Times more than this many leases ago are all the same: no rule of the member looks further back if there are no more
/// voters than the budget needs.
const MAX_LEASES_BACK: u32 = 5;

thread_local! {
    static TEXT: RefCell<String> = const { RefCell::new(String::new()) };
}

/// A time relative to now, in nanoseconds, no further back than [`MAX_LEASES_BACK`].
pub fn relative(now: Duration, at: Duration, lease: Duration) -> i64 {
    let oldest = -((lease * MAX_LEASES_BACK).as_nanos() as i64);
    (at.as_nanos() as i64 - now.as_nanos() as i64).max(oldest)
}

/// A hash of a state machine by its [`Debug`] text, with times against `now`. What comes before its field `now` (its
/// settings) and its random number (which only spreads delays) don't count.
pub fn hash_of_member(member: &impl Debug, now: Duration, lease: Duration) -> u64 {
    TEXT.with_borrow_mut(|text| {
        text.clear();
        // Writing to a string can't fail.
        let _ = write!(text, "{member:?}");
        let state = text
            .find(", started: ")
            .map_or(text.as_str(), |at| &text[at..]);
        let mut hasher = DefaultHasher::new();
        match state.find("random: ") {
            Some(at) => {
                let after = &state[at..];
                let rest = after.find(',').map_or(after, |end| &after[end..]);
                hash_text(&state[..at], now, lease, &mut hasher);
                hash_text(rest, now, lease, &mut hasher);
            }
            None => hash_text(state, now, lease, &mut hasher),
        }
        hasher.finish()
    })
}

/// A hash of a message; the time that a lease was asked for counts against the clock of the one that asked.
pub fn hash_of_message(message: &Message, primary_now: Option<Duration>, lease: Duration) -> u64 {
    let mut hasher = DefaultHasher::new();
    let against = |stamp: u64| match primary_now {
        Some(now) => relative(now, Duration::from_millis(stamp), lease),
        None => stamp as i64,
    };
    match message {
        Message::RenewLease {
            epoch,
            requested_at_ms,
            commit_index,
            echoed_clock_ms,
        } => {
            (
                16,
                epoch,
                against(*requested_at_ms),
                commit_index,
                echoed_clock_ms,
            )
                .hash(&mut hasher);
        }
        Message::LeaseReply {
            epoch,
            requested_at_ms,
            granted,
            promised_epoch,
            disk_healthy,
            clock_ms,
        } => {
            (
                17,
                epoch,
                against(*requested_at_ms),
                granted,
                promised_epoch,
                disk_healthy,
                clock_ms,
            )
                .hash(&mut hasher);
        }
        other => protocol::encode(other).hash(&mut hasher),
    }
    hasher.finish()
}

/// Hashes text in which each duration (a number with its unit, as [`Duration`] is written) counts against `now`.
fn hash_text(text: &str, now: Duration, lease: Duration, hasher: &mut DefaultHasher) {
    let bytes = text.as_bytes();
    let (mut from, mut at) = (0, 0);
    while at < bytes.len() {
        let starts = bytes[at].is_ascii_digit() && (at == 0 || !is_word(bytes[at - 1]));
        if !starts {
            at += 1;
            continue;
        }
        let digits = bytes[at..]
            .iter()
            .take_while(|b| b.is_ascii_digit() || **b == b'.')
            .count();
        let unit = &text[at + digits..];
        match nanoseconds(&text[at..at + digits], unit) {
            Some((time, unit_length)) => {
                bytes[from..at].hash(hasher);
                relative(now, time, lease).hash(hasher);
                at += digits + unit_length;
                from = at;
            }
            None => at += digits,
        }
    }
    bytes[from..].hash(hasher);
}

fn is_word(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'.'
}

/// The time that a number stands for with the unit that text begins with, and the unit's length.
fn nanoseconds(number: &str, text: &str) -> Option<(Duration, usize)> {
    let units = [("ns", 1.0), ("µs", 1e3), ("ms", 1e6), ("s", 1e9)];
    let (unit, factor) = units.into_iter().find(|(unit, _)| text.starts_with(unit))?;
    if text.as_bytes().get(unit.len()).is_some_and(|b| is_word(*b)) {
        return None;
    }
    let number: f64 = number.parse().ok()?;
    Some((
        Duration::from_nanos((number * factor).round() as u64),
        unit.len(),
    ))
}
