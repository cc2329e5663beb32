//! Running figures without a clock of their own.

use std::collections::VecDeque;
use std::time::Duration;

/// Seconds of a duration in ms.
pub(crate) fn ms(d: Duration) -> f64 {
    d.as_secs_f64() * 1000.0
}

/// A duration of so many ms; none below 0.
pub(crate) fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1000.0).clamp(0.0, 1e6))
}

/// What happened within a sliding window, in cells of a 64th of it. A cell is counted until its last instant
/// has left the window (`upper`) or dropped once its first one has (`lower`).
#[derive(Debug)]
pub(crate) struct Sliding {
    window: Duration,
    cells: VecDeque<(u64, u32)>,
}

const CELLS: u32 = 64;

impl Sliding {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(CELLS as u64)),
            cells: VecDeque::new(),
        }
    }

    fn cell(&self, now: Duration) -> u64 {
        (now.as_nanos() / (self.window / CELLS).as_nanos()) as u64
    }

    pub(crate) fn add(&mut self, now: Duration) {
        let cell = self.cell(now);
        match self.cells.back_mut() {
            // Time doesn't run back; what comes with an earlier one counts as now.
            Some(last) if last.0 >= cell => last.1 += 1,
            _ => self.cells.push_back((cell, 1)),
        }
        while self
            .cells
            .front()
            .is_some_and(|f| f.0 + u64::from(CELLS) < cell)
        {
            self.cells.pop_front();
        }
    }

    /// At least as many as the window that ends now holds.
    pub(crate) fn upper(&self, now: Duration) -> u32 {
        let oldest = self.cell(now).saturating_sub(u64::from(CELLS));
        self.cells
            .iter()
            .filter(|c| c.0 >= oldest)
            .map(|c| c.1)
            .sum()
    }

    /// At most as many as the window that ends now holds.
    pub(crate) fn lower(&self, now: Duration) -> u32 {
        let now = self.cell(now);
        self.cells
            .iter()
            .filter(|c| c.0 + u64::from(CELLS) > now)
            .map(|c| c.1)
            .sum()
    }
}

/// Decayed straight line through points, drawn towards a slope that is assumed at first.
#[derive(Debug)]
pub(crate) struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    slope: f64,
}

/// Points that the line remembers, about.
const MEMORY: f64 = 128.0;
/// How much the assumed slope weighs: as so many points this far apart.
const PRIOR: f64 = 8.0 * 4000.0 * 4000.0;

impl Line {
    /// A line with one point at (0, `y`) and this slope.
    pub(crate) fn new(y: f64, slope: f64) -> Self {
        Self {
            weight: 1.0,
            x: 0.0,
            y,
            xx: 0.0,
            xy: 0.0,
            slope,
        }
    }

    pub(crate) fn add(&mut self, x: f64, y: f64) {
        self.weight = (self.weight + 1.0).min(MEMORY);
        let a = 1.0 / self.weight;
        let (dx, dy) = (x - self.x, y - self.y);
        self.x += a * dx;
        self.y += a * dy;
        self.xx = (1.0 - a) * (self.xx + a * dx * dx);
        self.xy = (1.0 - a) * (self.xy + a * dx * dy);
    }

    /// Rise for each unit; held within a factor of 8 of the assumed one.
    pub(crate) fn slope(&self) -> f64 {
        let (n, s) = (self.weight, self.slope);
        ((n * self.xy + PRIOR * s) / (n * self.xx + PRIOR)).clamp(s / 8.0, s * 8.0)
    }

    /// Height at 0, never below 1.
    pub(crate) fn base(&self) -> f64 {
        (self.y - self.slope() * self.x).max(1.0)
    }
}

/// Running estimate of a quantile.
#[derive(Debug)]
pub(crate) struct Quantile {
    share: f64,
    value: f64,
}

impl Quantile {
    pub(crate) fn new(share: f64, first: f64) -> Self {
        Self {
            share,
            value: first,
        }
    }

    pub(crate) fn add(&mut self, x: f64) {
        let step = 0.1 * self.value;
        self.value += if x > self.value {
            step * self.share
        } else {
            -step * (1.0 - self.share)
        };
    }

    pub(crate) fn value(&self) -> f64 {
        self.value
    }
}
