#[test]
fn debug() {
    for seed in 0..300 {
        let r = windfall::run(&windfall::Plan::drawn(seed));
        if !r.breaches.is_empty() {
            println!("{seed} {:?} {:?}", windfall::Plan::drawn(seed).faults, r.breaches);
        }
    }
}
