//! The coordinator process: starts all actors and runs them until SIGTERM.
//!
//! | module | job |
//! | --- | --- |
//! | `signals` | SIGTERM and SIGINT stop the process, SIGHUP reloads the configuration |
//! | `listeners` | binds the listening sockets, or takes them over from an old process |
//! | `operations` | the admin server, the list overlay and hot restart, if an operator's address is configured |
//! | `components` | the parts that a single core and several cores have in common |
//! | `single_core` | a service with one core; [`cores`] has the one with several |

pub(crate) mod components;
mod listeners;
pub(crate) mod operations;
mod signals;
mod single_core;

pub use listeners::{Listeners, TakenOver};

use crate::config::{Config, Source};
use crate::cores;
use crate::counters::Counters;
use crate::net::http::GatedListener;
use crate::ops::hot_restart::RestartRole;
use tokio::sync::{mpsc, watch};

/// Serves until SIGTERM or SIGINT, and then until all accepted requests are answered. SIGHUP reloads the configuration
/// and applies a changed `discovery` address; all other changes need a restart.
///
/// # Errors
/// If the runtime, a signal handler or a listening socket can't be created, or if the core has ended.
pub fn run(config: Config, source: Source) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let (stop, discovery_moves) = signals::install_handlers(source)?;
        let listeners = Listeners::open(&config).await?;
        let counters = Counters::striped(config.operator.cores.map_or(1, |c| c.count));
        serve(config, listeners, counters.clone(), stop, discovery_moves).await?;
        log::info!("stopped: {}", counters.line());
        Ok(())
    })
}

/// Serves until `stop` turns true. `discovery_moves` receives new addresses of discovery.
///
/// # Errors
/// If the core itself has ended: without it every query would be lost, so the process must be restarted. Also if a
/// thread or socket can't be created at the start.
pub async fn serve(
    mut config: Config,
    listeners: Listeners,
    counters: Counters,
    stop: watch::Receiver<bool>,
    discovery_moves: mpsc::UnboundedReceiver<String>,
) -> std::io::Result<()> {
    counters.of_classes(&config.site.classes);
    let role = if listeners.taken_over.is_some() {
        RestartRole::Overlapping
    } else {
        RestartRole::Alone
    };
    let (role_sender, restart_role) = watch::channel(role);
    let clients = GatedListener {
        restart_role: restart_role.clone(),
        listener: listeners.clients,
    };
    let mut operations = None;
    if let Some(operator) = listeners.operator {
        let roles = (role_sender, restart_role);
        let parts = operations::start(
            &mut config,
            operator,
            listeners.taken_over,
            &clients.listener,
            roles,
            &counters,
            &stop,
        )?;
        operations = Some(parts);
    }
    let service = components::ServiceParts {
        config,
        clients,
        counters,
        stop,
        discovery_moves,
        operations,
    };
    match service.config.operator.cores.filter(|c| c.count > 1) {
        Some(cores) => cores::run(service, cores).await,
        None => single_core::run(service).await,
    }
}
