//! Real processes under the control plane's worst days, one module for each: what must hold whoever is cut off,
//! killed or wiped, and however answers are lost.

mod callers;
mod cut_off;
mod hosts;
mod many_changes;
mod partition;
mod recovery;
mod relay;
mod restarts;
mod second_loss;
mod stage;
mod two_operators;
mod wrong_caller;
