//! The latest configurations that this member saw in force, for operators. In memory only: what must last is the
//! ledger's.

use configuration::Configuration;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

/// Configurations that are kept whole at most.
const DOCUMENTS: usize = 8;
/// Bytes of JSON that they have together at most; the newest is kept whatever its length.
const BYTES: usize = 1 << 20;
/// Versions that are remembered without their configurations.
const VERSIONS: usize = 256;

/// A version that was in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// The version.
    pub version: u64,
    /// When this member learnt of it, in ms of the time of day.
    pub seen_ms: u64,
    /// Its routes.
    pub routes: usize,
    /// Its services.
    pub services: usize,
    /// Whether the whole of it can be had here.
    pub kept: bool,
}

#[derive(Debug)]
struct Seen {
    entry: Entry,
    at: SystemTime,
    document: Option<(Arc<Configuration>, usize)>,
}

/// The latest configurations, oldest first.
///
/// ```
/// use control_plane::configuration_history::ConfigurationHistory;
/// use std::{sync::Arc, time::{Duration, SystemTime}};
/// let document = |version: u64| {
///     let text = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
///     Arc::new(configuration::Configuration::read(text.as_bytes(), 0).unwrap())
/// };
/// let mut history = ConfigurationHistory::default();
/// history.note(&document(3), SystemTime::UNIX_EPOCH);
/// history.note(&document(5), SystemTime::UNIX_EPOCH + Duration::from_secs(9));
/// assert_eq!(history.entries().iter().map(|e| e.version).collect::<Vec<_>>(), [3, 5]);
/// assert_eq!(history.document(3).unwrap().version, 3);
/// // Who still has version 3 is behind since version 5 came.
/// let now = SystemTime::UNIX_EPOCH + Duration::from_secs(10);
/// assert_eq!(history.behind(3, now), Some(Duration::from_secs(1)));
/// assert_eq!(history.behind(5, now), None);
/// ```
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    seen: VecDeque<Seen>,
}

impl ConfigurationHistory {
    /// Notes the configuration in force; one that is known or older changes nothing.
    pub fn note(&mut self, document: &Arc<Configuration>, at: SystemTime) {
        if document.version <= self.seen.back().map_or(0, |s| s.entry.version) {
            return;
        }
        let entry = Entry {
            version: document.version,
            seen_ms: at
                .duration_since(SystemTime::UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
            routes: document.routes.len(),
            services: document.services.len(),
            kept: true,
        };
        let items = document
            .routes
            .iter()
            .map(|r| r.raw.len())
            .chain(document.services.iter().map(|s| s.raw.len()));
        let bytes = items.sum();
        self.seen.push_back(Seen {
            entry,
            at,
            document: Some((document.clone(), bytes)),
        });
        if self.seen.len() > VERSIONS {
            self.seen.pop_front();
        }
        let (mut count, mut total) = (0, 0);
        for seen in self.seen.iter_mut().rev() {
            let Some((_, bytes)) = &seen.document else {
                break;
            };
            (count, total) = (count + 1, total + bytes);
            if count > DOCUMENTS || (count > 1 && total > BYTES) {
                (seen.document, seen.entry.kept) = (None, false);
            }
        }
    }

    /// The versions, oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.seen.iter().map(|s| s.entry.clone()).collect()
    }

    /// The configuration of a version, where it is kept.
    pub fn document(&self, version: u64) -> Option<&Arc<Configuration>> {
        let seen = self.seen.iter().find(|s| s.entry.version == version)?;
        seen.document.as_ref().map(|(document, _)| document)
    }

    /// For how long whoever has `version` in force has lacked a newer one; none where it has the newest.
    pub fn behind(&self, version: u64, now: SystemTime) -> Option<Duration> {
        let next = self.seen.iter().find(|s| s.entry.version > version)?;
        Some(now.duration_since(next.at).unwrap_or_default())
    }
}
