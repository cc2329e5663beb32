//! Tests of the modules of `load-test`, one file a module.

mod arrivals;
mod audit;
mod calibrate;
mod charts;
mod clients;
mod compare;
mod curve;
mod drivers;
mod faults;
mod plan;
mod record;
mod results;
mod stats;
mod trace;
