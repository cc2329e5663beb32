//! Old news: how their age is counted.

use replication::{News, UNCONFIRMED};
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::at_once(1000, 1004, 0, 30, 34)]
#[case::held_by_the_speaker(1000, 2003, 1000, 30, 33)]
#[case::the_puller_stood_still(1000, 21_500, 500, 30, 20_030)]
#[case::the_speaker_stood_still(1000, 21_002, 20_000, 20_010, 20_012)]
#[case::held_up_on_the_way(1000, 19_000, 1000, 0, 17_000)]
#[case::no_proof_at_all(1000, 1004, 0, UNCONFIRMED, UNCONFIRMED)]
fn an_answer_s_age_counts_from_when_its_pull_left(
    #[case] asked: u64,
    #[case] now: u64,
    #[case] held_ms: u32,
    #[case] told: u32,
    #[case] age_ms: u32,
) {
    let news = News { age_ms: told, held_ms, ..News::default() };
    assert_eq!(news.aged(ms(asked), ms(now)).age_ms, age_ms);
}
