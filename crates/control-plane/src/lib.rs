//! The control plane: state machines without I/O, and the runtime that drives them.
//!
//! - [`member`]: election of the primary and replication of changes, as a state machine without I/O or clock.
//! - [`replicated_state`] and [`applied_requests`]: the replicated data, and the record that makes requests idempotent.
//! - [`recovery`]: continuing from one replica after a majority of the voters is lost for good.
//! - [`host_registry`], [`registry_publisher`], [`configuration_history`], [`incarnation`]: a member's own
//!   records of hosts, coordinators and configurations, and their publication to other processes.
//! - [`runtime`]: sockets, storage threads and timers.
//!
//! `docs/design/system.md` describes how they work together.
//!
//! The example runs a cluster of one member. The member requests that records be written, and becomes primary once they
//! are on disk.
//!
//! ```
//! use control_plane::member::{MemberConfig, Input, Member, Output};
//! use protocol::MemberInfo;
//! use std::time::Duration;
//!
//! let local_member = MemberInfo { id: 7, name: "core-1".into(), ..MemberInfo::default() };
//! let config = MemberConfig {
//!     local_member: local_member.clone(),
//!     bootstrap_voters: Some(vec![local_member]),
//!     fault_budget: configuration::FaultBudget::default(),
//!     lease_duration: Duration::from_millis(1000),
//!     request_timeout: Duration::from_millis(3500),
//!     disk_stall_timeout: Duration::from_millis(600),
//!     watch_history: Duration::from_secs(20),
//! };
//! let mut now = Duration::ZERO;
//! let mut member = Member::new(config, &[], now, 1);
//! let mut disk: Vec<Vec<u8>> = Vec::new();
//! let mut inputs = vec![Input::Tick];
//! while !member.is_acting_primary() {
//!     let input = inputs.pop().unwrap_or(Input::Tick);
//!     let mut outputs = Vec::new();
//!     member.step(now, input, &mut outputs);
//!     for output in outputs {
//!         match output {
//!             Output::Write { ticket, records, .. } => {
//!                 disk.extend(records);
//!                 inputs.push(Input::WriteCompleted { ticket, result: Ok(()) });
//!             }
//!             Output::Wake { at } => now = now.max(at),
//!             _ => {}
//!         }
//!     }
//!     assert!(now < Duration::from_secs(60), "a single voter becomes primary within a minute");
//! }
//! assert!(!disk.is_empty(), "a member becomes primary only after it has written its promise");
//! assert_eq!(member.membership().unwrap().primary, 7);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod applied_requests;
pub mod configuration_history;
mod content;
pub mod host_registry;
pub mod incarnation;
pub mod member;
pub mod recovery;
pub mod registry_publisher;
pub mod replicated_state;
pub mod runtime;
