//! A district host as a model: cores, slots, a waiting room, pauses, a cold start that can be pushed
//! over, load reports that come late. Free of I/O and of any clock: the caller says what time it is, so
//! that the same model serves in real and in simulated time.
//!
//! Running parts share the cores evenly (processor sharing). Neither a cancel nor a time-out stops work
//! that has begun or drops what waits; a part whose time-out has passed is not begun.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// Microseconds since an origin of the caller's.
pub type Micros = u64;

/// A cold host's speed is worked out anew at least this often.
const WARM_UP_STEP: Micros = 20_000;
/// What may be pushed at a cold host beyond the rule's figure before it falls, in parts of the window:
/// chance alone must not do it.
const OVERLOAD_SLACK: f64 = 0.25;

/// What a host is made of. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSpec {
    /// Answers everything at once, without work: for measuring what stands before the hosts.
    pub instant: bool,
    /// Cores.
    pub cores: u32,
    /// Parts in work at once, for each core.
    pub slots_per_core: u32,
    /// Parts that may wait, for each core.
    pub queue_per_core: f64,
    /// Work done in a microsecond of one core.
    pub speed: f64,
    /// Work that a call costs beside its parts'.
    pub call_us: f64,
    /// Efficiency lost for each part a core that is held beyond `thrash_at`.
    pub thrash: f64,
    /// Parts held a core from which on efficiency is lost.
    pub thrash_at: f64,
    /// How long the host stands still, least and most; 0 and 0 for never.
    pub pause_us: [u64; 2],
    /// Time between pauses, least and most.
    pub pause_every_us: [u64; 2],
    /// Share of its capacity that a cold host starts with.
    pub cold_share: f64,
    /// Time in which it becomes warm, evenly.
    pub cold_us: u64,
    /// A cold host that gets more than this multiple of what it can do …
    pub fall_multiple: f64,
    /// … over this time falls over and stays down.
    pub fall_us: u64,
    /// Share of parts that end in an error after their work.
    pub error_rate: f64,
    /// Reports are made anew after this time.
    pub report_every_us: u64,
    /// A report shows after this time.
    pub report_delay_us: u64,
    /// A report's values are off by up to this share either way.
    pub report_noise: f64,
}

impl Default for HostSpec {
    /// The middle of what `casa-dispatch` tells of its hosts.
    fn default() -> Self {
        Self {
            instant: false,
            cores: 2,
            slots_per_core: 2,
            queue_per_core: 12.0,
            speed: 1.0,
            call_us: 67_000.0,
            thrash: 0.08,
            thrash_at: 5.0,
            pause_us: [75_000, 220_000],
            pause_every_us: [4_500_000, 8_500_000],
            cold_share: 0.3,
            cold_us: 10_000_000,
            fall_multiple: 2.0,
            fall_us: 1_000_000,
            error_rate: 0.001,
            report_every_us: 400_000,
            report_delay_us: 150_000,
            report_noise: 0.08,
        }
    }
}

/// A part at a host.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Its number, the caller's own.
    pub id: u64,
    /// Its work in microseconds of one core at speed 1.
    pub work_us: f64,
    /// When its sender stops waiting.
    pub expires: Micros,
}

/// What becomes of a part that is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Taken; it will end by [`HostModel::advance`].
    Accepted,
    /// Served at once.
    Served,
    /// Turned away unseen.
    Rejected,
}

/// How a part that was taken ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// Its work is done.
    Served,
    /// Its work is done, and came to an error.
    Broke,
    /// Its time had passed before it could begin.
    Expired,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Parts that wait.
    pub queue: f64,
    /// Parts that are held.
    pub inflight: f64,
    /// Parts served in a second.
    pub qps: f64,
}

struct Running {
    id: u64,
    left: f64,
}

/// The model of one host's process.
pub struct HostModel {
    spec: HostSpec,
    rng: Pcg64Mcg,
    now: Micros,
    running: Vec<Running>,
    waiting: VecDeque<Job>,
    /// When it started cold; `None` once it is warm.
    cold_since: Option<Micros>,
    pause_until: Micros,
    next_pause: Micros,
    /// How many times slower than usual everything is.
    slowness: f64,
    draining: bool,
    fallen: bool,
    /// Work that came within the last `fall_us` while cold.
    pushed: VecDeque<(Micros, f64)>,
    pushed_sum: f64,
    served: u64,
    next_report: Micros,
    reported_served: u64,
    reports: VecDeque<(Micros, Load)>,
    shown: Option<Load>,
    /// Work done so far, in microseconds at speed 1.
    done_us: f64,
}

