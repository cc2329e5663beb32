//! Decides whether a response is complete whose end nothing but an orderly close of its host's connection marks.
//!
//! The kernel closes the connections of a process that has crashed in an orderly way too, so that the close proves
//! nothing. A host that still runs has closed the connection itself. It accepts new connections, while the address of a
//! process that has ended refuses them.

use super::host_selection::SelectedHost;
use super::host_wait::WaitError;
use super::Exchange;
use crate::upstream::{self, AcquireError, ResponseBody};

impl Exchange<'_> {
    /// Checks a body whose end has been read, after its connection was dropped or released. Takes one round trip to the
    /// host if nothing but the close of the connection marked the end.
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
            log::debug!("host {} ended a body and refuses connections", host.id);
            self.state.counters.add(|c| c.bodies_ended_by_crash += 1);
            return Err(WaitError::Broken);
        }
        Ok(())
    }

    /// Whether the host's process has ended, other than as planned after its last response.
    async fn has_crashed(&self, host: &SelectedHost) -> bool {
        // Any other failure is no evidence: the host may be overloaded, or out of reach.
        let is_refused = matches!(
            upstream::connect(self.state, &self.connect_target(host)).await,
            Err(AcquireError::ConnectionRefused)
        );
        // A host that has announced its end may end right after its last stream, or in the middle of it. Where another
        // host can tell, it is asked.
        is_refused
            && (self.route.resumable || self.state.load_balancer.borrow().is_serving(&host.id))
    }
}
