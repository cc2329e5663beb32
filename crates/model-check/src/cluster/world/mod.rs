//! The state that the search explores, and what can happen in it.
//!
//! [`state`] holds the state of all machines, of the network, of the clients and readers. [`choices`] says what can happen
//! in a state, [`actions`] what an action makes of it. Each of the other modules has one part of that.

mod actions;
mod choices;
mod context;
mod envelope;
mod event;
mod fingerprint;
mod members;
mod network;
mod processes;
mod pulls;
mod reader;
mod requests;
mod state;
mod timeline;

pub use state::World;