impl HostModel {
    /// A warm host at this time.
    pub fn new(spec: HostSpec, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let next_pause = match spec.pause_us[1] {
            0 => Micros::MAX,
            _ => now + rng.random_range(0..=spec.pause_every_us[1]),
        };
        Self {
            spec,
            rng,
            now,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cold_since: None,
            pause_until: 0,
            next_pause,
            slowness: 1.0,
            draining: false,
            fallen: false,
            pushed: VecDeque::new(),
            pushed_sum: 0.0,
            served: 0,
            next_report: now,
            reported_served: 0,
            reports: VecDeque::new(),
            shown: None,
            done_us: 0.0,
        }
    }

    /// The process starts anew and cold, with nothing held.
    pub fn start_cold(&mut self, now: Micros) {
        self.now = now;
        self.running.clear();
        self.waiting.clear();
        self.pushed.clear();
        self.pushed_sum = 0.0;
        self.reports.clear();
        self.shown = None;
        self.next_report = now;
        self.draining = false;
        self.fallen = false;
        self.cold_since = (self.spec.cold_us > 0 && self.spec.cold_share < 1.0).then_some(now);
    }

    /// From now on the host is so many times slower than usual.
    pub fn slow_down(&mut self, times: f64) {
        self.slowness = times.max(0.01);
    }

