//! What the values of a scenario have to be. Settings are checked in a fixed order; the first that is wrong is reported.

use super::{
    Arrivals, ClassTable, DialectName, FaultKind, FaultTable, FrontName, RepeatName, Scenario,
};

/// A setting whose value means nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("'{key}' {reason}")]
pub struct InvalidSetting {
    /// The setting's key.
    pub key: String,
    /// What is wrong with the value.
    pub reason: String,
}

/// Reports a setting unless its value is valid.
fn need(valid: bool, key: &str, reason: &str) -> Result<(), InvalidSetting> {
    if valid {
        return Ok(());
    }
    Err(InvalidSetting {
        key: key.to_owned(),
        reason: reason.to_owned(),
    })
}

/// Reports a setting unless it is a range of finite values that are not negative.
fn range(key: &str, [min, max]: [f64; 2]) -> Result<(), InvalidSetting> {
    let valid = min >= 0.0 && min <= max && max.is_finite();
    need(valid, key, "is no range from least to most")
}

/// Whether a value is a share: 0 to 1.
fn share(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}

fn to_floats(range: [u64; 2]) -> [f64; 2] {
    range.map(|n| n as f64)
}

impl Scenario {
    /// Checks all settings.
    pub(super) fn check(&self) -> Result<(), InvalidSetting> {
        need(
            self.length_s > 0.0 && self.length_s <= 86_400.0,
            "length_s",
            "must lie in (0, 86400]",
        )?;
        self.check_fleet()?;
        self.check_host()?;
        self.check_delays()?;
        self.check_clients()?;
        self.check_mix()?;
        self.check_traffic()?;
        self.check_arrivals()?;
        for (n, fault) in self.faults.iter().enumerate() {
            self.check_fault(n, fault)?;
        }
        Ok(())
    }

    fn check_fleet(&self) -> Result<(), InvalidSetting> {
        let f = &self.fleet;
        need(
            (1..=64).contains(&f.coordinators),
            "fleet.coordinators",
            "must lie in 1 to 64",
        )?;
        need(
            (1..=64).contains(&f.cores),
            "fleet.cores",
            "must lie in 1 to 64",
        )?;
        need(
            (1..=2000).contains(&f.hosts),
            "fleet.hosts",
            "must lie in 1 to 2000",
        )?;
        need(
            f.cells >= 1 && f.cells <= f.hosts.into(),
            "fleet.cells",
            "must lie in 1 to the number of hosts",
        )?;
        need(
            (1..=10_000).contains(&f.shards_per_cell),
            "fleet.shards_per_cell",
            "must lie in 1 to 10000",
        )?;
        need(!f.zones.is_empty(), "fleet.zones", "must name one at least")?;
        need(
            (1..=64).contains(&f.threads),
            "fleet.threads",
            "must lie in 1 to 64",
        )?;
        Ok(())
    }

    fn check_host(&self) -> Result<(), InvalidSetting> {
        let f = &self.fleet;
        let h = &f.host;
        need(
            (1..=256).contains(&h.cores),
            "fleet.host.cores",
            "must lie in 1 to 256",
        )?;
        need(
            h.slots_per_core >= 1,
            "fleet.host.slots_per_core",
            "must be 1 at least",
        )?;
        need(
            h.speed > 0.0 && h.speed.is_finite(),
            "fleet.host.speed",
            "must be above 0",
        )?;
        need(
            share(h.speed_spread) && h.speed_spread < 1.0,
            "fleet.host.speed_spread",
            "must lie in [0, 1)",
        )?;
        need(
            share(h.cold_share) && h.cold_share > 0.0,
            "fleet.host.cold_share",
            "must lie in (0, 1]",
        )?;
        need(
            share(h.error_rate),
            "fleet.host.error_rate",
            "must lie in [0, 1]",
        )?;
        need(h.streams >= 1, "fleet.host.streams", "must be 1 at least")?;
        range("fleet.host.pause_ms", to_floats(h.pause_ms))?;
        range("fleet.host.pause_every_ms", to_floats(h.pause_every_ms))?;
        Ok(())
    }

    /// Checks settings that are ranges of times.
    fn check_delays(&self) -> Result<(), InvalidSetting> {
        let f = &self.fleet;
        for (key, r) in [
            ("fleet.list.add_ms", f.list.add_ms),
            ("fleet.list.notice_ms", f.list.notice_ms),
            ("fleet.list.silent_ms", f.list.silent_ms),
            ("clients.backoff_ms", self.clients.backoff_ms),
        ] {
            range(key, to_floats(r))?;
        }
        Ok(())
    }

    fn check_clients(&self) -> Result<(), InvalidSetting> {
        range("clients.notice_s", self.clients.notice_s)?;
        range("clients.retries", self.clients.retries.map(f64::from))?;
        range("clients.patience", self.clients.patience)?;
        need(
            self.clients.patience[0] > 0.0,
            "clients.patience",
            "must be above 0",
        )?;
        need(
            share(self.clients.honour),
            "clients.honour",
            "must lie in [0, 1]",
        )?;
        need(
            (1..=64).contains(&self.clients.threads),
            "clients.threads",
            "must lie in 1 to 64",
        )?;
        need(
            (1..=100_000).contains(&self.clients.connections),
            "clients.connections",
            "must lie in 1 to 100000",
        )?;
        Ok(())
    }

