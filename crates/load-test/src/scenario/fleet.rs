//! The fleet: its hosts, its list, and the limits of its coordinators.

use super::Scenario;
use fake_hosts::fleet::{Dialect, FleetSpec, HostPlacement, ListDelays};
use fake_hosts::host::ConnSpec;
use fake_hosts::model::HostSpec;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The fleet.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct FleetTable {
    /// Coordinators.
    pub coordinators: u16,
    /// Cores of each coordinator.
    pub cores: u16,
    /// District hosts, dealt out to cells in turn.
    pub hosts: u16,
    /// Cells: the hosts of a cell hold the same shards.
    pub cells: u32,
    /// Shards of each cell.
    pub shards_per_cell: u32,
    /// Data centres; hosts and coordinators are dealt out to them in turn.
    pub zones: Vec<String>,
    /// `frames` or `opensearch`.
    pub dialect: DialectName,
    /// Most parts of one call.
    pub bundle_max: u32,
    /// Threads that hosts are spread over.
    pub threads: usize,
    /// What a host is made of.
    pub host: HostTable,
    /// How late the list hears of things.
    pub list: ListTable,
}

impl Default for FleetTable {
    fn default() -> Self {
        Self {
            coordinators: 2,
            cores: 1,
            hosts: 12,
            cells: 4,
            shards_per_cell: 3,
            zones: vec!["casa-ain-sebaa".into(), "casa-sidi-maarouf".into()],
            dialect: DialectName::Frames,
            bundle_max: 8,
            threads: 2,
            host: HostTable::default(),
            list: ListTable::default(),
        }
    }
}

/// A dialect by name.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum DialectName {
    /// Frames.
    Frames,
    /// OpenSearch's API.
    OpenSearch,
}

/// What a host is made of; times in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct HostTable {
    /// Answers at once, without work.
    pub instant: bool,
    /// Cores.
    pub cores: u32,
    /// Parts in work at once, for each core.
    pub slots_per_core: u32,
    /// Parts that may wait, for each core.
    pub queue_per_core: f64,
    /// Speed.
    pub speed: f64,
    /// Speeds differ by up to this share either way.
    pub speed_spread: f64,
    /// Work of a call.
    pub call_ms: f64,
    /// Efficiency lost for each part a core beyond `thrash_at`.
    pub thrash: f64,
    /// See `thrash`.
    pub thrash_at: f64,
    /// Length of pauses, least and most.
    pub pause_ms: [u64; 2],
    /// Time between pauses, least and most.
    pub pause_every_ms: [u64; 2],
    /// Share of its capacity that a cold host has.
    pub cold_share: f64,
    /// Time to get warm.
    pub cold_ms: u64,
    /// A cold host falls over beyond this multiple of what it can do …
    pub fall_multiple: f64,
    /// … over this time.
    pub fall_ms: u64,
    /// Share of parts that end in an error.
    pub error_rate: f64,
    /// Time between reports.
    pub report_every_ms: u64,
    /// Time until a report shows.
    pub report_delay_ms: u64,
    /// Parts that one connection carries.
    pub streams: usize,
    /// Connections that it accepts.
    pub connections: usize,
    /// Idle connections are closed after this.
    pub idle_ms: u64,
}

impl Default for HostTable {
    fn default() -> Self {
        let m = HostSpec::default();
        Self {
            instant: m.instant,
            cores: m.cores,
            slots_per_core: m.slots_per_core,
            queue_per_core: m.queue_per_core,
            speed: m.speed,
            speed_spread: 0.08,
            call_ms: m.call_us / 1e3,
            thrash: m.thrash,
            thrash_at: m.thrash_at,
            pause_ms: m.pause_us.map(|t| t / 1000),
            pause_every_ms: m.pause_every_us.map(|t| t / 1000),
            cold_share: m.cold_share,
            cold_ms: m.cold_us / 1000,
            fall_multiple: m.fall_multiple,
            fall_ms: m.fall_us / 1000,
            error_rate: m.error_rate,
            report_every_ms: m.report_every_us / 1000,
            report_delay_ms: m.report_delay_us / 1000,
            streams: 32,
            connections: 1000,
            idle_ms: 15_000,
        }
    }
}

/// How late the list is, in milliseconds, least and most.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct ListTable {
    /// That a process started.
    pub add_ms: [u64; 2],
    /// That one ended or drains.
    pub notice_ms: [u64; 2],
    /// That a machine is silent.
    pub silent_ms: [u64; 2],
}

impl Default for ListTable {
    fn default() -> Self {
        Self {
            add_ms: [260, 2500],
            notice_ms: [630, 4100],
            silent_ms: [4200, 14_000],
        }
    }
}

/// What a coordinator may use.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsTable {
    /// Descriptors.
    pub sockets: u32,
    /// Memory.
    pub memory_mb: u32,
    /// Queries and parts open at once.
    pub open: u32,
    /// Attempts for a part.
    pub attempts: u32,
    /// Longest time that a refused client is asked to stay away.
    pub retry_after_ms: f64,
}

impl Default for LimitsTable {
    fn default() -> Self {
        Self {
            sockets: 1024,
            memory_mb: 192,
            open: 250,
            attempts: 3,
            retry_after_ms: 1000.0,
        }
    }
}

impl Scenario {
    /// The fleet as the fake hosts take it. A host's cell goes by its number, its zone by its place within
    /// the cell, so that each cell has hosts in several zones.
    pub fn fleet_spec(&self) -> FleetSpec {
        let (f, h) = (&self.fleet, &self.fleet.host);
        let spec = |n: u16| HostSpec {
            instant: h.instant,
            cores: h.cores,
            slots_per_core: h.slots_per_core,
            queue_per_core: h.queue_per_core,
            // Spread evenly and the same for each seed: a host is told by its number.
            speed: h.speed * (1.0 + h.speed_spread * (f64::from(n * 7 % 11) / 5.0 - 1.0)),
            call_us: h.call_ms * 1e3,
            thrash: h.thrash,
            thrash_at: h.thrash_at,
            pause_us: h.pause_ms.map(|t| t * 1000),
            pause_every_us: h.pause_every_ms.map(|t| t * 1000),
            cold_share: h.cold_share,
            cold_us: h.cold_ms * 1000,
            fall_multiple: h.fall_multiple,
            fall_us: h.fall_ms * 1000,
            error_rate: h.error_rate,
            report_every_us: h.report_every_ms * 1000,
            report_delay_us: h.report_delay_ms * 1000,
            report_noise: 0.08,
        };
        let place = |n: u16| HostPlacement {
            spec: spec(n),
            cell: u32::from(n) % f.cells,
            zone: f.zones[(u32::from(n) / f.cells) as usize % f.zones.len()].clone(),
        };
        let idle = Duration::from_millis(h.idle_ms);
        FleetSpec {
            hosts: (0..f.hosts).map(place).collect(),
            coordinators: f.coordinators,
            dialect: match f.dialect {
                DialectName::Frames => Dialect::Frames,
                DialectName::OpenSearch => Dialect::OpenSearch,
            },
            conn: ConnSpec {
                streams: h.streams,
                most: h.connections,
                idle,
            },
            delays: ListDelays {
                add_ms: f.list.add_ms,
                notice_ms: f.list.notice_ms,
                silent_ms: f.list.silent_ms,
            },
            threads: f.threads,
            seed: self.seed,
        }
    }
}
