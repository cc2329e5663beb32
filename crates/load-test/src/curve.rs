//! The rate of arrivals over time: a sum of shapes, and its integral laid out so that any process of unit
//! rate can be carried along it.

use serde::{Deserialize, Serialize};

/// The curve's resolution in seconds: within a step the rate is taken at its middle.
pub const STEP_S: f64 = 0.001;

/// One shape; rates in queries a second, times in seconds from the start.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Shape {
    /// The same all the time.
    Steady {
        /// The rate.
        rate: f64,
    },
    /// Nothing, then a rate, for a while or to the end.
    Step {
        /// The rate.
        rate: f64,
        /// From when.
        at_s: f64,
        /// For how long; to the end where left out.
        #[serde(default)]
        for_s: Option<f64>,
    },
    /// From one rate to another, evenly; what comes after stays.
    Ramp {
        /// The rate before.
        from: f64,
        /// The rate after.
        to: f64,
        /// From when.
        at_s: f64,
        /// For how long.
        for_s: f64,
    },
    /// A rise, a plateau and a fall, as after Friday prayers.
    Surge {
        /// The rate at its height.
        rate: f64,
        /// When it begins.
        at_s: f64,
        /// How long it rises.
        rise_s: f64,
        /// How long it stays.
        hold_s: f64,
        /// How long it falls.
        fall_s: f64,
    },
    /// A daily curve: `mean` times 1 plus `swing` times a sine, lowest at the start.
    Daily {
        /// The mean rate.
        mean: f64,
        /// The swing, 0 to 1.
        swing: f64,
        /// Length of a day.
        day_s: f64,
    },
    /// On and off in turn, on first.
    OnOff {
        /// The rate while on.
        rate: f64,
        /// How long on.
        on_s: f64,
        /// How long off.
        off_s: f64,
    },
}

/// What is wrong with a shape.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ShapeError {
    /// A rate, in queries a second.
    #[error("has a rate of {0}: it must lie in 0 to 1000000")]
    Rate(f64),
    /// A time, in seconds.
    #[error("has a time of {0}: it must not be negative")]
    Time(f64),
    /// A length or a swing.
    #[error("has a length of 0 or a swing outside 0 to 1")]
    LengthOrSwing,
}

impl Shape {
    /// The rate at a time.
    pub fn rate(&self, t: f64) -> f64 {
        match *self {
            Self::Steady { rate } => rate,
            Self::Step { rate, at_s, for_s } => {
                let on = t >= at_s && for_s.is_none_or(|f| t < at_s + f);
                if on {
                    rate
                } else {
                    0.0
                }
            }
            Self::Ramp {
                from,
                to,
                at_s,
                for_s,
            } => from + (to - from) * ((t - at_s) / for_s).clamp(0.0, 1.0),
            Self::Surge {
                rate,
                at_s,
                rise_s,
                hold_s,
                fall_s,
            } => {
                let t = t - at_s;
                let fall = t - rise_s - hold_s;
                match t {
                    _ if t < 0.0 || fall >= fall_s => 0.0,
                    _ if t < rise_s => rate * t / rise_s,
                    _ if fall < 0.0 => rate,
                    _ => rate * (1.0 - fall / fall_s),
                }
            }
            Self::Daily { mean, swing, day_s } => {
                mean * (1.0 - swing * (std::f64::consts::TAU * t / day_s).cos())
            }
            Self::OnOff { rate, on_s, off_s } => {
                if t.rem_euclid(on_s + off_s) < on_s {
                    rate
                } else {
                    0.0
                }
            }
        }
    }

    /// Checks its rates and times.
    ///
    /// # Errors
    /// If a value means nothing.
    pub fn check(&self) -> Result<(), ShapeError> {
        let (rates, times): (Vec<f64>, Vec<f64>) = match *self {
            Self::Steady { rate } => (vec![rate], vec![]),
            Self::Step { rate, at_s, for_s } => (vec![rate], vec![at_s, for_s.unwrap_or(0.0)]),
            Self::Ramp {
                from,
                to,
                at_s,
                for_s,
            } => (vec![from, to], vec![at_s, for_s]),
            Self::Surge {
                rate,
                at_s,
                rise_s,
                hold_s,
                fall_s,
            } => (vec![rate], vec![at_s, rise_s, hold_s, fall_s]),
            Self::Daily { mean, day_s, .. } => (vec![mean], vec![day_s]),
            Self::OnOff { rate, on_s, off_s } => (vec![rate], vec![on_s, off_s]),
        };
        if let Some(r) = rates.iter().find(|r| !(0.0..=1e6).contains(*r)) {
            return Err(ShapeError::Rate(*r));
        }
        if let Some(t) = times.iter().find(|t| !(0.0..=1e7).contains(*t)) {
            return Err(ShapeError::Time(*t));
        }
        let sound = match *self {
            Self::Ramp { for_s, .. } => for_s > 0.0,
            Self::Daily { swing, day_s, .. } => (0.0..=1.0).contains(&swing) && day_s > 0.0,
            Self::OnOff { on_s, .. } => on_s > 0.0,
            _ => true,
        };
        if sound {
            Ok(())
        } else {
            Err(ShapeError::LengthOrSwing)
        }
    }
}

/// The sum of shapes over a length of time, walked through from its start.
pub struct Walk<'a> {
    shapes: &'a [Shape],
    length_s: f64,
    step: u64,
    /// How far into the step, 0 to 1.
    within: f64,
}

impl<'a> Walk<'a> {
    /// At the start.
    pub fn new(shapes: &'a [Shape], length_s: f64) -> Self {
        Self {
            shapes,
            length_s,
            step: 0,
            within: 0.0,
        }
    }

    fn rate(&self) -> f64 {
        let t = (self.step as f64 + 0.5) * STEP_S;
        self.shapes.iter().map(|s| s.rate(t)).sum()
    }

    /// Goes on until the integral of the rate, times what `factor` says of the time, has grown by
    /// `amount`; the time in seconds, or `None` at the end of the length.
    pub fn advance(&mut self, mut amount: f64, mut factor: impl FnMut(f64) -> f64) -> Option<f64> {
        loop {
            let t = (self.step as f64 + self.within) * STEP_S;
            if t >= self.length_s {
                return None;
            }
            let rate = self.rate() * factor(t);
            let left = rate * STEP_S * (1.0 - self.within);
            if left > amount {
                self.within += amount / (rate * STEP_S);
                let t = (self.step as f64 + self.within) * STEP_S;
                return (t < self.length_s).then_some(t);
            }
            amount -= left;
            self.step += 1;
            self.within = 0.0;
        }
    }
}

/// The integral of the shapes' sum: the number of queries that is to be expected.
pub fn expected(shapes: &[Shape], length_s: f64) -> f64 {
    let steps = (length_s / STEP_S) as u64;
    let at = |n: u64| {
        shapes
            .iter()
            .map(|s| s.rate((n as f64 + 0.5) * STEP_S))
            .sum::<f64>()
    };
    (0..steps).map(|n| at(n) * STEP_S).sum()
}
