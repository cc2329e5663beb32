//! The queueing model itself, which the comparison rests on.

mod model;
use balancing::PromptPart;
use model::engine::{Engine, EngineProfile};
use model::part;

const PLAIN_REQUEST: EngineProfile = EngineProfile {
    batch: 2,
    queue: 1,
    step_ms: 5.0,
    step_ms_per_slot: 1.0,
    context_ms_per_k: 0.0,
    tokens_per_ms: 100.0,
    pairs_ms_per_m: 0.0,
    overhead_ms: 0.0,
    chunk: 1000,
    cache_capacity: 10_000,
    stride: 2,
    reports_load: true,
};

/// Steps until nothing is left. For each step: its length in ms and the attempts that got an event.
fn drain(engine: &mut Engine) -> Vec<(u64, Vec<usize>)> {
    let mut steps = Vec::new();
    while let Some(time) = engine.begin_step() {
        steps.push((
            time / 1000,
            engine.end_step().iter().map(|m| m.attempt).collect(),
        ));
    }
    steps
}

#[test]
fn prompt_when_long_then_prefilled_in_chunks_before_a_token_each_step() {
    let mut e = Engine::new(PLAIN_REQUEST);
    assert!(e.submit(1, 5, &[part(1, 1500)], 4));
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
fn step_when_another_prompt_is_prefilled_then_longer() {
    let mut e = Engine::new(EngineProfile {
        stride: 1,
        ..PLAIN_REQUEST
    });
    assert!(e.submit(1, 5, &[part(1, 100)], 3));
    e.begin_step();
    e.end_step();
    assert!(e.submit(2, 5, &[part(2, 2000)], 1));
    assert_eq!(e.begin_step(), Some(16_000));
}

#[test]
fn parts_when_cached_with_all_before_them_then_not_prefilled_again() {
    let mut e = Engine::new(PLAIN_REQUEST);
    let read = |e: &mut Engine, parts: &[PromptPart]| {
        let before = e.tokens_read;
        assert!(e.submit(1, 5, parts, 1));
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
fn cache_when_full_then_least_recently_used_parts_are_evicted() {
    let mut e = Engine::new(PLAIN_REQUEST);
    for id in [1, 2, 1, 3] {
        assert!(e.submit(1, 5, &[part(id, 4000), part(100 + id, 1)], 1));
        drain(&mut e);
    }
    let before = e.tokens_read;
    assert!(e.submit(1, 5, &[part(1, 4000), part(200, 1)], 1));
    drain(&mut e);
    assert_eq!(
        e.tokens_read - before,
        1,
        "used after part 2, which made room for part 3"
    );
}

#[test]
fn batch_when_full_then_queue_by_priority_and_reject() {
    let mut e = Engine::new(PLAIN_REQUEST);
    assert!(e.submit(1, 5, &[part(1, 10)], 9));
    assert!(e.submit(2, 5, &[part(2, 10)], 9));
    e.begin_step();
    e.end_step();
    assert!(e.submit(3, 5, &[part(3, 10)], 9));
    assert_eq!(e.load(), (2, 1, 2));
    assert!(!e.submit(4, 5, &[part(4, 10)], 9));
    let mut e = Engine::new(EngineProfile {
        batch: 1,
        ..PLAIN_REQUEST
    });
    assert!(e.submit(1, 6, &[part(1, 10)], 1));
    assert!(e.submit(2, 2, &[part(2, 10)], 1));
    assert_eq!(
        drain(&mut e)
            .into_iter()
            .flat_map(|s| s.1)
            .collect::<Vec<_>>(),
        [2, 1]
    );
}

#[test]
fn request_when_memory_is_in_use_then_waits() {
    let mut e = Engine::new(PLAIN_REQUEST);
    assert!(e.submit(1, 5, &[part(1, 6000)], 1));
    assert!(e.submit(2, 5, &[part(2, 6000)], 1));
    e.begin_step();
    assert_eq!(e.load(), (1, 1, 2));
}
