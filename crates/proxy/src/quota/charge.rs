//! Quota units that a request was granted.

use crate::response_progress::ResponseProgress;
use crate::state::ProxyState;
use crate::tenants::Caller;
use configuration::{RateLimit, ResultCode, Tenant};
use quota::Decision;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Units that a request was granted. When dropped, refunds them if the request can't have run.
pub(crate) struct QuotaCharge<'a> {
    state: &'a ProxyState,
    progress: &'a ResponseProgress,
    tenant: Arc<Tenant>,
    limit: RateLimit,
    cost: f64,
}

/// Error for a request that exceeds its tenant's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaExceeded {
    /// Time after which a request may be granted.
    pub(crate) retry_after: Duration,
}

impl QuotaExceeded {
    /// Result code of the local reply.
    pub(crate) const CODE: ResultCode = ResultCode::QuotaExceeded;
}

impl<'a> QuotaCharge<'a> {
    /// Requests quota for a request with `tokens` tokens in total, and holds it for as long as the decision says.
    /// Returns `None` if the caller has no limit.
    pub(crate) async fn acquire(
        state: &'a ProxyState,
        progress: &'a ResponseProgress,
        caller: &Caller,
        tokens: Option<f64>,
    ) -> Result<Option<Self>, QuotaExceeded> {
        let Some(tenant) = caller.tenant() else {
            return Ok(None);
        };
        let Some(limit) = tenant.rate_limit() else {
            return Ok(None);
        };
        let cost = tenant.request_cost(tokens);
        let random = state.random_unit();
        let quotas = &state.quotas;
        let decision = quotas
            .acquire(state.now(), &tenant.name, limit, cost, random)
            .await;
        let wait = match decision {
            Decision::Granted { wait } => wait,
            Decision::Refused { retry_after } => {
                state.counters.add(|c| c.quota_refusals += 1);
                return Err(QuotaExceeded { retry_after });
            }
        };
        let charge = Self {
            state,
            progress,
            tenant: tenant.clone(),
            limit,
            cost,
        };
        if !wait.is_zero() {
            sleep(wait).await;
        }
        Ok(Some(charge))
    }

    /// Charges the request's cost again for another attempt, as the previous one may have run.
    pub(crate) fn charge_again(&self) {
        self.report_usage(self.cost);
    }

    fn report_usage(&self, cost: f64) {
        self.state
            .quotas
            .report_usage(&self.tenant.name, self.limit, cost);
    }
}

impl Drop for QuotaCharge<'_> {
    fn drop(&mut self) {
        if !self.progress.may_have_run() {
            self.report_usage(-self.cost);
        }
    }
}
