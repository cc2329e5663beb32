//! Kinds of requests and when they come.

use super::{from_ms, part, Random, Time, SECOND};
use balancing::PromptPart;

#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub per_s: f64,
    pub aim_ms: f64,
    pub pause_ms: f64,
    pub deadline_ms: f64,
    pub worth: f64,
    pub rank: u32,
    pub idempotent: bool,
    /// Shared parts in order: tokens, coefficient of variation, most, how many there are.
    pub shared: &'static [(f64, f64, f64, usize)],
    pub own: (f64, f64, f64),
    pub events: (f64, f64, f64),
}

/// A change in what comes, from a time up to another.
#[derive(Clone, Copy, Debug)]
pub enum Surge {
    None,
    /// All kinds come so many times as often.
    Burst(f64, Time, Time),
    /// One subject gets this share of each kind.
    HotKey(f64, Time, Time),
}

pub struct Request {
    pub kind: usize,
    pub at: Time,
    pub parts: Vec<PromptPart>,
    pub events: u32,
}

const SKEW: f64 = 0.3;

/// A subject by popularity that falls with rank to the power of the skew.
fn subject(random: &mut Random, count: usize) -> usize {
    ((count as f64) * random.unit().powf(1.0 / (1.0 - SKEW))) as usize % count.max(1)
}

/// All requests of a run in order of their times.
pub fn requests(kinds: &[Kind], surge: Surge, length: Time, seed: u64) -> Vec<Request> {
    let mut all = Vec::new();
    for (number, kind) in kinds.iter().enumerate() {
        let mut random = Random(seed.wrapping_mul(31).wrapping_add(number as u64));
        let sizes = |n: usize, id: usize| {
            let (mean, spread, max, _) = kind.shared[n];
            let mut random =
                Random(seed ^ ((number as u64 + 1) << 40) ^ ((n as u64) << 32) ^ id as u64);
            random.next();
            random.spread(mean, spread, max) as u32
        };
        let (mut at, mut own) = (0, 0u64);
        loop {
            let x = match surge {
                Surge::Burst(x, from, to) if (from..to).contains(&at) => x,
                _ => 1.0,
            };
            at += from_ms(random.exponential(1000.0 / (kind.per_s * x)));
            if at >= length {
                break;
            }
            let hot = matches!(surge, Surge::HotKey(share, from, to)
                if (from..to).contains(&at) && random.unit() < share);
            let base = ((number as u64) + 1) << 56;
            let last = kind.shared.len() - 1;
            let mut parts: Vec<PromptPart> = (0..kind.shared.len())
                .map(|n| {
                    let id = if hot && n == last {
                        0
                    } else {
                        subject(&mut random, kind.shared[n].3)
                    };
                    part(base | ((n as u64 + 1) << 48) | id as u64, sizes(n, id))
                })
                .collect();
            own += 1;
            parts.push(part(
                base | own,
                random.spread(kind.own.0, kind.own.1, kind.own.2) as u32,
            ));
            let events = random
                .spread(kind.events.0, kind.events.1, kind.events.2)
                .round() as u32;
            all.push(Request {
                kind: number,
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
