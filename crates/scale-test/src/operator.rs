//! The operator: sends one change of the configuration after the other, each on top of the one before.

use crate::http_client::Connection;
use crate::lock;
use crate::plan::RunPlan;
use serde_json::{json, Value};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until, timeout};

/// Wait for an answer before the call goes to another member, and how much longer that is for each KB of the body.
const BASE_TIMEOUT: Duration = Duration::from_secs(1);
const TIMEOUT_PER_KB: Duration = Duration::from_millis(10);
/// First and longest pause before the call is repeated. It doubles each time.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Deadline of the changed routes, to which the version is added.
const BASE_DEADLINE_MS: u64 = 4000;

/// A change that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcknowledgedChange {
    pub(crate) version: u64,
    pub(crate) sent_at: Instant,
    pub(crate) acknowledged_at: Instant,
}

/// Sends changes for as long as it is polled, and adds those that were acknowledged to `acknowledged`.
pub(crate) async fn send_changes(
    plan: Arc<RunPlan>,
    controls: Arc<Mutex<Vec<SocketAddrV4>>>,
    acknowledged: Arc<Mutex<Vec<AcknowledgedChange>>>,
) {
    let mut operator = Operator {
        controls,
        connection: Connection::default(),
        next_control: 0,
    };
    let mut version = 0;
    let mut due = tokio::time::Instant::now();
    loop {
        sleep_until(due).await;
        due = (due + plan.change_interval).max(tokio::time::Instant::now());
        let body = change(&plan, version).to_string();
        let sent_at = Instant::now();
        operator.send_until_acknowledged(version, &body).await;
        version += 1;
        lock(&acknowledged).push(AcknowledgedChange {
            version,
            sent_at,
            acknowledged_at: Instant::now(),
        });
    }
}

/// The change that follows a version: the whole configuration first, then amendments of one route each.
fn change(plan: &RunPlan, version: u64) -> Value {
    if version == 0 {
        return plan.configuration();
    }
    let number = version as usize % plan.routes.max(1);
    let route = plan.route(number, BASE_DEADLINE_MS + version);
    json!({"version": version + 1, "upsert": {"routes": [route]}, "remove": {}})
}

struct Operator {
    controls: Arc<Mutex<Vec<SocketAddrV4>>>,
    connection: Connection,
    next_control: usize,
}

impl Operator {
    /// Sends a change on top of `version` to one member after the other until one acknowledges it.
    async fn send_until_acknowledged(&mut self, version: u64, body: &str) {
        let path = match version {
            0 => "/fennelpin/Configuration.Replace",
            _ => "/fennelpin/Configuration.Amend",
        };
        let headers = format!("Fennelpin-Base-Version: {version}\r\n");
        let wait = BASE_TIMEOUT + TIMEOUT_PER_KB * (body.len() / 1024) as u32;
        let mut backoff = MIN_BACKOFF;
        loop {
            let to = self.control();
            let call = self.connection.call(to, path, &headers, body.as_bytes());
            match timeout(wait, call).await {
                Ok(Ok(answer)) if answer.status == 200 => return,
                Ok(Ok(answer)) if answer.status < 500 => {
                    log::error!(status = answer.status, body:% = String::from_utf8_lossy(&answer.body); "refused");
                }
                _ => {}
            }
            self.connection = Connection::default();
            self.next_control += 1;
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn control(&self) -> SocketAddrV4 {
        let controls = lock(&self.controls);
        controls[self.next_control % controls.len()]
    }
}
