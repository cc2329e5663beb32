//! Counts and logs changes of the hosts' health, with one log line for each change.

use super::ProxyState;
use balancing::{HealthChange, HealthTransition, HostError};

impl ProxyState {
    /// Counts and logs the health changes since the last call.
    pub(crate) fn report_health_transitions(&self) {
        let transitions = self.load_balancer.borrow_mut().take_health_transitions();
        for transition in transitions {
            self.report_health_transition(&transition);
        }
    }

    fn report_health_transition(&self, transition: &HealthTransition) {
        let (host, service) = (&*transition.host_id, &*transition.service);
        match transition.change {
            HealthChange::Ejected { error, duration } => {
                self.counters.add(|c| c.hosts_ejected += 1);
                let cause = error_name(error);
                let probe_after_ms = duration.as_millis() as u64;
                log::info!(host, service, cause, probe_after_ms; "host ejected");
            }
            HealthChange::Reinstated => {
                self.counters.add(|c| c.hosts_reinstated += 1);
                log::info!(host, service; "host reinstated");
            }
        }
    }
}

/// Returns the name of an error in log lines.
fn error_name(error: HostError) -> &'static str {
    match error {
        HostError::ErrorResponse => "error responses",
        HostError::Connection => "connection failed",
        HostError::Timeout => "timeout",
    }
}
