//! History of the configurations that this member saw in force, for operators. It is kept in memory only: data that has
//! to survive a restart is in the replicated state.

use configuration::Configuration;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Maximum number of configurations that are kept with their content.
const MAX_KEPT_CONFIGURATIONS: usize = 8;
/// Maximum total size of the kept configurations, in bytes of JSON. The newest one is kept whatever its size.
const MAX_KEPT_BYTES: usize = 1 << 20;
/// Maximum number of versions that are listed, most of them without their content.
const MAX_LISTED_VERSIONS: usize = 256;

/// A configuration version that was in force, as listed to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Version number of the configuration.
    pub version: u64,
    /// Time at which this member learnt of the version, in ms since the Unix epoch (1970-01-01).
    pub seen_ms: u64,
    /// Number of routes in the configuration.
    pub routes: usize,
    /// Number of services in the configuration.
    pub services: usize,
    /// Whether this member still has the configuration's content.
    pub kept: bool,
}

#[derive(Debug)]
struct SeenVersion {
    entry: HistoryEntry,
    seen_at: SystemTime,
    content: Option<Content>,
}

#[derive(Debug)]
struct Content {
    configuration: Arc<Configuration>,
    bytes: usize,
}

/// The latest configurations that were in force, oldest first.
///
/// ```
/// use control_plane::configuration_history::ConfigurationHistory;
/// use std::{sync::Arc, time::{Duration, SystemTime}};
/// let configuration = |version: u64| {
///     let text = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
///     Arc::new(configuration::Configuration::read(text.as_bytes(), 0).unwrap())
/// };
/// let mut history = ConfigurationHistory::default();
/// history.record(&configuration(3), SystemTime::UNIX_EPOCH);
/// history.record(&configuration(5), SystemTime::UNIX_EPOCH + Duration::from_secs(9));
/// assert_eq!(history.entries().iter().map(|e| e.version).collect::<Vec<_>>(), [3, 5]);
/// assert_eq!(history.configuration(3).unwrap().version, 3);
/// // A coordinator with version 3 has been outdated since version 5 was recorded.
/// let now = SystemTime::UNIX_EPOCH + Duration::from_secs(10);
/// assert_eq!(history.time_behind(3, now), Some(Duration::from_secs(1)));
/// assert_eq!(history.time_behind(5, now), None);
/// ```
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    seen: VecDeque<SeenVersion>,
}

impl ConfigurationHistory {
    /// Records the configuration in force. Does nothing if its version isn't newer than the newest recorded one.
    pub fn record(&mut self, configuration: &Arc<Configuration>, now: SystemTime) {
        let newest = self.seen.back().map_or(0, |seen| seen.entry.version);
        if configuration.version <= newest {
            return;
        }
        self.seen.push_back(SeenVersion::new(configuration, now));
        if self.seen.len() > MAX_LISTED_VERSIONS {
            self.seen.pop_front();
        }
        self.drop_old_content();
    }

    /// The recorded versions, oldest first.
    pub fn entries(&self) -> Vec<HistoryEntry> {
        self.seen.iter().map(|seen| seen.entry.clone()).collect()
    }

    /// Returns the configuration of a version, or `None` if its content isn't kept.
    pub fn configuration(&self, version: u64) -> Option<&Arc<Configuration>> {
        let seen = self
            .seen
            .iter()
            .find(|seen| seen.entry.version == version)?;
        seen.content.as_ref().map(|content| &content.configuration)
    }

    /// Returns the time since a version newer than `version` was first recorded; `None` if there is no newer one.
    pub fn time_behind(&self, version: u64, now: SystemTime) -> Option<Duration> {
        let next = self.seen.iter().find(|seen| seen.entry.version > version)?;
        Some(now.duration_since(next.seen_at).unwrap_or_default())
    }

    /// Drops the content of the oldest versions until the rest is within [`MAX_KEPT_CONFIGURATIONS`] and
    /// [`MAX_KEPT_BYTES`].
    fn drop_old_content(&mut self) {
        let (mut count, mut total_bytes) = (0, 0);
        for seen in self.seen.iter_mut().rev() {
            let Some(content) = &seen.content else {
                return;
            };
            count += 1;
            total_bytes += content.bytes;
            let is_newest = count == 1;
            if count > MAX_KEPT_CONFIGURATIONS || (!is_newest && total_bytes > MAX_KEPT_BYTES) {
                seen.content = None;
                seen.entry.kept = false;
            }
        }
    }
}

impl SeenVersion {
    fn new(configuration: &Arc<Configuration>, now: SystemTime) -> Self {
        let route_bytes = configuration.routes.iter().map(|route| route.raw.len());
        let service_bytes = configuration
            .services
            .iter()
            .map(|service| service.raw.len());
        let tenants = configuration.tenant_items().iter();
        let tenant_bytes = tenants.map(|tenant| tenant.raw.len());
        Self {
            entry: HistoryEntry {
                version: configuration.version,
                seen_ms: now
                    .duration_since(SystemTime::UNIX_EPOCH)
                    .map_or(0, |time| time.as_millis() as u64),
                routes: configuration.routes.len(),
                services: configuration.services.len(),
                kept: true,
            },
            seen_at: now,
            content: Some(Content {
                configuration: configuration.clone(),
                bytes: route_bytes.chain(service_bytes).chain(tenant_bytes).sum(),
            }),
        }
    }
}
