//! Locks, counters, cells and watches for applications. State machines without I/O or clock; times are durations since
//! the start of the process.
//!
//! [`CoordinationState`] is part of the replicated state: all replicas [apply](CoordinationState::apply) the same
//! changes. Only the primary [decides](CoordinationState::decide) the outcome of a request. Lock expiry is not part of
//! the replicated state: the primary tracks it by its own monotonic clock ([`LockDeadlines`]), and a primary that has
//! just started to act counts the full hold time of each lock from then. The clocks of two processes are thus never
//! compared.
//!
//! ```
//! use coordination::{Answer, CoordinationState, Decision, LockDeadlines};
//! use protocol::CoordinationRequest;
//! use std::time::Duration;
//! let (mut state, mut deadlines) = (CoordinationState::default(), LockDeadlines::default());
//! deadlines.start_acting(Duration::ZERO);
//! let acquire = |holder: &str| CoordinationRequest::AcquireLock {
//!     name: "l1".into(),
//!     holder: holder.into(),
//!     hold_ms: 2000,
//!     attempt: 7,
//! };
//! let Decision::Change(change) = state.decide(&acquire("a"), &deadlines, Duration::ZERO) else { panic!() };
//! state.apply(&change).unwrap();
//! assert_eq!(state.answer_to(&change), Answer::Acquired { fence: 1 });
//! let early = state.decide(&acquire("b"), &deadlines, Duration::from_millis(2019));
//! assert_eq!(early, Decision::Answer(Answer::LockHeld));
//! let late = state.decide(&acquire("b"), &deadlines, Duration::from_millis(2020));
//! assert!(matches!(late, Decision::Change(_)));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cells;
mod decision;
mod history_retention;
mod limits;
mod lock_deadlines;
mod snapshot;
mod state;
mod watches;

pub use cells::{group_of, Cell, CellGroup, HistoryTrimmedError};
pub use decision::{Answer, Decision};
pub use history_retention::HistoryRetention;
pub use limits::{
    check_group_name, check_hold_ms, check_name, check_value, InvalidField, MAX_HOLD_MS,
    MAX_NAME_BYTES, MAX_STATE_BYTES, MAX_VALUE_BYTES, MAX_WAIT_MS,
};
pub use lock_deadlines::LockDeadlines;
pub use state::{ApplyError, CoordinationState, Lock};
pub use watches::{ParkedWatch, Watches, MAX_WATCHES};
