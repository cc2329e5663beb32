//! A scenario: fleet, traffic and faults in one TOML file, checked here and nowhere else. Each message
//! names the file and the key.

mod check;
mod coordinator;
mod faults;
mod fleet;
mod traffic;

pub use check::InvalidSetting;
pub use faults::*;
pub use fleet::*;
pub use traffic::*;

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// What is wrong with a scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file can't be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// It is no TOML of the expected form.
    #[error("{0}: {1}")]
    Text(PathBuf, String),
    /// A key has a value that means nothing.
    #[error("{file}: '{key}' {why}")]
    Value {
        /// The file.
        file: PathBuf,
        /// The key.
        key: String,
        /// What is wrong with it.
        why: String,
    },
}

/// A whole scenario.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The seed of all chance.
    #[serde(default = "seed")]
    pub seed: u64,
    /// How long queries are planned for, in seconds.
    pub length_s: f64,
    /// The fleet.
    #[serde(default)]
    pub fleet: FleetTable,
    /// What a coordinator may use.
    #[serde(default)]
    pub limits: LimitsTable,
    /// Classes of query; the brief's three where none is given.
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<ClassTable>,
    /// Whose queries they are; the brief's four where none is given.
    #[serde(default = "tenants", rename = "tenant")]
    pub tenants: Vec<TenantTable>,
    /// What comes.
    pub traffic: TrafficTable,
    /// What clients do.
    #[serde(default)]
    pub clients: ClientsTable,
    /// What the auditor allows.
    #[serde(default)]
    pub audit: AuditTable,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultTable>,
}

fn seed() -> u64 {
    1
}

impl Scenario {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names the file and the key.
    pub fn load(path: &Path) -> Result<Self, ScenarioError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| ScenarioError::File(path.to_owned(), e))?;
        Self::parse(&text, path)
    }

    /// Reads and checks a scenario from its text; `path` is for messages.
    ///
    /// # Errors
    /// Names the file and the key.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScenarioError> {
        let read: Self = toml::from_str(text)
            .map_err(|e| ScenarioError::Text(path.to_owned(), e.to_string()))?;
        read.check().map_err(|invalid| ScenarioError::Value {
            file: path.to_owned(),
            key: invalid.key,
            why: invalid.reason,
        })?;
        Ok(read)
    }

    /// Number of shards.
    pub fn shards(&self) -> u32 {
        self.fleet.cells * self.fleet.shards_per_cell
    }

    /// The cell that holds a shard.
    pub fn cell_of(&self, shard: u32) -> u32 {
        shard % self.fleet.cells
    }

    /// The zone of a host or coordinator by its number.
    pub fn zone_of(&self, n: u16) -> usize {
        usize::from(n) % self.fleet.zones.len()
    }

    /// The length in microseconds.
    pub fn length_us(&self) -> u64 {
        (self.length_s * 1e6) as u64
    }
}
