//! Several cores in one process. Each core is a thread with a current-thread runtime, its own decision module, query
//! table, host connections and clients. The state that all cores share is in [`multi_core`].
//! `docs/design/several-cores.md` gives the design reasons.
//!
//! | module | job |
//! | --- | --- |
//! | `current` | the core that the current thread belongs to |
//! | `shared_state` | the state that a core's query table shares with the other cores |
//! | `supervisor` | starts the cores' threads and waits for their end |
//! | `core_thread` | the work of one core's thread |
//! | `acceptor` | accepts connections and assigns them to cores |
//! | `list_distributor` | sends updates of the host list to all cores |

mod acceptor;
mod core_thread;
mod current;
mod list_distributor;
mod shared_state;
mod supervisor;

pub use current::{current_core, current_core_of_several};
pub use shared_state::SharedCoreState;
pub(crate) use supervisor::run;
