//! What clients and the front layer before the coordinators decide; free of I/O and clock.

use crate::plan::Planned;
use crate::scenario::{Backoff, ClassTable, RepeatName};

/// How a try ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryEnd {
    /// Served; whether it is marked whole.
    Served(bool),
    /// Turned away (429 or 503).
    Refused,
    /// Any other status.
    Failed(u16),
    /// No connection came up.
    NoConnection,
    /// The connection ended before an answer began.
    Closed,
    /// The connection ended within an answer.
    Cut,
    /// An answer that can't be read, or that its front would not give.
    Unreadable,
    /// No answer within the client's time and the slack.
    GaveUp,
    /// The generator itself had no descriptor left.
    NoDescriptor,
}

impl TryEnd {
    /// A word for tables.
    pub fn word(self) -> &'static str {
        match self {
            Self::Served(true) => "served",
            Self::Served(false) => "partial",
            Self::Refused => "refused",
            Self::Failed(_) => "failed",
            Self::NoConnection => "no_connection",
            Self::Closed => "closed",
            Self::Cut => "cut",
            Self::Unreadable => "unreadable",
            Self::GaveUp => "gave_up",
            Self::NoDescriptor => "no_descriptor",
        }
    }

    /// Whether the client has what it wanted.
    pub fn served(self) -> bool {
        matches!(self, Self::Served(_))
    }
}

/// What a client knows when a try has ended; times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Tried {
    /// Tries made so far.
    pub tries: u8,
    /// How the last one ended.
    pub end: TryEnd,
    /// `Retry-After` of its answer.
    pub retry_after_us: Option<u64>,
    /// Time since the query was due.
    pub elapsed_us: u64,
}

/// When the client tries again, as a wait from now; `None` if it doesn't.
pub fn next_try(q: &Planned, class: &ClassTable, backoff: Backoff, tried: Tried) -> Option<u64> {
    let Tried {
        tries,
        end,
        retry_after_us,
        elapsed_us,
    } = tried;
    if end.served() || tries > q.retries {
        return None;
    }
    let never_ran = matches!(
        end,
        TryEnd::Refused | TryEnd::NoConnection | TryEnd::NoDescriptor
    );
    let wait = match backoff {
        Backoff::None => 0,
        Backoff::Fixed => q.backoff_us,
        Backoff::Exp => q.backoff_us << u32::from(tries - 1).min(10),
    };
    let wait = retry_after_us
        .filter(|_| q.honours)
        .map_or(wait, |r| wait.max(r));
    let again = elapsed_us + wait;
    let allowed = match class.repeat {
        RepeatName::Safe => true,
        // Past the window hosts would run it again.
        RepeatName::Keyed => never_ran || again < (class.window_ms * 1e3) as u64,
        RepeatName::Unsafe => never_ran,
    };
    (allowed && again < (class.limit_ms * 1e3) as u64).then_some(wait)
}

/// The coordinator that the front layer hands a client to: one of its zone that is believed to run, else
/// any that is, else any of the zone.
pub fn coordinator(zone: usize, zones: usize, believed_up: &[bool], draw: u64) -> usize {
    let n = believed_up.len();
    let near = |c: &usize| *c % zones == zone;
    let up = |c: &usize| believed_up[*c];
    let of = |all: Vec<usize>| (!all.is_empty()).then(|| all[(draw % all.len() as u64) as usize]);
    of((0..n).filter(|c| near(c) && up(c)).collect())
        .or_else(|| of((0..n).filter(up).collect()))
        .or_else(|| of((0..n).filter(near).collect()))
        .unwrap_or((draw % n.max(1) as u64) as usize)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;
    use std::path::Path;

    fn parts() -> (Scenario, Planned) {
        let text =
            "name = 'x'\nlength_s = 5\n[traffic]\n[[traffic.shape]]\nkind = 'steady'\nrate = 100\n";
        let s = Scenario::parse(text, Path::new("x.toml")).unwrap();
        let q = crate::plan::Mixer::new(&s).query(0, Some(0), None, None);
        (
            s,
            Planned {
                retries: 2,
                backoff_us: 100_000,
                honours: true,
                ..q
            },
        )
    }

    fn tried(tries: u8, end: TryEnd, retry_after_us: Option<u64>, elapsed_us: u64) -> Tried {
        Tried {
            tries,
            end,
            retry_after_us,
            elapsed_us,
        }
    }

    #[test]
    fn a_client_tries_so_often_and_waits_as_it_was_told() {
        let (s, q) = parts();
        let safe = &s.classes[0];
        let go = |backoff, t| next_try(&q, safe, backoff, t);
        assert_eq!(
            go(Backoff::None, tried(1, TryEnd::Refused, None, 0)),
            Some(0)
        );
        assert_eq!(
            go(Backoff::Fixed, tried(2, TryEnd::GaveUp, None, 0)),
            Some(100_000)
        );
        assert_eq!(
            go(Backoff::Exp, tried(2, TryEnd::Failed(504), None, 0)),
            Some(200_000)
        );
        assert_eq!(
            go(Backoff::None, tried(3, TryEnd::Refused, None, 0)),
            None,
            "two further tries"
        );
        assert_eq!(
            go(Backoff::Fixed, tried(1, TryEnd::Refused, Some(700_000), 0)),
            Some(700_000)
        );
        assert_eq!(
            go(Backoff::Fixed, tried(1, TryEnd::Served(false), None, 0)),
            None
        );
        let late = tried(1, TryEnd::Refused, None, 4_950_000);
        assert_eq!(
            go(Backoff::Fixed, late),
            None,
            "its whole time would be over"
        );
        let rude = Planned {
            honours: false,
            ..q.clone()
        };
        let told = tried(1, TryEnd::Refused, Some(700_000), 0);
        assert_eq!(next_try(&rude, safe, Backoff::Fixed, told), Some(100_000));
    }

    #[test]
    fn a_booking_is_repeated_within_its_window_and_an_unsafe_query_only_if_it_never_ran() {
        let (s, q) = parts();
        let keyed = &s.classes[2];
        let go =
            |class, end, elapsed| next_try(&q, class, Backoff::None, tried(1, end, None, elapsed));
        assert_eq!(go(keyed, TryEnd::Failed(504), 1_900_000), Some(0));
        assert_eq!(go(keyed, TryEnd::Failed(504), 2_100_000), None);
        assert_eq!(go(keyed, TryEnd::Refused, 2_100_000), Some(0));
        let risky = ClassTable {
            repeat: RepeatName::Unsafe,
            ..keyed.clone()
        };
        assert_eq!(go(&risky, TryEnd::Cut, 0), None);
        assert_eq!(go(&risky, TryEnd::NoConnection, 0), Some(0));
    }

    #[test]
    fn the_front_layer_prefers_the_zone_and_leaves_it_when_all_there_are_down() {
        let up = [true, false, true, false];
        for draw in 0..4 {
            assert_eq!(coordinator(0, 2, &up, draw) % 2, 0);
            assert!(
                [0, 2].contains(&coordinator(1, 2, &up, draw)),
                "the other zone's"
            );
            assert_eq!(
                coordinator(1, 2, &[false; 4], draw) % 2,
                1,
                "all dead: still its own"
            );
        }
    }
}
