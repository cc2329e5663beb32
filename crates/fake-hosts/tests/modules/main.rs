//! Tests of the modules of `fake-hosts`, one file a module.

mod frames;
mod ledger;
mod model;
