//! The queueing model by itself: what is measured with it rests on these.

mod model;
use balancing::PromptPart;
use model::engine::{Engine, Figures};
use model::part;

const PLAIN: Figures = Figures {
    batch: 2,
    queue: 1,
    step_ms: 5.0,
    step_ms_per_slot: 1.0,
    context_ms_per_k: 0.0,
    tokens_per_ms: 100.0,
    pairs_ms_per_m: 0.0,
    first_ms: 0.0,
    chunk: 1000,
    memory: 10_000,
    stride: 2,
    tells: true,
};

/// Steps until nothing is left; for each step its length in ms and who got an event.
fn drain(engine: &mut Engine) -> Vec<(u64, Vec<usize>)> {
    let mut steps = Vec::new();
    while let Some(time) = engine.begin() {
        steps.push((
            time / 1000,
            engine.end().iter().map(|m| m.attempt).collect(),
        ));
    }
    steps
}

#[test]
fn a_prompt_is_read_in_chunks_and_tokens_take_a_step_each() {
    let mut e = Engine::new(PLAIN);
    assert!(e.take(1, 5, &[part(1, 1500)], 4));
    // Two chunks (the first token comes with the last one), then a token a step; an event holds two.
    assert_eq!(
        drain(&mut e),
        [
            (15, vec![]),
            (10, vec![]),
            (6, vec![1]),
            (6, vec![]),
            (6, vec![1])
        ]
    );
}

#[test]
fn reading_for_one_holds_up_the_tokens_of_another() {
    let mut e = Engine::new(Figures { stride: 1, ..PLAIN });
    assert!(e.take(1, 5, &[part(1, 100)], 3));
    e.begin();
    e.end();
    assert!(e.take(2, 5, &[part(2, 2000)], 1));
    assert_eq!(e.begin(), Some(16_000));
}

#[test]
fn kept_parts_are_not_read_again_unless_one_before_is_missing() {
    let mut e = Engine::new(PLAIN);
    let read = |e: &mut Engine, parts: &[PromptPart]| {
        let before = e.tokens_read;
        assert!(e.take(1, 5, parts, 1));
        drain(e);
        e.tokens_read - before
    };
    assert_eq!(
        read(&mut e, &[part(1, 500), part(2, 300), part(10, 100)]),
        900
    );
    assert_eq!(
        read(&mut e, &[part(1, 500), part(2, 300), part(11, 100)]),
        100
    );
    assert_eq!(
        read(&mut e, &[part(3, 500), part(2, 300), part(12, 100)]),
        900
    );
}

#[test]
fn the_parts_unused_longest_give_way() {
    let mut e = Engine::new(PLAIN);
    for id in [1, 2, 1, 3] {
        assert!(e.take(1, 5, &[part(id, 4000), part(100 + id, 1)], 1));
        drain(&mut e);
    }
    let before = e.tokens_read;
    assert!(e.take(1, 5, &[part(1, 4000), part(200, 1)], 1));
    drain(&mut e);
    assert_eq!(
        e.tokens_read - before,
        1,
        "used after part 2, which made room for part 3"
    );
}

#[test]
fn the_batch_is_bounded_the_more_urgent_first_and_a_full_host_refuses() {
    let mut e = Engine::new(PLAIN);
    assert!(e.take(1, 5, &[part(1, 10)], 9));
    assert!(e.take(2, 5, &[part(2, 10)], 9));
    e.begin();
    e.end();
    assert!(e.take(3, 5, &[part(3, 10)], 9));
    assert_eq!(e.load(), (2, 1, 2));
    assert!(!e.take(4, 5, &[part(4, 10)], 9));
    let mut e = Engine::new(Figures { batch: 1, ..PLAIN });
    assert!(e.take(1, 6, &[part(1, 10)], 1));
    assert!(e.take(2, 2, &[part(2, 10)], 1));
    assert_eq!(
        drain(&mut e)
            .into_iter()
            .flat_map(|s| s.1)
            .collect::<Vec<_>>(),
        [2, 1]
    );
}

#[test]
fn memory_that_running_requests_hold_is_waited_for() {
    let mut e = Engine::new(PLAIN);
    assert!(e.take(1, 5, &[part(1, 6000)], 1));
    assert!(e.take(2, 5, &[part(2, 6000)], 1));
    e.begin();
    assert_eq!(e.load(), (1, 1, 2));
}
