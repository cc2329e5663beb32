//! One model host: a batch whose steps make a token for each request that runs and read a chunk of prompts in
//! between; parts of prompts stay in memory until others need the room (least recently used goes first).
//! Preemption isn't modelled: memory is waited for.

use super::{from_ms, Time};
use balancing::PromptPart;
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub batch: usize,
    pub queue: usize,
    pub step_ms: f64,
    pub step_ms_per_slot: f64,
    pub context_ms_per_k: f64,
    pub tokens_per_ms: f64,
    pub pairs_ms_per_m: f64,
    /// Time before a request reaches the queue.
    pub first_ms: f64,
    pub chunk: u32,
    pub memory: u64,
    /// Tokens of an event.
    pub stride: u32,
    /// Whether answers tell the host's load.
    pub tells: bool,
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
    made: u32,
    out: u32,
}

/// What a step brought to an attempt.
pub struct Made {
    pub attempt: usize,
    pub last: bool,
}

pub struct Engine {
    pub figures: Figures,
    /// In order of priority, then of arrival.
    waiting: BTreeMap<(u8, u64), Job>,
    running: Vec<Job>,
    parts: HashMap<u64, Part>,
    uses: BTreeMap<u64, u64>,
    held: u64,
    next: u64,
    chunk: u32,
    pub stepping: bool,
    pub busy: Time,
    pub tokens_read: u64,
    /// Shared parts that were read: identity and tokens, taken by the world.
    pub shared_read: Vec<PromptPart>,
}

impl Engine {
    pub fn new(figures: Figures) -> Self {
        Self {
            figures,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            parts: HashMap::new(),
            uses: BTreeMap::new(),
            held: 0,
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
            self.figures.batch as u32,
        )
    }

    /// Takes a request into the queue; false where that is full.
    pub fn take(&mut self, attempt: usize, priority: u8, parts: &[PromptPart], out: u32) -> bool {
        let queued = self.waiting.len();
        if queued >= self.figures.queue && self.running.len() >= self.figures.batch {
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
            made: 0,
            out,
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
            // Never read in full, and nobody reads it any more.
            if part.pins == 0 && !part.read {
                let part = self.parts.remove(id).expect("found above");
                self.uses.remove(&part.used);
                self.held -= u64::from(part.tokens);
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
            self.held += u64::from(tokens);
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

    /// Makes room for so many tokens more; false where running requests hold too much.
    fn make_room(&mut self, tokens: u64) -> bool {
        while self.held + tokens > self.figures.memory {
            let free = self
                .uses
                .iter()
                .find(|(_, id)| self.parts[*id].pins == 0)
                .map(|(u, id)| (*u, *id));
            let Some((used, id)) = free else {
                return self.running.is_empty();
            };
            self.uses.remove(&used);
            self.held -= self.parts.remove(&id).map_or(0, |p| u64::from(p.tokens));
        }
        true
    }

    fn admit(&mut self) {
        while self.running.len() < self.figures.batch {
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
            // The last token is always read, as the first one made follows from it.
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

    /// Begins a step; how long it lasts, or `None` where there is nothing to do.
    pub fn begin(&mut self) -> Option<Time> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let f = self.figures;
        let (mut chunk, mut pairs, mut slots, mut context) = (0, 0.0, 0, 0.0);
        for job in &self.running {
            if job.uncached_tokens > 0 {
                let read = job.uncached_tokens.min(f.chunk - chunk);
                chunk += read;
                pairs += f64::from(read) * f64::from(job.context - job.uncached_tokens) / 1e6;
            } else {
                slots += 1;
                context += f64::from(job.context + job.made) / 1000.0;
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

    /// Ends the step; what it made.
    pub fn end(&mut self) -> Vec<Made> {
        self.stepping = false;
        let (mut made, mut chunk) = (Vec::new(), self.chunk);
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
            job.made += 1;
            let last = job.made >= job.out;
            if last || job.made % self.figures.stride == 0 {
                made.push(Made {
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
        made
    }
}
