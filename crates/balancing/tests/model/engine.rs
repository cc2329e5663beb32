//! A model host. Each step of its batch makes a token for each running request and prefills a chunk of prompts.
//! Parts of prompts stay in the prefix cache until others need the space (LRU).
//! Preemption isn't modelled: requests wait for space in the cache.

use super::{from_ms, Time};
use balancing::PromptPart;
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug)]
pub struct EngineProfile {
    pub batch: usize,
    pub queue: usize,
    pub step_ms: f64,
    pub step_ms_per_slot: f64,
    pub context_ms_per_k: f64,
    pub tokens_per_ms: f64,
    pub pairs_ms_per_m: f64,
    /// Time in ms before a request reaches the queue.
    pub overhead_ms: f64,
    pub chunk: u32,
    pub cache_capacity: u64,
    /// Tokens in one event.
    pub stride: u32,
    /// Whether answers carry a load report.
    pub reports_load: bool,
}

struct Part {
    tokens: u32,
    used: u64,
    pins: u32,
    read: bool,
}

struct Job {
    attempt: usize,
    parts: Vec<PromptPart>,
    shared: usize,
    uncached_tokens: u32,
    context: u32,
    output_tokens: u32,
    max_output_tokens: u32,
}

/// An event that a step made for an attempt.
pub struct StepOutput {
    pub attempt: usize,
    pub last: bool,
}

pub struct Engine {
    pub profile: EngineProfile,
    /// In order of priority, then of arrival.
    waiting: BTreeMap<(u8, u64), Job>,
    running: Vec<Job>,
    parts: HashMap<u64, Part>,
    uses: BTreeMap<u64, u64>,
    cached_tokens: u64,
    next: u64,
    chunk: u32,
    pub stepping: bool,
    pub busy: Time,
    pub tokens_read: u64,
    /// Shared parts that were prefilled; the simulation takes them.
    pub shared_read: Vec<PromptPart>,
}

impl Engine {
    pub fn new(profile: EngineProfile) -> Self {
        Self {
            profile,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            parts: HashMap::new(),
            uses: BTreeMap::new(),
            cached_tokens: 0,
            next: 0,
            chunk: 0,
            stepping: false,
            busy: 0,
            tokens_read: 0,
            shared_read: Vec::new(),
        }
    }

    pub fn load(&self) -> (u32, u32, u32) {
        (
            self.running.len() as u32,
            self.waiting.len() as u32,
            self.profile.batch as u32,
        )
    }

    /// Puts a request into the queue; false where it is full.
    pub fn submit(
        &mut self,
        attempt: usize,
        priority: u8,
        parts: &[PromptPart],
        max_output_tokens: u32,
    ) -> bool {
        let queued = self.waiting.len();
        if queued >= self.profile.queue && self.running.len() >= self.profile.batch {
            return false;
        }
        self.next += 1;
        let context = parts.iter().map(|p| p.tokens).sum();
        let job = Job {
            attempt,
            parts: parts.to_vec(),
            shared: parts.len().saturating_sub(1),
            uncached_tokens: context,
            context,
            output_tokens: 0,
            max_output_tokens,
        };
        self.waiting.insert((priority, self.next), job);
        true
    }

    pub fn drop_attempt(&mut self, attempt: usize) {
        self.waiting.retain(|_, j| j.attempt != attempt);
        while let Some(at) = self.running.iter().position(|j| j.attempt == attempt) {
            let job = self.running.remove(at);
            self.unpin(&job.parts);
        }
    }

    fn unpin(&mut self, parts: &[PromptPart]) {
        for PromptPart { id, .. } in parts {
            let Some(part) = self.parts.get_mut(id) else {
                continue;
            };
            part.pins = part.pins.saturating_sub(1);
            // Its prefill was never finished, and nobody continues it.
            if part.pins == 0 && !part.read {
                let part = self.parts.remove(id).expect("found above");
                self.uses.remove(&part.used);
                self.cached_tokens -= u64::from(part.tokens);
            }
        }
    }

