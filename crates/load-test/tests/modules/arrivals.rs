use load_test::arrivals::{mmpp_dispersion, times};
use load_test::curve::Shape;
use load_test::scenario::Arrivals;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Mean and index of dispersion of the counts in windows of so many seconds.
fn counts(times: &[f64], length_s: f64, window: f64) -> (f64, f64) {
    let mut all = vec![0.0; (length_s / window) as usize];
    for t in times {
        if let Some(c) = all.get_mut((t / window) as usize) {
            *c += 1.0;
        }
    }
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    let variance = all.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / (all.len() - 1) as f64;
    (mean, variance / mean)
}

fn draw(process: Arrivals, rate: f64, length_s: f64, seed: u64) -> Vec<f64> {
    let shapes = [Shape::Steady { rate }];
    times(
        process,
        &shapes,
        length_s,
        &mut Pcg64Mcg::seed_from_u64(seed),
    )
}

#[test]
fn gaps_are_equal_when_arrivals_are_constant() {
    let t = draw(Arrivals::Constant, 250.0, 20.0, 1);
    assert!((4999..=5000).contains(&t.len()));
    assert!(t.windows(2).all(|p| (p[1] - p[0] - 0.004).abs() < 1e-6));
}

#[test]
fn mean_dispersion_and_gaps_match_theory_when_arrivals_are_poisson() {
    let t = draw(Arrivals::Poisson, 100.0, 2000.0, 2);
    // 200,000 arrivals: the mean's deviation is 0.22%, the dispersion's over 20,000 windows 1%.
    let (mean, dispersion) = counts(&t, 2000.0, 0.1);
    assert!((mean / 10.0 - 1.0).abs() < 0.01, "{mean}");
    assert!((dispersion - 1.0).abs() < 0.04, "{dispersion}");
    let gaps: Vec<f64> = t.windows(2).map(|p| p[1] - p[0]).collect();
    let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
    let square = gaps.iter().map(|g| g * g).sum::<f64>() / gaps.len() as f64;
    // Exponential: the mean of the squares is twice the square of the mean.
    assert!(
        (square / mean.powi(2) - 2.0).abs() < 0.05,
        "{}",
        square / mean.powi(2)
    );
    let longer = gaps.iter().filter(|g| **g > 0.02).count() as f64 / gaps.len() as f64;
    assert!((longer - (-2.0f64).exp()).abs() < 0.005, "{longer}");
}

#[test]
fn mean_and_dispersion_match_closed_form_when_arrivals_are_bursty() {
    let process = Arrivals::Bursty {
        ratio: 5.0,
        busy_s: 0.5,
        quiet_s: 1.5,
    };
    let t = draw(process, 100.0, 20_000.0, 3);
    // Busy a quarter of the time at five times the quiet rate: 50 and 250 for a mean of 100.
    for window in [0.1, 1.0, 5.0] {
        let (mean, dispersion) = counts(&t, 20_000.0, window);
        let want = mmpp_dispersion([50.0, 250.0], [1.5, 0.5], window);
        assert!((mean / (100.0 * window) - 1.0).abs() < 0.02, "{mean}");
        assert!(
            (dispersion / want - 1.0).abs() < 0.08,
            "{window}: {dispersion} for {want}"
        );
    }
}

#[test]
fn arrival_times_are_equal_only_when_the_seed_is() {
    let process = Arrivals::Bursty {
        ratio: 3.0,
        busy_s: 1.0,
        quiet_s: 1.0,
    };
    assert_eq!(draw(process, 50.0, 20.0, 9), draw(process, 50.0, 20.0, 9));
    assert_ne!(draw(process, 50.0, 20.0, 9), draw(process, 50.0, 20.0, 10));
}
