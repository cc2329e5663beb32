//! Classes of requests, and when they arrive.

use super::{from_ms, part, Random, Time, SECOND};
use balancing::PromptPart;

/// A log-normal distribution, cut off at `max`.
#[derive(Clone, Copy, Debug)]
pub struct Distribution {
    pub mean: f64,
    /// Coefficient of variation.
    pub variation: f64,
    pub max: f64,
}

impl Distribution {
    pub const fn new(mean: f64, variation: f64, max: f64) -> Self {
        Self {
            mean,
            variation,
            max,
        }
    }

    fn draw(self, random: &mut Random) -> f64 {
        random.spread(self.mean, self.variation, self.max)
    }
}

/// A shared part of a class's prompts, which is different for each subject.
#[derive(Clone, Copy, Debug)]
pub struct SharedPart {
    pub tokens: Distribution,
    pub subjects: usize,
}

impl SharedPart {
    pub const fn new(mean: f64, variation: f64, max: f64, subjects: usize) -> Self {
        Self {
            tokens: Distribution::new(mean, variation, max),
            subjects,
        }
    }
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    pub name: &'static str,
    pub per_s: f64,
    pub latency_target_ms: f64,
    pub pause_ms: f64,
    pub deadline_ms: f64,
    pub value: f64,
    pub rank: u32,
    pub idempotent: bool,
    /// Shared parts of the prompts, in order.
    pub shared: &'static [SharedPart],
    /// Tokens of the part that is the request's own.
    pub own: Distribution,
    /// Events of an answer.
    pub events: Distribution,
}

/// A change of the traffic between two times.
#[derive(Clone, Copy, Debug)]
pub enum TrafficSurge {
    None,
    /// All classes arrive this many times as often.
    Burst(f64, Time, Time),
    /// This share of each class is about one subject.
    HotKey(f64, Time, Time),
}

pub struct Request {
    pub class: usize,
    pub at: Time,
    pub parts: Vec<PromptPart>,
    pub events: u32,
}

const SKEW: f64 = 0.3;

/// Draws a subject; its popularity falls with its rank to the power of the skew.
fn subject(random: &mut Random, count: usize) -> usize {
    ((count as f64) * random.unit().powf(1.0 / (1.0 - SKEW))) as usize % count.max(1)
}

/// All requests of a run, by arrival time.
pub fn requests(
    classes: &[RequestClass],
    surge: TrafficSurge,
    length: Time,
    seed: u64,
) -> Vec<Request> {
    let mut all = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let mut random = Random(seed.wrapping_mul(31).wrapping_add(index as u64));
        let sizes = |n: usize, id: usize| {
            let mut random =
                Random(seed ^ ((index as u64 + 1) << 40) ^ ((n as u64) << 32) ^ id as u64);
            random.next();
            class.shared[n].tokens.draw(&mut random) as u32
        };
        let (mut at, mut own) = (0, 0u64);
        loop {
            let x = match surge {
                TrafficSurge::Burst(x, from, to) if (from..to).contains(&at) => x,
                _ => 1.0,
            };
            at += from_ms(random.exponential(1000.0 / (class.per_s * x)));
            if at >= length {
                break;
            }
            let hot = matches!(surge, TrafficSurge::HotKey(share, from, to)
                if (from..to).contains(&at) && random.unit() < share);
            let base = ((index as u64) + 1) << 56;
            let last = class.shared.len() - 1;
            let mut parts: Vec<PromptPart> = (0..class.shared.len())
                .map(|n| {
                    let id = if hot && n == last {
                        0
                    } else {
                        subject(&mut random, class.shared[n].subjects)
                    };
                    part(base | ((n as u64 + 1) << 48) | id as u64, sizes(n, id))
                })
                .collect();
            own += 1;
            parts.push(part(base | own, class.own.draw(&mut random) as u32));
            let events = class.events.draw(&mut random).round() as u32;
            all.push(Request {
                class: index,
                at,
                parts,
                events: events.max(1),
            });
        }
    }
    all.sort_by_key(|r| r.at);
    all
}

pub const RUN: Time = 34 * SECOND;
