//! A model host with continuous batching. Each step generates one token for each running request and prefills a chunk
//! of the prompts. Prompt parts stay in the prefix cache until others need the space, in least recently used order.
//! Preemption isn't modelled: requests wait for space in the cache.

use super::{from_ms, Time};
use balancing::PromptPart;
use std::collections::{BTreeMap, HashMap};

/// Capacity and speed of a model host.
#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    /// Largest number of requests that run at the same time.
    pub slots: usize,
    /// Largest number of queued requests while all slots are in use.
    pub max_queued: usize,
    /// Base time of a step in ms.
    pub step_ms: f64,
    /// Additional step time for each request that generates a token, in ms.
    pub step_ms_per_running: f64,
    /// Additional step time for each 1000 tokens of context of those requests, in ms.
    pub step_ms_per_k_context: f64,
    pub prefill_tokens_per_ms: f64,
    /// Prefill time for each million pairs of a prefilled token and a token before it, in ms.
    pub prefill_ms_per_m_pairs: f64,
    /// Time in ms before a request reaches the queue.
    pub overhead_ms: f64,
    /// Largest number of tokens that one step prefills.
    pub prefill_chunk_tokens: u32,
    /// Capacity of the prefix cache, which also holds the parts of running requests.
    pub cache_capacity_tokens: u64,
    /// Number of tokens in one event of a response.
    pub tokens_per_event: u32,
    /// Whether responses contain a load report.
    pub reports_load: bool,
}

/// A part of a prompt in the prefix cache.
struct CachedPart {
    tokens: u32,
    /// Sequence number of the part's latest use.
    last_use: u64,
    /// Number of running requests that use the part.
    pins: u32,
    /// Whether the prefill of the part has been completed.
    prefilled: bool,
}

/// A queued or running request.
struct Job {
    attempt: usize,
    parts: Vec<PromptPart>,
    /// Number of parts, from the first one, that other requests may share.
    shared_parts: usize,
    /// Number of tokens still to prefill.
    uncached_tokens: u32,
    prompt_tokens: u32,
    output_tokens: u32,
    max_output_tokens: u32,
}

/// A response event that a step produced for an attempt.
pub struct StepOutput {
    pub attempt: usize,
    /// Whether it is the last event of the response.
    pub last: bool,
}

/// The state of a model host.
pub struct Engine {
    pub profile: EngineProfile,
    /// Queued requests, by priority and then by arrival.
    waiting: BTreeMap<(u8, u64), Job>,
    running: Vec<Job>,
    /// Cached parts by id.
    parts: HashMap<u64, CachedPart>,
    /// Ids of cached parts by the sequence number of their latest use.
    parts_by_use: BTreeMap<u64, u64>,
    cached_tokens: u64,
    /// The latest sequence number of an arrival or a use.
    sequence: u64,
    /// Number of tokens that the current step prefills.
    step_prefill_tokens: u32,
    pub step_in_progress: bool,
    /// Total time of all steps.
    pub busy_time: Time,
    /// Total number of tokens to prefill of all requests that were started.
    pub prefilled_tokens: u64,
    /// Shared parts to be prefilled by requests started since the simulation last took this list.
    pub prefilled_shared_parts: Vec<PromptPart>,
}

impl Engine {
    pub fn new(profile: EngineProfile) -> Self {
        Self {
            profile,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            parts: HashMap::new(),
            parts_by_use: BTreeMap::new(),
            cached_tokens: 0,
            sequence: 0,
            step_prefill_tokens: 0,
            step_in_progress: false,
            busy_time: 0,
            prefilled_tokens: 0,
            prefilled_shared_parts: Vec::new(),
        }
    }

    /// Returns the number of running requests, of queued requests and of slots.
    pub fn load(&self) -> (u32, u32, u32) {
        (
            self.running.len() as u32,
            self.waiting.len() as u32,
            self.profile.slots as u32,
        )
    }

    /// Queues a request. Returns `false` if the queue is full.
    pub fn submit(
        &mut self,
        attempt: usize,
        priority: u8,
        parts: &[PromptPart],
        max_output_tokens: u32,
    ) -> bool {
        let queued = self.waiting.len();
        if queued >= self.profile.max_queued && self.running.len() >= self.profile.slots {
            return false;
        }
        self.sequence += 1;
        let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
        let job = Job {
            attempt,
            parts: parts.to_vec(),
            shared_parts: parts.len().saturating_sub(1),
            uncached_tokens: prompt_tokens,
            prompt_tokens,
            output_tokens: 0,
            max_output_tokens,
        };
        self.waiting.insert((priority, self.sequence), job);
        true
    }

    /// Removes the request of an attempt, queued or running.
    pub fn remove_attempt(&mut self, attempt: usize) {
        self.waiting.retain(|_, job| job.attempt != attempt);
        while let Some(index) = self.running.iter().position(|job| job.attempt == attempt) {
            let job = self.running.remove(index);
            self.unpin(&job.parts);
        }
    }

    /// Releases the parts of a request that no longer runs.
    fn unpin(&mut self, parts: &[PromptPart]) {
        for PromptPart { id, .. } in parts {
            let Some(part) = self.parts.get_mut(id) else {
                continue;
            };
            part.pins = part.pins.saturating_sub(1);
            // The part's prefill was never completed, and no request continues it.
            if part.pins == 0 && !part.prefilled {
                let part = self.parts.remove(id).expect("found above");
                self.parts_by_use.remove(&part.last_use);
                self.cached_tokens -= u64::from(part.tokens);
            }
        }
    }

