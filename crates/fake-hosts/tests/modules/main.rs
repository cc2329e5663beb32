//! Tests of the modules of `fake-hosts`, one file a module.

mod event_log;
mod frames;
mod model;
