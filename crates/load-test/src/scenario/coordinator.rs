//! What the coordinators of a scenario are given: their settings and the operator's file.

use super::{ClassTable, DialectName, FrontName, RepeatName, Scenario};
use serde_json::{json, Value};

impl Scenario {
    /// The settings that a coordinator is given, as the platform words them.
    pub fn settings(&self, coordinator: u16) -> Value {
        let (f, h) = (&self.fleet, &self.fleet.host);
        let classes: Vec<Value> = self
            .classes
            .iter()
            .map(|c| {
                let idempotency = match c.repeat {
                    RepeatName::Safe => "retryable",
                    RepeatName::Keyed => "dedup",
                    RepeatName::Unsafe => "fragile",
                };
                json!({"name": c.name, "goal_time": c.goal_ms, "hard_limit": c.limit_ms, "worth": c.worth,
                       "late_worth": c.late_worth, "idempotency": idempotency, "window": c.window_ms})
            })
            .collect();
        let each =
            |of: &dyn Fn(&ClassTable) -> f64| self.classes.iter().map(of).collect::<Vec<f64>>();
        let tenants: Vec<Value> = self
            .tenants
            .iter()
            .map(|t| json!({"name": t.name, "portion": t.share, "quota_per_s": t.quota_per_s}))
            .collect();
        json!({
            "az": f.zones[self.zone_of(coordinator)], "azs": f.zones, "balancers": f.coordinators, "step": 5.0,
            "caps": {"max_attempts": self.limits.attempts, "second_copies": false, "may_cancel": true,
                     "probes": true, "max_retry_after": self.limits.retry_after_ms,
                     "open_cap": self.limits.open, "streams_per_conn": h.streams,
                     "conn_idle": h.idle_ms as f64, "connect_timeout": 250.0},
            "classes": classes,
            "costs": {"cross_zone": 0.027},
            "family_info": {"bundle_max": f.bundle_max, "call_cost": h.call_ms, "sets": f.cells, "width": 1,
                            "shards": self.shards(), "class_need": each(&|_| 1.0),
                            "class_floor": each(&|c| c.floor), "partial_earns": each(&|c| c.partial_worth)},
            // What a coordinator is told of cold hosts is a bound, not their very figures.
            "safety": {"drain_grace": 2000.0, "cold_share": (h.cold_share * 0.67).min(1.0),
                       "ramp_time": h.cold_ms as f64 * 1.4, "fall_multiple": h.fall_multiple,
                       "tip_after": h.fall_ms as f64},
            "stats": {"how": "piggyback", "names": ["pending", "busy_reqs", "served_ps"]},
            "tenants": tenants,
        })
    }

    /// The operator's file that turns the OpenSearch-style front on, if any client or host wants it.
    pub fn operator(&self) -> Option<String> {
        let front = self.traffic.fronts.contains(&FrontName::OpenSearch);
        let hosts = self.fleet.dialect == DialectName::OpenSearch;
        let cores = self.fleet.cores > 1;
        if !front && !hosts && !cores {
            return None;
        }
        let mut text = String::new();
        if hosts {
            text.push_str("hosts = \"opensearch\"\n");
        }
        if cores {
            text.push_str(&format!("[cores]\ncount = {}\n", self.fleet.cores));
        }
        if !front {
            return Some(text);
        }
        text.push_str("[opensearch]\nscroll_contexts = 32\n");
        for c in &self.classes {
            let tenant = &self.tenants[0].name;
            text.push_str(&format!(
                "[[opensearch.index]]\nname = \"{}\"\nclass = \"{}\"\ntenant = \"{tenant}\"\n\
                 tenant_header = \"X-Cooperative\"\nkey_header = \"Idempotency-Key\"\n\
                 [opensearch.index.districts]\n",
                c.name, c.name
            ));
            (0..self.shards()).for_each(|s| text.push_str(&format!("d{s} = {s}\n")));
        }
        Some(text)
    }
}
