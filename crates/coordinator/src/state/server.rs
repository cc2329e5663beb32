//! What a router knows of one server.

use crate::interface::{ServerEntry, ServerState, ZoneId};
use std::collections::VecDeque;

/// Eligibility of a server for a send, best first.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(crate) enum Standing {
    Sound,
    Trial,
    Leaving,
    LastHope,
}

/// How a server does for one class.
#[derive(Clone, Default)]
pub(crate) struct Sick {
    /// Share of its latest answers that were failures, and when the last one came.
    pub(crate) bad: f64,
    pub(crate) failed_at: f64,
    /// Once it is left: until when, and for how long at a time.
    pub(crate) until: f64,
    pub(crate) gap: f64,
}

pub(crate) struct Server {
    /// By class.
    pub(crate) sick: Vec<Sick>,
    pub(crate) zone: ZoneId,
    pub(crate) cell: u32,
    pub(crate) state: ServerState,
    pub(crate) boot: Option<f64>,
    /// Start of a slow start, while one may be under way.
    pub(crate) cold_since: Option<f64>,
    /// When the own parts that are out were sent, oldest first; and their recent mean.
    pub(crate) outs: VecDeque<f64>,
    pub(crate) own_mean: f64,
    pub(crate) own_at: f64,
    /// Load from elsewhere by its latest report, and the time of that; and when other routers last told it.
    pub(crate) others: f64,
    pub(crate) reported: f64,
    pub(crate) told_at: f64,
    /// Entries in the idle queue and the time of the report they come from.
    pub(crate) entries: u32,
    pub(crate) listed_at: f64,
    /// Set once it is ejected: when single parts may try it again; good answers since, and relapses.
    pub(crate) out_until: Option<f64>,
    pub(crate) good: f64,
    pub(crate) relapses: f64,
    pub(crate) ejected_at: f64,
    /// Share of its latest answers that were failures, and when the last one came.
    pub(crate) bad: f64,
    pub(crate) failed_at: f64,
    /// When a connection to it last broke under a part, and when one was refused after that.
    pub(crate) reset_at: f64,
    pub(crate) died_at: f64,
    /// Own parts that it may hold: it turned away what went beyond.
    pub(crate) room: f64,
    /// What of it must come free before it gets parts again, once it was all taken: they then share a call.
    pub(crate) brim: f64,
    /// Until when it gets nothing, as it turned our only part away; and how long that is at a time.
    pub(crate) shut_until: f64,
    pub(crate) shut_gap: f64,
    /// Whether it refused the last connection.
    pub(crate) refused: bool,
    /// When its drain was told.
    pub(crate) left_at: f64,
    /// Whether it was unreachable or silent rather than failing.
    pub(crate) unreached: bool,
    pub(crate) probing: bool,
    pub(crate) heard: f64,
    pub(crate) last_send: f64,
    /// While it is cold: when its latest slot was, whether used or not.
    pub(crate) slot_at: f64,
    /// Its part times over what its load lets expect, and when that was learned.
    pub(crate) slow: f64,
    pub(crate) slow_at: f64,
}

impl Server {
    /// A server not heard of before, as yet in no list.
    pub(crate) fn new(entry: &ServerEntry, now: f64, classes: usize) -> Self {
        Self {
            sick: vec![Sick::default(); classes],
            zone: entry.zone,
            cell: entry.cell,
            state: ServerState::Gone,
            boot: None,
            cold_since: None,
            outs: VecDeque::new(),
            own_mean: 0.0,
            own_at: now,
            others: 0.0,
            reported: f64::MIN,
            told_at: f64::MIN,
            entries: 0,
            listed_at: now,
            out_until: None,
            good: 0.0,
            relapses: 0.0,
            ejected_at: f64::MIN,
            bad: 0.0,
            failed_at: f64::MIN,
            reset_at: f64::MIN,
            died_at: f64::MIN,
            room: f64::MAX,
            brim: 0.0,
            shut_until: f64::MIN,
            shut_gap: 0.0,
            refused: false,
            left_at: f64::MIN,
            unreached: false,
            probing: false,
            heard: now,
            last_send: f64::MIN,
            slot_at: f64::MIN,
            slow: 1.0,
            slow_at: now,
        }
    }

    /// Own parts out.
    pub(crate) fn own(&self) -> u32 {
        self.outs.len() as u32
    }
}
