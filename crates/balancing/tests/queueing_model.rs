//! Tests of the model host in the queueing model, on which the comparison in `queueing.rs` depends.

mod model;
use balancing::PromptPart;
use model::engine::{Engine, EngineProfile};
use model::part;

/// A small host whose step times are easy to compute.
const PROFILE: EngineProfile = EngineProfile {
    slots: 2,
    max_queued: 1,
    step_ms: 5.0,
    step_ms_per_running: 1.0,
    step_ms_per_k_context: 0.0,
    prefill_tokens_per_ms: 100.0,
    prefill_ms_per_m_pairs: 0.0,
    overhead_ms: 0.0,
    prefill_chunk_tokens: 1000,
    cache_capacity_tokens: 10_000,
    tokens_per_event: 2,
    reports_load: true,
};

/// Runs steps until no request is left. Returns the duration in ms of each step and the attempts that got an event.
fn run_to_completion(engine: &mut Engine) -> Vec<(u64, Vec<usize>)> {
    let mut steps = Vec::new();
    while let Some(duration) = engine.begin_step() {
        steps.push((
            duration / 1000,
            engine
                .end_step()
                .iter()
                .map(|output| output.attempt)
                .collect(),
        ));
    }
    steps
}

#[test]
fn prompt_when_long_then_prefilled_in_chunks_before_one_token_per_step() {
    let mut engine = Engine::new(PROFILE);
    assert!(engine.submit(1, 5, &[part(1, 1500)], 4));
    // Two chunks, the last of which yields the first token, then one token per step. An event contains two tokens.
    assert_eq!(
        run_to_completion(&mut engine),
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
    let mut engine = Engine::new(EngineProfile {
        tokens_per_event: 1,
        ..PROFILE
    });
    assert!(engine.submit(1, 5, &[part(1, 100)], 3));
    engine.begin_step();
    engine.end_step();
    assert!(engine.submit(2, 5, &[part(2, 2000)], 1));
    assert_eq!(engine.begin_step(), Some(16_000));
}

#[test]
fn parts_when_cached_with_all_before_them_then_not_prefilled_again() {
    let mut engine = Engine::new(PROFILE);
    let prefilled_tokens = |engine: &mut Engine, parts: &[PromptPart]| {
        let before = engine.prefilled_tokens;
        assert!(engine.submit(1, 5, parts, 1));
        run_to_completion(engine);
        engine.prefilled_tokens - before
    };
    assert_eq!(
        prefilled_tokens(&mut engine, &[part(1, 500), part(2, 300), part(10, 100)]),
        900
    );
    assert_eq!(
        prefilled_tokens(&mut engine, &[part(1, 500), part(2, 300), part(11, 100)]),
        100
    );
    assert_eq!(
        prefilled_tokens(&mut engine, &[part(3, 500), part(2, 300), part(12, 100)]),
        900
    );
}

#[test]
fn cache_when_full_then_least_recently_used_parts_are_evicted() {
    let mut engine = Engine::new(PROFILE);
    for id in [1, 2, 1, 3] {
        assert!(engine.submit(1, 5, &[part(id, 4000), part(100 + id, 1)], 1));
        run_to_completion(&mut engine);
    }
    let before = engine.prefilled_tokens;
    assert!(engine.submit(1, 5, &[part(1, 4000), part(200, 1)], 1));
    run_to_completion(&mut engine);
    assert_eq!(
        engine.prefilled_tokens - before,
        1,
        "part 1 was used after part 2, which was evicted for part 3"
    );
}

#[test]
fn requests_when_all_slots_are_used_then_queued_by_priority_or_rejected() {
    let mut engine = Engine::new(PROFILE);
    assert!(engine.submit(1, 5, &[part(1, 10)], 9));
    assert!(engine.submit(2, 5, &[part(2, 10)], 9));
    engine.begin_step();
    engine.end_step();
    assert!(engine.submit(3, 5, &[part(3, 10)], 9));
    assert_eq!(engine.load(), (2, 1, 2));
    assert!(!engine.submit(4, 5, &[part(4, 10)], 9));
    let mut engine = Engine::new(EngineProfile {
        slots: 1,
        ..PROFILE
    });
    assert!(engine.submit(1, 6, &[part(1, 10)], 1));
    assert!(engine.submit(2, 2, &[part(2, 10)], 1));
    assert_eq!(
        run_to_completion(&mut engine)
            .into_iter()
            .flat_map(|step| step.1)
            .collect::<Vec<_>>(),
        [2, 1]
    );
}

#[test]
fn request_when_cache_is_in_use_then_waits() {
    let mut engine = Engine::new(PROFILE);
    assert!(engine.submit(1, 5, &[part(1, 6000)], 1));
    assert!(engine.submit(2, 5, &[part(2, 6000)], 1));
    engine.begin_step();
    assert_eq!(engine.load(), (1, 1, 2));
}
