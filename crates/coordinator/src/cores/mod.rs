//! Several cores in one process: a thread with a current-thread runtime for each, with its own decision module,
//! table, connections to hosts and clients. The state that all cores share is in [`multi_core`].
//! `docs/design/several-cores.md` says why it is divided this way.
//!
//! | module | job |
//! | --- | --- |
//! | `current` | which core the present thread is |
//! | `shared_state` | what a core's table shares with the other cores |
//! | `supervisor` | starts the cores' threads and waits for their end |
//! | `core_thread` | the work of one core's thread |
//! | `acceptor` | accepts connections and gives them to cores |
//! | `list_distributor` | gives updates of the host list to all cores |

mod acceptor;
mod core_thread;
mod current;
mod list_distributor;
mod shared_state;
mod supervisor;

pub use current::{current_core, current_core_of_several};
pub use shared_state::SharedCoreState;
pub(crate) use supervisor::run;