    fn touch(&mut self, id: u64, tokens: u32) {
        self.next += 1;
        let used = self.next;
        if let Some(part) = self.parts.get_mut(&id) {
            self.uses.remove(&part.used);
            (part.used, part.pins) = (used, part.pins + 1);
        } else {
            self.cached_tokens += u64::from(tokens);
            self.parts.insert(
                id,
                Part {
                    tokens,
                    used,
                    pins: 1,
                    read: false,
                },
            );
        }
        self.uses.insert(used, id);
    }

    /// Evicts parts until this many more tokens fit; false where running requests use too much.
    fn make_room(&mut self, tokens: u64) -> bool {
        while self.cached_tokens + tokens > self.profile.cache_capacity {
            let free = self
                .uses
                .iter()
                .find(|(_, id)| self.parts[*id].pins == 0)
                .map(|(u, id)| (*u, *id));
            let Some((used, id)) = free else {
                return self.running.is_empty();
            };
            self.uses.remove(&used);
            self.cached_tokens -= self.parts.remove(&id).map_or(0, |p| u64::from(p.tokens));
        }
        true
    }

    fn admit(&mut self) {
        while self.running.len() < self.profile.batch {
            let Some((&key, job)) = self.waiting.iter().next() else {
                return;
            };
            let missing: u64 = job
                .parts
                .iter()
                .filter(|p| !self.parts.contains_key(&p.id))
                .map(|p| u64::from(p.tokens))
                .sum();
            if !self.make_room(missing) {
                return;
            }
            let mut job = self.waiting.remove(&key).expect("the first");
            let kept = job
                .parts
                .iter()
                .take_while(|p| self.parts.get(&p.id).is_some_and(|k| k.read));
            let (count, tokens) = kept.fold((0, 0), |(n, t), p| (n + 1, t + p.tokens));
            // The last token is always prefilled, as the first output token follows from it.
            job.uncached_tokens = (job.context - tokens).max(1);
            self.shared_read
                .extend(&job.parts[count.min(job.shared)..job.shared]);
            self.tokens_read += u64::from(job.uncached_tokens);
            for PromptPart { id, tokens } in job.parts.clone() {
                self.touch(id, tokens);
            }
            self.running.push(job);
        }
    }

    /// Begins a step. Returns its length, or `None` where there is nothing to do.
    pub fn begin_step(&mut self) -> Option<Time> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let f = self.profile;
        let (mut chunk, mut pairs, mut slots, mut context) = (0, 0.0, 0, 0.0);
        for job in &self.running {
            if job.uncached_tokens > 0 {
                let read = job.uncached_tokens.min(f.chunk - chunk);
                chunk += read;
                pairs += f64::from(read) * f64::from(job.context - job.uncached_tokens) / 1e6;
            } else {
                slots += 1;
                context += f64::from(job.context + job.output_tokens) / 1000.0;
            }
        }
        self.chunk = chunk;
        let time = f.step_ms
            + f.step_ms_per_slot * f64::from(slots)
            + f.context_ms_per_k * context
            + f64::from(chunk) / f.tokens_per_ms
            + f.pairs_ms_per_m * pairs;
        self.stepping = true;
        self.busy += from_ms(time);
        Some(from_ms(time))
    }

    /// Ends the step. Returns the events that it made.
    pub fn end_step(&mut self) -> Vec<StepOutput> {
        self.stepping = false;
        let (mut output_tokens, mut chunk) = (Vec::new(), self.chunk);
        let mut done = Vec::new();
        for job in &mut self.running {
            if job.uncached_tokens > 0 {
                let read = job.uncached_tokens.min(chunk);
                chunk -= read;
                job.uncached_tokens -= read;
                if job.uncached_tokens > 0 {
                    continue;
                }
                for PromptPart { id, .. } in &job.parts {
                    self.parts.entry(*id).and_modify(|p| p.read = true);
                }
            }
            job.output_tokens += 1;
            let last = job.output_tokens >= job.max_output_tokens;
            if last || job.output_tokens % self.profile.stride == 0 {
                output_tokens.push(StepOutput {
                    attempt: job.attempt,
                    last,
                });
            }
            if last {
                done.push(job.attempt);
            }
        }
        for attempt in done {
            self.drop_attempt(attempt);
        }
        output_tokens
    }
}
