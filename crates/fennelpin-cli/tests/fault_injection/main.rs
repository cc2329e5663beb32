//! Real processes under faults, one module for each kind: what must hold whoever is cut off, frozen, killed or wiped,
//! and however answers are lost.

#[path = "../harness/mod.rs"]
mod harness;

mod agent_and_proxy_restarts;
mod answer_routing;
mod catch_up;
mod concurrent_operators;
mod consecutive_losses;
mod frozen_member;
mod partition;
mod store_recovery;
