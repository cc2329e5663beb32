//! The control plane's state machines and the runtime round them.
//!
//! - [`member`]: who is primary, and how changes are replicated. A state machine without I/O or clock.
//! - [`replicated_state`] and [`applied_requests`]: what is replicated, and what makes requests idempotent.
//! - [`recovery`]: how a replica goes on after a majority is lost for good.
//! - [`host_registry`], [`registry_publisher`], [`configuration_history`], [`incarnation`]: what a member knows of hosts,
//!   and how others get it.
//! - [`runtime`]: sockets, disk threads and timers.
//!
//! `docs/design/system.md` tells how they work together.
//!
//! The example runs a single member, the first of its system. It asks for records to be written, and becomes primary
//! once they are on disk.
//!
//! ```
//! use control_plane::member::{MemberConfig, Input, Member, Output};
//! use protocol::MemberInfo;
//! use std::time::Duration;
//!
//! let me = MemberInfo { id: 7, name: "core-1".into(), ..MemberInfo::default() };
//! let config = MemberConfig {
//!     local_member: me.clone(),
//!     bootstrap_voters: Some(vec![me]),
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
//!     assert!(now < Duration::from_secs(60), "it campaigns soon");
//! }
//! assert!(!disk.is_empty(), "nothing is promised that isn't on disk");
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
