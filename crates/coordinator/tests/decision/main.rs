//! The decision module alone on scripted events, one module for each concern. The comments tell the faults that tests
//! were written for.

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
