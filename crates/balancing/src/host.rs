//! What is believed of a host: what it keeps, what it still has to read, how late its answers are.

use crate::health::Health;
use crate::order::place;
use crate::types::{HostInfo, PromptPart};
use crate::window::ms;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Parts of prompts that a host was sent, the latest first to stay.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    parts: HashMap<u64, (u32, u64)>,
    /// Those of them that others may ask for too.
    shared: HashSet<u64>,
    uses: BTreeMap<u64, u64>,
    tokens: f64,
    next: u64,
}

impl Kept {
    /// Whether a part is kept.
    pub(crate) fn has(&self, part: u64) -> bool {
        self.parts.contains_key(&part)
    }

    /// Tokens from the front on that are kept.
    pub(crate) fn prefix(&self, parts: &[PromptPart]) -> u32 {
        parts
            .iter()
            .take_while(|p| self.parts.contains_key(&p.id))
            .map(|p| p.tokens)
            .sum()
    }

    pub(crate) fn touch(&mut self, parts: &[PromptPart], room: f64) {
        for PromptPart { id, tokens } in parts {
            self.next += 1;
            match self.parts.insert(*id, (*tokens, self.next)) {
                Some((before, used)) => {
                    self.uses.remove(&used);
                    self.tokens += f64::from(*tokens) - f64::from(before);
                }
                None => self.tokens += f64::from(*tokens),
            }
            self.uses.insert(self.next, *id);
        }
        while self.tokens > room {
            let Some((_, id)) = self.uses.pop_first() else {
                break;
            };
            if let Some((tokens, _)) = self.parts.remove(&id) {
                self.tokens -= f64::from(tokens);
            }
            self.shared.remove(&id);
        }
    }

    /// Notes parts that others may ask for too; whether any of them is new here.
    pub(crate) fn share(&mut self, parts: &[PromptPart]) -> bool {
        parts.iter().fold(false, |new, p| {
            (self.parts.contains_key(&p.id) && self.shared.insert(p.id)) | new
        })
    }

    /// Shared parts that are kept, those used latest first.
    pub(crate) fn shared(&self) -> Vec<PromptPart> {
        let latest = self
            .uses
            .values()
            .rev()
            .filter(|id| self.shared.contains(id));
        latest
            .filter_map(|id| {
                Some(PromptPart {
                    id: *id,
                    tokens: self.parts.get(id)?.0,
                })
            })
            .collect()
    }
}

/// A host and what is believed of it.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) info: HostInfo,
    /// Number of its service.
    pub(crate) service: usize,
    pub(crate) place: u64,
    pub(crate) health: Health,
    pub(crate) kept: Kept,
    /// Own attempts that are out.
    pub(crate) out: Vec<usize>,
    /// When it will have read what we sent, by our reckoning.
    pub(crate) busy_until: Duration,
    /// When it will have read what other proxies sent, by what they tell.
    pub(crate) others_until: Duration,
    /// How much later than reckoned its answers are, in ms, and when that was learned.
    excess: f64,
    excess_at: Duration,
    /// When anything came from it.
    pub(crate) heard: Option<Duration>,
    /// Until when it is taken for full.
    pub(crate) full_until: Option<Duration>,
    /// Answered 421, or another host has its address: not used until the roster says otherwise.
    pub(crate) moved: bool,
    /// No longer in the roster; kept until what is out has ended.
    pub(crate) gone: bool,
    /// When it became known.
    pub(crate) since: Duration,
    /// Until when it is slow from its start.
    pub(crate) cold_until: Duration,
    /// When it last told that it is busy, unless it has told otherwise since.
    pub(crate) told_busy: Option<Duration>,
    /// Whether it came while others of its service were there.
    pub(crate) late_comer: bool,
}

/// Time constant with which lateness is forgotten, in ms.
const FORGET_MS: f64 = 800.0;
/// What came from a host shows it alive for so long.
const HEARD: Duration = Duration::from_secs(1);

impl Host {
    pub(crate) fn new(info: HostInfo, service: usize, now: Duration, late_comer: bool) -> Self {
        Self {
            service,
            cold_until: now + info.slow_start_remaining,
            told_busy: None,
            place: place(&info.id),
            info,
            health: Health::default(),
            kept: Kept::default(),
            out: Vec::new(),
            busy_until: now,
            others_until: now,
            excess: 0.0,
            excess_at: now,
            heard: None,
            full_until: None,
            moved: false,
            gone: false,
            since: now,
            late_comer,
        }
    }

    pub(crate) fn excess(&self, now: Duration) -> f64 {
        self.excess * (-ms(now.saturating_sub(self.excess_at)) / FORGET_MS).exp()
    }

    /// An answer came so much later than reckoned (in ms; below 0 for earlier).
    pub(crate) fn late_by(&mut self, now: Duration, late: f64) {
        self.excess = (0.5 * self.excess(now) + 0.5 * late).max(0.0);
        self.excess_at = now;
    }

    /// What is left to be read of what was sent, as far as known, in ms.
    pub(crate) fn backlog(&self, now: Duration) -> f64 {
        ms(self.busy_until.saturating_sub(now)) + ms(self.others_until.saturating_sub(now))
    }

    /// Whether it may get requests at all.
    pub(crate) fn usable(&self) -> bool {
        !self.info.draining && !self.moved && !self.gone
    }

    /// Whether its heartbeats have stopped and nothing else has come from it lately. Heartbeats may be seconds
    /// late: a host that answers here is there.
    pub(crate) fn lost(&self, now: Duration) -> bool {
        self.info.heartbeat_expired && self.heard.is_none_or(|t| now.saturating_sub(t) > HEARD)
    }

    /// Whether it may be listed.
    pub(crate) fn fit(&self, now: Duration) -> bool {
        self.usable() && !self.health.out() && !self.lost(now) && !self.full(now)
    }

    pub(crate) fn full(&self, now: Duration) -> bool {
        self.full_until.is_some_and(|t| now < t)
    }
}
