//! Decides whether a stream is complete whose end nothing but an orderly close of its host's connection marks.
//!
//! The kernel closes the connections of a process that has crashed in an orderly way too, so that the close proves
//! nothing. A host that still runs has closed the connection itself. It accepts new connections, while the address of a
//! process that has ended refuses them.

use super::host_selection::SelectedHost;
use super::host_wait::WaitError;
use super::Exchange;
use crate::upstream::{self, AcquireError, ResponseBody};

impl Exchange<'_> {
    /// Counts a body whose end has been read, if nothing but the end of the connection marked it.
    pub(super) fn record_body_end(&self, body: &ResponseBody) {
        if body.is_close_delimited() {
            self.state.counters.add(|c| c.close_delimited_bodies += 1);
        }
    }

    /// Checks a stream whose end has been read and whose connection is closed on both sides. Takes one round trip to
    /// the host if nothing but the close marked the end.
    ///
    /// # Errors
    /// [`WaitError::Broken`] if the host crashed: it closed the connection and then refused a new one.
    pub(super) async fn confirm_stream_end(
        &self,
        body: &ResponseBody,
        host: &SelectedHost,
    ) -> Result<(), WaitError> {
        if !body.is_close_delimited() {
            return Ok(());
        }
        match upstream::connect(self.state, &self.connect_target(host)).await {
            Err(AcquireError::ConnectionRefused) => {
                log::debug!("host {} ended a stream and refuses connections", host.id);
                self.state.counters.add(|c| c.streams_ended_by_crash += 1);
                Err(WaitError::Broken)
            }
            // Any other failure is no evidence of a crash: the host may be overloaded, or out of reach.
            Ok(_) | Err(AcquireError::AtLimit | AcquireError::ConnectFailed) => Ok(()),
        }
    }
}
