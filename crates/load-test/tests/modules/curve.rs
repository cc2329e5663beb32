use load_test::curve::{expected, Shape, Walk};

#[test]
fn integral_matches_geometry_for_each_shape() {
    let surge = Shape::Surge {
        rate: 100.0,
        at_s: 2.0,
        rise_s: 2.0,
        hold_s: 3.0,
        fall_s: 4.0,
    };
    for (shape, area) in [
        (Shape::Steady { rate: 7.0 }, 140.0),
        (
            Shape::Step {
                rate: 10.0,
                at_s: 5.0,
                for_s: Some(2.5),
            },
            25.0,
        ),
        (
            Shape::Step {
                rate: 10.0,
                at_s: 5.0,
                for_s: None,
            },
            150.0,
        ),
        (
            Shape::Ramp {
                from: 10.0,
                to: 30.0,
                at_s: 5.0,
                for_s: 10.0,
            },
            50.0 + 200.0 + 150.0,
        ),
        (surge, 100.0 + 300.0 + 200.0),
        (
            Shape::Daily {
                mean: 10.0,
                swing: 0.8,
                day_s: 10.0,
            },
            200.0,
        ),
        (
            Shape::OnOff {
                rate: 10.0,
                on_s: 1.0,
                off_s: 3.0,
            },
            50.0,
        ),
    ] {
        let got = expected(std::slice::from_ref(&shape), 20.0);
        assert!(
            (got - area).abs() < area * 1e-3,
            "{shape:?}: {got} for {area}"
        );
    }
}

#[test]
fn walk_advances_by_equal_amounts_when_the_rate_rises() {
    // A rate that rises from 0 by 2 a second: the n-th query is due at the root of n.
    let shapes = [Shape::Ramp {
        from: 0.0,
        to: 20.0,
        at_s: 0.0,
        for_s: 10.0,
    }];
    let mut walk = Walk::new(&shapes, 10.0);
    let times: Vec<f64> = std::iter::from_fn(|| walk.advance(1.0, |_| 1.0)).collect();
    assert!((99..=100).contains(&times.len()), "{}", times.len());
    for (n, t) in times.iter().enumerate() {
        assert!((t - ((n + 1) as f64).sqrt()).abs() < 2e-3, "{n}: {t}");
    }
}
