//! Estimated contents of a host's prefix cache, derived from the prompts that were sent to the host.

use crate::types::PromptPart;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A cached part of a prompt.
#[derive(Debug)]
struct CachedPart {
    tokens: u32,
    /// Sequence number of the part's latest use.
    last_use: u64,
}

/// The prompt parts in a host's prefix cache, evicted in least recently used order.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    /// Ids of the parts that the prompts of other requests may contain too.
    shared: HashSet<u64>,
    /// Ids of the parts, by the sequence number of their latest use.
    parts_by_use: BTreeMap<u64, u64>,
    tokens: f64,
    uses: u64,
}

impl PrefixCache {
    pub(crate) fn contains(&self, part_id: u64) -> bool {
        self.parts.contains_key(&part_id)
    }

    /// Returns the number of tokens in the longest cached prefix of a prompt.
    pub(crate) fn cached_prefix_tokens(&self, prompt: &[PromptPart]) -> u32 {
        prompt
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Records the use of a prompt's parts, and evicts the least recently used ones until at most `capacity` tokens are
    /// left.
    pub(crate) fn insert(&mut self, prompt: &[PromptPart], capacity: f64) {
        for part in prompt {
            self.insert_part(*part);
        }
        while self.tokens > capacity {
            let Some((_, id)) = self.parts_by_use.pop_first() else {
                break;
            };
            if let Some(evicted) = self.parts.remove(&id) {
                self.tokens -= f64::from(evicted.tokens);
            }
            self.shared.remove(&id);
        }
    }

    fn insert_part(&mut self, part: PromptPart) {
        self.uses += 1;
        let cached = CachedPart {
            tokens: part.tokens,
            last_use: self.uses,
        };
        match self.parts.insert(part.id, cached) {
            Some(previous) => {
                self.parts_by_use.remove(&previous.last_use);
                self.tokens += f64::from(part.tokens) - f64::from(previous.tokens);
            }
            None => self.tokens += f64::from(part.tokens),
        }
        self.parts_by_use.insert(self.uses, part.id);
    }

    /// Marks cached parts as shared. Returns whether any of them wasn't shared before.
    pub(crate) fn mark_shared(&mut self, parts: &[PromptPart]) -> bool {
        let mut any_new = false;
        for part in parts {
            any_new |= self.parts.contains_key(&part.id) && self.shared.insert(part.id);
        }
        any_new
    }

    /// Returns the shared parts, the most recently used first.
    pub(crate) fn shared_parts(&self) -> Vec<PromptPart> {
        let latest_first = self.parts_by_use.values().rev();
        latest_first
            .filter(|id| self.shared.contains(id))
            .filter_map(|id| {
                let tokens = self.parts.get(id)?.tokens;
                Some(PromptPart { id: *id, tokens })
            })
            .collect()
    }
}