    /// Checks the classes and tenants.
    fn check_mix(&self) -> Result<(), InvalidSetting> {
        need(
            !self.classes.is_empty() && self.classes.len() < 256,
            "class",
            "must be 1 to 255",
        )?;
        need(
            !self.tenants.is_empty() && self.tenants.len() < 256,
            "tenant",
            "must be 1 to 255",
        )?;
        for (n, class) in self.classes.iter().enumerate() {
            self.check_class(n, class)?;
        }
        need(
            self.classes.iter().any(|c| c.share > 0.0),
            "class",
            "have no share at all",
        )?;
        need(
            self.tenants.iter().all(|t| t.share >= 0.0),
            "tenant.share",
            "must not be negative",
        )?;
        need(
            self.tenants.iter().any(|t| t.share > 0.0),
            "tenant",
            "have no share at all",
        )?;
        Ok(())
    }

    fn check_class(&self, n: usize, c: &ClassTable) -> Result<(), InvalidSetting> {
        let shards = self.shards();
        let key = |k: &str| format!("class[{n}].{k}");
        let plain = !c.name.is_empty()
            && c.name
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b == b'-');
        need(plain, &key("name"), "must be letters, digits and '-'")?;
        need(
            c.share >= 0.0 && c.share.is_finite(),
            &key("share"),
            "must not be negative",
        )?;
        let parts = c.parts[0] >= 1 && c.parts[0] <= c.parts[1] && c.parts[1] <= shards;
        need(
            parts,
            &key("parts"),
            &format!("must be a range in 1 to {shards}, the number of shards"),
        )?;
        need(
            c.work_ms >= 0.0 && c.work_ms <= 1e6,
            &key("work_ms"),
            "must lie in 0 to 1000000",
        )?;
        need(
            (0.0..=5.0).contains(&c.work_cv),
            &key("work_cv"),
            "must lie in 0 to 5",
        )?;
        let times = c.goal_ms > 0.0 && c.goal_ms <= c.limit_ms && c.limit_ms <= 600_000.0;
        need(
            times,
            &key("goal_ms"),
            "must lie in 0 to 'limit_ms', and that in 0 to 600000",
        )?;
        need(
            share(c.floor) && c.floor > 0.0,
            &key("floor"),
            "must lie in (0, 1]",
        )?;
        let keyed = c.repeat != RepeatName::Keyed || c.window_ms > 0.0;
        need(keyed, &key("window_ms"), "must be above 0 in a keyed class")?;
        Ok(())
    }

    fn check_traffic(&self) -> Result<(), InvalidSetting> {
        let f = &self.fleet;
        let t = &self.traffic;
        need(
            !t.fronts.is_empty(),
            "traffic.fronts",
            "must name one at least",
        )?;
        // The platform's text is no search: a coordinator can't say it to such hosts.
        let speak = f.dialect == DialectName::Frames
            || t.fronts.iter().all(|f| *f == FrontName::OpenSearch);
        need(
            speak,
            "traffic.fronts",
            "must be 'opensearch' alone where 'fleet.dialect' is",
        )?;
        need(
            (1..=10_000_000).contains(&t.keys),
            "traffic.keys",
            "must lie in 1 to 10000000",
        )?;
        need(
            (0.0..=4.0).contains(&t.zipf),
            "traffic.zipf",
            "must lie in 0 to 4",
        )?;
        need(
            !t.shapes.is_empty() || t.trace.is_some(),
            "traffic.shape",
            "or 'traffic.trace' is needed",
        )?;
        need(
            t.shapes.is_empty() || t.trace.is_none(),
            "traffic.trace",
            "goes without 'traffic.shape'",
        )?;
        Ok(())
    }

    fn check_arrivals(&self) -> Result<(), InvalidSetting> {
        let t = &self.traffic;
        if let Arrivals::Bursty {
            ratio,
            busy_s,
            quiet_s,
        } = t.arrivals
        {
            let sound = ratio >= 1.0 && ratio.is_finite() && busy_s > 0.0 && quiet_s > 0.0;
            need(
                sound,
                "traffic.arrivals",
                "needs a ratio of 1 at least and times above 0",
            )?;
        }
        for (n, s) in t.shapes.iter().enumerate() {
            s.check().map_err(|error| InvalidSetting {
                key: format!("traffic.shape[{n}]"),
                reason: error.to_string(),
            })?;
        }
        for (n, k) in t.hot_keys.iter().enumerate() {
            let sound =
                share(k.share) && k.at_s >= 0.0 && k.for_s > 0.0 && (1..=t.keys).contains(&k.keys);
            need(
                sound,
                &format!("traffic.hot_key[{n}]"),
                "needs a share in 0 to 1, a time and keys that exist",
            )?;
        }
        Ok(())
    }

    fn check_fault(&self, n: usize, x: &FaultTable) -> Result<(), InvalidSetting> {
        let f = &self.fleet;
        let key = |k: &str| format!("fault[{n}].{k}");
        need(
            x.at_s >= 0.0 && x.at_s <= self.length_s,
            &key("at_s"),
            "must lie within 'length_s'",
        )?;
        need(
            x.for_s >= 0.0 && x.for_s.is_finite(),
            &key("for_s"),
            "must not be negative",
        )?;
        need(
            x.times > 0.0 && x.times.is_finite(),
            &key("times"),
            "must be above 0",
        )?;
        let most = if x.kind.of_coordinator() {
            f.coordinators
        } else {
            f.hosts
        };
        let none = x.kind == FaultKind::DiscoverySilent;
        need(
            none || !x.which.is_empty(),
            &key("which"),
            "must name one at least",
        )?;
        let there = x.which.iter().all(|w| *w < most);
        need(
            there,
            &key("which"),
            &format!("must lie in 0 to {}", most - 1),
        )?;
        Ok(())
    }
}
