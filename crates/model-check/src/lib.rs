//! Model checking of the control side: explicit-state searches over the code's own decision functions. The members'
//! state machine, the ledger and the mirrors are not rewritten as models; the models are what is round them: network,
//! clock, disks, operators. `docs/design/hardening/model-checking.md` tells what is claimed and searched.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod canonical;
pub mod cluster;
pub mod models;
pub mod orders;
pub mod search;