    /// From now on nothing new is taken.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether it was pushed over while cold.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Parts held: in work and waiting.
    pub fn held(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Parts waiting.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Work done so far, in microseconds of one core at speed 1.
    pub fn done_us(&self) -> f64 {
        self.done_us
    }

    /// Share of its full capacity that it has now, pauses left out.
    pub fn warmth(&self) -> f64 {
        let Some(since) = self.cold_since else {
            return 1.0;
        };
        let risen = (self.now - since) as f64 / self.spec.cold_us as f64;
        (self.spec.cold_share + (1.0 - self.spec.cold_share) * risen).min(1.0)
    }

    /// Work done in a microsecond for each running part.
    fn rate(&self) -> f64 {
        if self.fallen || self.now < self.pause_until || self.running.is_empty() {
            return 0.0;
        }
        let cores = f64::from(self.spec.cores);
        let share = (cores / self.running.len() as f64).min(1.0);
        let beyond = (self.held() as f64 / cores - self.spec.thrash_at).max(0.0);
        self.spec.speed * self.warmth() * share / (1.0 + self.spec.thrash * beyond) / self.slowness
    }

    /// When something changes by itself next, a report left out; `None` while nothing is in work.
    pub fn next(&self) -> Option<Micros> {
        if self.running.is_empty() || self.fallen {
            return None;
        }
        if self.now < self.pause_until {
            return Some(self.pause_until);
        }
        let rate = self.rate();
        let least = self
            .running
            .iter()
            .map(|r| r.left)
            .fold(f64::INFINITY, f64::min);
        let done = self.now + ((least / rate).ceil() as Micros).max(1);
        let ramp = if self.cold_since.is_some() {
            self.now + WARM_UP_STEP
        } else {
            Micros::MAX
        };
        Some(done.min(ramp).min(self.next_pause.max(self.now + 1)))
    }

    /// Lets time pass, telling what ended on the way.
    pub fn advance(&mut self, to: Micros, ended: &mut Vec<(u64, JobEnd)>) {
        while self.now < to {
            self.pauses();
            let until = self.next().map_or(to, |n| n.min(to)).max(self.now + 1);
            let (rate, passed) = (self.rate(), (until - self.now) as f64);
            for r in &mut self.running {
                r.left -= rate * passed;
            }
            self.done_us += rate * passed * self.running.len() as f64;
            self.now = until;
            if self
                .cold_since
                .is_some_and(|s| until >= s + self.spec.cold_us)
            {
                self.cold_since = None;
                self.pushed.clear();
                self.pushed_sum = 0.0;
            }
            let mut n = 0;
            while n < self.running.len() {
                if self.running[n].left > 0.5 {
                    n += 1;
                    continue;
                }
                let id = self.running.swap_remove(n).id;
                let broke =
                    self.spec.error_rate > 0.0 && self.rng.random_bool(self.spec.error_rate);
                ended.push((id, if broke { JobEnd::Broke } else { JobEnd::Served }));
                self.served += 1;
            }
            self.begin(ended);
            self.sample();
        }
    }

    fn pauses(&mut self) {
        while self.next_pause <= self.now {
            let [least, most] = self.spec.pause_us;
            self.pause_until = self.next_pause + self.rng.random_range(least..=most);
            let [least, most] = self.spec.pause_every_us;
            self.next_pause += self.rng.random_range(least..=most).max(1);
        }
    }

    /// Begins what has waited longest for as long as slots are free.
    fn begin(&mut self, ended: &mut Vec<(u64, JobEnd)>) {
        while self.running.len() < (self.spec.cores * self.spec.slots_per_core) as usize {
            match self.waiting.pop_front() {
                Some(job) if job.expires <= self.now => ended.push((job.id, JobEnd::Expired)),
                Some(job) => self.running.push(Running {
                    id: job.id,
                    left: job.work_us,
                }),
                None => return,
            }
        }
    }

    /// Offers a part at the time it was last advanced to; `first` of its call if it bears the call's own cost.
    pub fn offer(&mut self, mut job: Job, first: bool) -> Admission {
        if self.spec.instant {
            self.served += 1;
            return if self.draining {
                Admission::Rejected
            } else {
                Admission::Served
            };
        }
        if first {
            job.work_us += self.spec.call_us;
        }
        // All that reaches a cold host counts, what it turns away as well.
        self.push(job.work_us);
        let room = f64::from(self.spec.cores) * self.spec.queue_per_core;
        let slots = (self.spec.cores * self.spec.slots_per_core) as usize;
        let full = self.running.len() >= slots && self.waiting.len() as f64 >= room;
        if self.draining || self.fallen || full {
            return Admission::Rejected;
        }
        if self.running.len() < slots {
            self.running.push(Running {
                id: job.id,
                left: job.work_us,
            });
        } else {
            self.waiting.push_back(job);
        }
        Admission::Accepted
    }

    fn push(&mut self, work: f64) {
        if self.cold_since.is_none() || self.fallen {
            return;
        }
        self.pushed.push_back((self.now, work));
        self.pushed_sum += work;
        let window = self.spec.fall_us;
        while let Some((at, w)) = self
            .pushed
            .front()
            .copied()
            .filter(|(at, _)| at + window < self.now)
        {
            debug_assert!(at <= self.now);
            self.pushed.pop_front();
            self.pushed_sum -= w;
        }
        let capacity = f64::from(self.spec.cores) * self.spec.speed * self.warmth() * window as f64;
        if self.pushed_sum > (self.spec.fall_multiple + OVERLOAD_SLACK) * capacity {
            self.fallen = true;
        }
    }

    fn sample(&mut self) {
        while self.next_report <= self.now {
            let every = self.spec.report_every_us.max(1);
            let noise = |rng: &mut Pcg64Mcg, by: f64| 1.0 + by * (rng.random::<f64>() * 2.0 - 1.0);
            let by = self.spec.report_noise;
            let served = (self.served - self.reported_served) as f64 * 1e6 / every as f64;
            let load = Load {
                queue: (self.queued() as f64 * noise(&mut self.rng, by)).round(),
                inflight: (self.held() as f64 * noise(&mut self.rng, by)).round(),
                qps: served * noise(&mut self.rng, by),
            };
            self.reported_served = self.served;
            self.reports
                .push_back((self.next_report + self.spec.report_delay_us, load));
            // After a long time without a part one report says it all.
            self.next_report = (self.next_report + every).max(self.now.saturating_sub(every) + 1);
        }
    }

    /// The load as a sender is told of it now; `None` until the first report shows.
    pub fn report(&mut self) -> Option<Load> {
        self.sample();
        while self.reports.front().is_some_and(|(at, _)| *at <= self.now) {
            self.shown = self.reports.pop_front().map(|(_, load)| load);
        }
        self.shown
    }
}
