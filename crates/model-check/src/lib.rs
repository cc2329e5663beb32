//! Model checking of the control plane: explicit-state searches over the product's own code.
//!
//! The members' state machine, the replicated state and the mirrors are not rewritten as models. What is modelled is
//! what surrounds them: network, clock, disks, clients. `docs/design/hardening/model-checking.md` lists the invariants
//! and what was searched.
//!
//! - [`search`](mod@search): the search itself, for any [`search::Model`].
//! - [`cluster`]: members on machines with a network between them.
//! - [`request_model`]: the handling of configuration requests alone.
//! - [`models`]: the models by their names on the command line.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod canonical;
pub mod cluster;
pub mod models;
pub mod request_model;
pub mod search;