    /// Pins a part for a request that starts, and adds it to the cache if it is missing.
    fn pin(&mut self, id: u64, tokens: u32) {
        self.sequence += 1;
        let last_use = self.sequence;
        if let Some(part) = self.parts.get_mut(&id) {
            self.parts_by_use.remove(&part.last_use);
            (part.last_use, part.pins) = (last_use, part.pins + 1);
        } else {
            self.cached_tokens += u64::from(tokens);
            self.parts.insert(
                id,
                CachedPart {
                    tokens,
                    last_use,
                    pins: 1,
                    prefilled: false,
                },
            );
        }
        self.parts_by_use.insert(last_use, id);
    }

    /// Evicts unpinned parts until `tokens` more tokens fit. Returns `false` if the parts of running requests leave too
    /// little space.
    fn evict_until_fits(&mut self, tokens: u64) -> bool {
        while self.cached_tokens + tokens > self.profile.cache_capacity_tokens {
            let evictable = self
                .parts_by_use
                .iter()
                .find(|(_, id)| self.parts[*id].pins == 0)
                .map(|(last_use, id)| (*last_use, *id));
            let Some((last_use, id)) = evictable else {
                return self.running.is_empty();
            };
            self.parts_by_use.remove(&last_use);
            self.cached_tokens -= self
                .parts
                .remove(&id)
                .map_or(0, |part| u64::from(part.tokens));
        }
        true
    }

    /// Starts queued requests while there are free slots and enough space in the cache.
    fn start_queued(&mut self) {
        while self.running.len() < self.profile.slots {
            let Some((&key, job)) = self.waiting.iter().next() else {
                return;
            };
            let missing_tokens: u64 = job
                .parts
                .iter()
                .filter(|part| !self.parts.contains_key(&part.id))
                .map(|part| u64::from(part.tokens))
                .sum();
            if !self.evict_until_fits(missing_tokens) {
                return;
            }
            let mut job = self.waiting.remove(&key).expect("the first queued request");
            let cached_prefix = job.parts.iter().take_while(|part| {
                self.parts
                    .get(&part.id)
                    .is_some_and(|cached| cached.prefilled)
            });
            let (cached_parts, cached_tokens) = cached_prefix
                .fold((0, 0), |(parts, tokens), part| {
                    (parts + 1, tokens + part.tokens)
                });
            // The last token is always prefilled, because the first output token is computed from it.
            job.uncached_tokens = (job.prompt_tokens - cached_tokens).max(1);
            self.prefilled_shared_parts
                .extend(&job.parts[cached_parts.min(job.shared_parts)..job.shared_parts]);
            self.prefilled_tokens += u64::from(job.uncached_tokens);
            for PromptPart { id, tokens } in job.parts.clone() {
                self.pin(id, tokens);
            }
            self.running.push(job);
        }
    }

    /// Begins a step. Returns its duration, or `None` if no request runs.
    pub fn begin_step(&mut self) -> Option<Time> {
        self.start_queued();
        if self.running.is_empty() {
            return None;
        }
        let profile = self.profile;
        let (mut prefill_tokens, mut million_pairs, mut generating, mut k_context) =
            (0, 0.0, 0, 0.0);
        for job in &self.running {
            if job.uncached_tokens > 0 {
                let job_tokens = job
                    .uncached_tokens
                    .min(profile.prefill_chunk_tokens - prefill_tokens);
                prefill_tokens += job_tokens;
                million_pairs += f64::from(job_tokens)
                    * f64::from(job.prompt_tokens - job.uncached_tokens)
                    / 1e6;
            } else {
                generating += 1;
                k_context += f64::from(job.prompt_tokens + job.output_tokens) / 1000.0;
            }
        }
        self.step_prefill_tokens = prefill_tokens;
        let duration_ms = profile.step_ms
            + profile.step_ms_per_running * f64::from(generating)
            + profile.step_ms_per_k_context * k_context
            + f64::from(prefill_tokens) / profile.prefill_tokens_per_ms
            + profile.prefill_ms_per_m_pairs * million_pairs;
        self.step_in_progress = true;
        self.busy_time += from_ms(duration_ms);
        Some(from_ms(duration_ms))
    }

    /// Ends the step. Returns the response events that it produced.
    pub fn end_step(&mut self) -> Vec<StepOutput> {
        self.step_in_progress = false;
        let (mut outputs, mut prefill_tokens) = (Vec::new(), self.step_prefill_tokens);
        let mut finished = Vec::new();
        for job in &mut self.running {
            if job.uncached_tokens > 0 {
                let job_tokens = job.uncached_tokens.min(prefill_tokens);
                prefill_tokens -= job_tokens;
                job.uncached_tokens -= job_tokens;
                if job.uncached_tokens > 0 {
                    continue;
                }
                for PromptPart { id, .. } in &job.parts {
                    self.parts
                        .entry(*id)
                        .and_modify(|part| part.prefilled = true);
                }
            }
            job.output_tokens += 1;
            let last = job.output_tokens >= job.max_output_tokens;
            if last || job.output_tokens % self.profile.tokens_per_event == 0 {
                outputs.push(StepOutput {
                    attempt: job.attempt,
                    last,
                });
            }
            if last {
                finished.push(job.attempt);
            }
        }
        for attempt in finished {
            self.remove_attempt(attempt);
        }
        outputs
    }
}
