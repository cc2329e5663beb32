//! What is believed of a service: its hosts, its idle list, its usual times.

use crate::budget::Budget;
use crate::types::ServiceInfo;
use crate::window::{Line, Quantile};
use idle_list::{IdleList, ENTRY_AGE};
use std::time::Duration;

/// Times assumed until answers tell: a first event without reading, in ms, and the reading of a token.
const BASE_MS: f64 = 30.0;
const TOKEN_MS: f64 = 0.0125;
/// How many times the reckoned time nearly all answers take, assumed at first.
const SPREAD: f64 = 2.5;

pub(crate) struct Service {
    /// What is configured; `None` where only hosts tell of it.
    pub(crate) info: Option<ServiceInfo>,
    /// Its hosts' keys.
    pub(crate) hosts: Vec<usize>,
    pub(crate) idle: IdleList<usize>,
    pub(crate) budget: Budget,
    /// Time to the first event by tokens to be read, in ms.
    pub(crate) times: Line,
    /// Times taken over those reckoned: nearly all are below.
    pub(crate) spread: Quantile,
}

impl Service {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            info: None,
            hosts: Vec::new(),
            idle: IdleList::new(ENTRY_AGE),
            budget: Budget::new(window),
            times: Line::new(BASE_MS, TOKEN_MS),
            spread: Quantile::new(0.97, SPREAD),
        }
    }

    /// Whether its hosts run a model and keep parts of prompts.
    pub(crate) fn model(&self) -> bool {
        self.info
            .as_ref()
            .is_some_and(|i| i.cache_capacity_tokens.is_some())
    }

    /// Time to read so many tokens, in ms.
    pub(crate) fn reading(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.times.slope()
    }
}
