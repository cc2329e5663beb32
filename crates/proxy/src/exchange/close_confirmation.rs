//! Decides whether a response is complete whose end nothing but an orderly close of its host's connection marks.
//!
//! The kernel closes the connections of a process that has crashed in an orderly way too, so that the close proves
//! nothing. A host that still runs has closed the connection itself, and answers a health check. The address of a process
//! that has ended refuses connections.

use super::host_selection::SelectedHost;
use super::host_wait::WaitError;
use super::Exchange;
use crate::headers::HOST_ID;
use crate::upstream::{self, AcquireError, ConnectTarget, ResponseBody, UpstreamError};
use tokio::time::timeout_at;

/// Number of connections on which a host is checked. A process that ends closes its listening socket last: a connection
/// that comes up before is reset then, and the next one is refused. A busy host may reset connections too.
const MAX_HEALTH_CHECKS: u32 = 3;
/// Path of the health check of a service that configures none.
const DEFAULT_HEALTH_PATH: &str = "/";

/// What one connection to a host shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthCheck {
    /// The host, or an unidentified one, answers at its address.
    Answered,
    /// Another host has the address.
    AnotherHost,
    /// Nothing listens at the address.
    Refused,
    /// The connection came up and was closed without an answer.
    Closed,
    /// The connection did not come up for another reason: the host may be overloaded, or out of reach.
    NoEvidence,
}

impl Exchange<'_> {
    /// Checks a body whose end has been read, after its connection was dropped or released. Takes one health check of
    /// the host if nothing but the close of the connection marked the end.
    ///
    /// # Errors
    /// [`WaitError::Broken`] if the host has crashed.
    pub(super) async fn confirm_end(
        &self,
        body: &ResponseBody,
        host: &SelectedHost,
    ) -> Result<(), WaitError> {
        if !body.is_close_delimited() {
            return Ok(());
        }
        self.state.counters.add(|c| c.close_delimited_bodies += 1);
        if self.has_crashed(host).await {
            log::debug!("host {} ended a body, and its process has ended", host.id);
            self.state.counters.add(|c| c.bodies_ended_by_crash += 1);
            return Err(WaitError::Broken);
        }
        Ok(())
    }

    /// Whether the host's process has ended, other than as planned after its last response.
    async fn has_crashed(&self, host: &SelectedHost) -> bool {
        // A host that has announced its end may end right after its last stream, or in the middle of it. Where another
        // host can tell, it is asked.
        let is_serving = self.state.load_balancer.borrow().is_serving(&host.id);
        if !is_serving && !self.route.resumable {
            return false;
        }
        let target = self.connect_target(host);
        let has_ended = self.has_process_ended(&target);
        // A host that doesn't answer in time is busy: the kernel would have closed the connection of one that has ended.
        timeout_at(target.connect_deadline, has_ended)
            .await
            .unwrap_or(false)
    }

    async fn has_process_ended(&self, target: &ConnectTarget) -> bool {
        let path = self.health_path();
        for _ in 0..MAX_HEALTH_CHECKS {
            match self.check_health(target, &path).await {
                HealthCheck::Refused | HealthCheck::AnotherHost => return true,
                HealthCheck::Answered | HealthCheck::NoEvidence => return false,
                HealthCheck::Closed => {}
            }
        }
        false
    }

    async fn check_health(&self, target: &ConnectTarget, path: &str) -> HealthCheck {
        let mut connection = match upstream::connect(self.state, target).await {
            Ok(connection) => connection,
            Err(AcquireError::ConnectionRefused) => return HealthCheck::Refused,
            Err(AcquireError::AtLimit | AcquireError::ConnectFailed) => {
                return HealthCheck::NoEvidence;
            }
        };
        let address = target.address;
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        match connection.request_head(request.as_bytes()).await {
            Ok(head) => match head.fields.get(HOST_ID) {
                Some(id) if id != target.host.as_bytes() => HealthCheck::AnotherHost,
                _ => HealthCheck::Answered,
            },
            Err(UpstreamError::Malformed { .. }) => HealthCheck::Answered,
            Err(_) => HealthCheck::Closed,
        }
    }

    /// Path of the service's health check.
    fn health_path(&self) -> String {
        let routing_table = self.state.routing_table();
        let configured = routing_table.as_ref().and_then(|table| {
            let services = &table.configuration.services;
            let service = services.iter().find(|s| s.value.name == self.service);
            service.map(|service| service.value.health_path.as_str())
        });
        configured
            .filter(|path| is_path(path))
            .unwrap_or(DEFAULT_HEALTH_PATH)
            .to_owned()
    }
}

/// Whether the text can stand as the path of a request.
fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}
