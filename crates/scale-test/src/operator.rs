//! The operator: one change after the other, each on top of the one before.

use crate::http::Connection;
use crate::plan::Plan;
use serde_json::json;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until, timeout};

/// How long the operator waits for an answer before it asks another member, and how much longer for each KB.
const WAIT: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(10));

/// A change that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acked {
    pub(crate) version: u64,
    pub(crate) sent: Instant,
    pub(crate) acked: Instant,
}

/// Sends changes for as long as it is polled; `done` takes those that were acknowledged.
pub(crate) async fn play(
    plan: Arc<Plan>,
    controls: Arc<Mutex<Vec<SocketAddrV4>>>,
    done: Arc<Mutex<Vec<Acked>>>,
) {
    let (mut connection, mut next, mut version) = (Connection::default(), 0, 0);
    let mut due = tokio::time::Instant::now();
    loop {
        sleep_until(due).await;
        due = (due + plan.change).max(tokio::time::Instant::now());
        let change = if version == 0 {
            plan.configuration()
        } else {
            let route = plan.route(version as usize % plan.routes.max(1), 4000 + version);
            json!({"version": version + 1, "upsert": {"routes": [route]}, "remove": {}})
        };
        let path = match version {
            0 => "/fennelpin/Configuration.Replace",
            _ => "/fennelpin/Configuration.Amend",
        };
        let body = change.to_string();
        let headers = format!("Fennelpin-Base-Version: {version}\r\n");
        let sent = Instant::now();
        let mut pause = Duration::from_millis(50);
        loop {
            let to = {
                let controls = controls.lock().unwrap_or_else(PoisonError::into_inner);
                controls[next % controls.len()]
            };
            let wait = WAIT.0 + WAIT.1 * (body.len() / 1024) as u32;
            match timeout(wait, connection.call(to, path, &headers, body.as_bytes())).await {
                Ok(Ok(answer)) if answer.status == 200 => break,
                Ok(Ok(answer)) if answer.status < 500 => {
                    log::error!(status = answer.status, body:% = String::from_utf8_lossy(&answer.body); "refused");
                }
                _ => {}
            }
            connection = Connection::default();
            next += 1;
            sleep(pause).await;
            pause = (pause * 2).min(Duration::from_millis(500));
        }
        version += 1;
        let acked = Acked {
            version,
            sent,
            acked: Instant::now(),
        };
        done.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(acked);
    }
}
