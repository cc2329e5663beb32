//! Tests of the decision module on scripted events, with one module for each concern. Comments name the faults that
//! tests guard against.

mod admission;
mod arrival;
mod completion;
mod concurrency_limit;
mod crash_suspects;
mod ejection;
mod harness;
mod idle_connections;
mod load;
mod partial_answers;
mod retry;
mod router;
mod selection;
mod server_list;
mod slow_start;
mod stall_detection;
