//! Arrival processes: where along the curve queries come.

use crate::curve::{Shape, Walk};
use crate::scenario::Arrivals;
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

/// A Markov-modulated rate with two states and a mean of 1.
struct Modulation {
    /// Rates of the quiet and the busy state.
    rates: [f64; 2],
    /// Mean lengths of both.
    lengths: [f64; 2],
    state: usize,
    until: f64,
}

impl Modulation {
    fn new(ratio: f64, busy_s: f64, quiet_s: f64, rng: &mut Pcg64Mcg) -> Self {
        let busy = busy_s / (busy_s + quiet_s);
        let low = 1.0 / (1.0 - busy + busy * ratio);
        // It starts as it would be found at any time.
        let state = usize::from(rng.random::<f64>() < busy);
        let mut m = Self {
            rates: [low, low * ratio],
            lengths: [quiet_s, busy_s],
            state,
            until: 0.0,
        };
        m.until = m.length(rng);
        m
    }

    fn length(&self, rng: &mut Pcg64Mcg) -> f64 {
        let unit: f64 = Exp1.sample(rng);
        unit * self.lengths[self.state]
    }

    fn at(&mut self, t: f64, rng: &mut Pcg64Mcg) -> f64 {
        while t >= self.until {
            self.state = 1 - self.state;
            self.until += self.length(rng);
        }
        self.rates[self.state]
    }
}

/// The times of all arrivals in seconds, in order.
pub fn times(process: Arrivals, shapes: &[Shape], length_s: f64, rng: &mut Pcg64Mcg) -> Vec<f64> {
    let mut walk = Walk::new(shapes, length_s);
    let mut all = Vec::new();
    let mut modulation = match process {
        Arrivals::Bursty {
            ratio,
            busy_s,
            quiet_s,
        } => Some(Modulation::new(ratio, busy_s, quiet_s, rng)),
        _ => None,
    };
    loop {
        let gap = match process {
            Arrivals::Constant => 1.0,
            _ => Exp1.sample(rng),
        };
        match walk.advance(gap, |t| modulation.as_mut().map_or(1.0, |m| m.at(t, rng))) {
            Some(t) => all.push(t),
            None => return all,
        }
    }
}

/// The index of dispersion of counts of a two-state Markov-modulated Poisson process over a time: variance
/// over mean of the number of arrivals (Heffes and Lucantoni, 1986; Fischer and Meier-Hellstern, 1993).
/// `rates` are those of the quiet and the busy state, `lengths` their mean lengths.
pub fn mmpp_dispersion(rates: [f64; 2], lengths: [f64; 2], time: f64) -> f64 {
    let [leave_quiet, leave_busy] = lengths.map(|l| 1.0 / l);
    let sum = leave_quiet + leave_busy;
    let mean = (rates[0] * leave_busy + rates[1] * leave_quiet) / sum;
    let spread = (rates[1] - rates[0]).powi(2) * leave_quiet * leave_busy / sum.powi(2);
    1.0 + 2.0 * spread / (mean * sum) * (1.0 - (1.0 - (-sum * time).exp()) / (sum * time))
}
