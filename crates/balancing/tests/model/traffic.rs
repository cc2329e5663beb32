//! Classes of requests and their arrivals.

use super::{from_ms, part, Random, Time, SECOND};
use balancing::PromptPart;

/// A log-normal distribution, limited to `max`.
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
        random.log_normal(self.mean, self.variation, self.max)
    }
}

/// A shared part of a class's prompts. Each subject has its own part, which its prompts share.
#[derive(Clone, Copy, Debug)]
pub struct SharedPart {
    /// Length of the part in tokens.
    pub tokens: Distribution,
    /// Number of subjects.
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
    /// Mean arrival rate in requests per second.
    pub per_s: f64,
    /// Latency target of the first event.
    pub latency_target_ms: f64,
    /// Longest acceptable pause between two events of a response.
    pub max_pause_ms: f64,
    pub deadline_ms: f64,
    /// Value of a request of mean size that is answered in time.
    pub value: f64,
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    pub idempotent: bool,
    /// Shared parts of the prompts, in order.
    pub shared: &'static [SharedPart],
    /// Length in tokens of the part that belongs to one request alone.
    pub own_tokens: Distribution,
    /// Number of events of a response.
    pub events: Distribution,
}

/// A change of the traffic between two times, which are the last two fields of a variant.
#[derive(Clone, Copy, Debug)]
pub enum TrafficSurge {
    None,
    /// The arrival rates of all classes are multiplied by this factor.
    Burst(f64, Time, Time),
    /// This share of each class's requests has the same subject.
    HotKey(f64, Time, Time),
}

/// A request of a run.
pub struct Request {
    /// Index of the request's class.
    pub class: usize,
    pub arrives_at: Time,
    /// Parts of the prompt, in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Number of events of the response.
    pub events: u32,
}

/// Exponent of the power law by which a subject's popularity falls with its rank.
const POPULARITY_SKEW: f64 = 0.3;

/// Draws a subject with a popularity proportional to its rank to the power of minus [`POPULARITY_SKEW`].
fn draw_subject(random: &mut Random, count: usize) -> usize {
    ((count as f64) * random.uniform().powf(1.0 / (1.0 - POPULARITY_SKEW))) as usize % count.max(1)
}

/// Generates all requests of a run, sorted by arrival time.
pub fn generate_requests(
    classes: &[RequestClass],
    surge: TrafficSurge,
    length: Time,
    seed: u64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let mut random = Random(seed.wrapping_mul(31).wrapping_add(index as u64));
        let part_tokens = |part_index: usize, subject: usize| {
            let mut random = Random(
                seed ^ ((index as u64 + 1) << 40) ^ ((part_index as u64) << 32) ^ subject as u64,
            );
            random.next();
            class.shared[part_index].tokens.draw(&mut random) as u32
        };
        let (mut arrives_at, mut own_id) = (0, 0u64);
        loop {
            let rate_factor = match surge {
                TrafficSurge::Burst(factor, from, to) if (from..to).contains(&arrives_at) => factor,
                _ => 1.0,
            };
            arrives_at += from_ms(random.exponential(1000.0 / (class.per_s * rate_factor)));
            if arrives_at >= length {
                break;
            }
            let has_hot_key = matches!(surge, TrafficSurge::HotKey(share, from, to)
                if (from..to).contains(&arrives_at) && random.uniform() < share);
            let class_id_bits = ((index as u64) + 1) << 56;
            let last_shared = class.shared.len() - 1;
            let mut parts: Vec<PromptPart> = (0..class.shared.len())
                .map(|part_index| {
                    let subject = if has_hot_key && part_index == last_shared {
                        0
                    } else {
                        draw_subject(&mut random, class.shared[part_index].subjects)
                    };
                    part(
                        class_id_bits | ((part_index as u64 + 1) << 48) | subject as u64,
                        part_tokens(part_index, subject),
                    )
                })
                .collect();
            own_id += 1;
            parts.push(part(
                class_id_bits | own_id,
                class.own_tokens.draw(&mut random) as u32,
            ));
            let events = class.events.draw(&mut random).round() as u32;
            requests.push(Request {
                class: index,
                arrives_at,
                parts,
                events: events.max(1),
            });
        }
    }
    requests.sort_by_key(|request| request.arrives_at);
    requests
}

/// Default length of a run.
pub const RUN_LENGTH: Time = 34 * SECOND;
