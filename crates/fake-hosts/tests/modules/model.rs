use fake_hosts::model::{Admission, HostModel, HostSpec, Job, JobEnd, Micros};

fn plain() -> HostSpec {
    HostSpec {
        call_us: 0.0,
        pause_us: [0, 0],
        thrash: 0.0,
        error_rate: 0.0,
        ..HostSpec::default()
    }
}

fn job(id: u64, work_us: f64) -> Job {
    Job {
        id,
        work_us,
        expires: Micros::MAX,
    }
}

fn all(model: &mut HostModel, to: Micros) -> Vec<(u64, JobEnd)> {
    let mut ended = Vec::new();
    model.advance(to, &mut ended);
    ended
}

#[test]
fn parts_share_cores_and_queue_when_slots_are_full() {
    let mut m = HostModel::new(plain(), 1, 0);
    // Four slots on two cores: four parts of 100 ms take 200 ms, the fifth then 100 ms alone.
    for id in 0..5 {
        assert_eq!(m.offer(job(id, 100_000.0), id == 0), Admission::Accepted);
    }
    assert_eq!((m.held(), m.queued()), (5, 1));
    assert!(all(&mut m, 199_000).is_empty());
    assert_eq!(all(&mut m, 201_000).len(), 4);
    assert!(all(&mut m, 299_000).is_empty());
    assert_eq!(all(&mut m, 302_000), [(4, JobEnd::Served)]);
}

#[test]
fn part_is_rejected_when_the_queue_is_full_and_expires_when_late() {
    let spec = HostSpec {
        queue_per_core: 1.0,
        cores: 1,
        slots_per_core: 1,
        ..plain()
    };
    let mut m = HostModel::new(spec, 1, 0);
    assert_eq!(m.offer(job(0, 1000.0), true), Admission::Accepted);
    assert_eq!(
        m.offer(
            Job {
                expires: 500,
                ..job(1, 1000.0)
            },
            true
        ),
        Admission::Accepted
    );
    assert_eq!(m.offer(job(2, 1.0), true), Admission::Rejected);
    assert_eq!(
        all(&mut m, 5000),
        [(0, JobEnd::Served), (1, JobEnd::Expired)]
    );
}

#[test]
fn cold_host_falls_over_only_when_overloaded() {
    let gentle = |per_second: u32| {
        let mut m = HostModel::new(
            HostSpec {
                queue_per_core: 1e6,
                ..plain()
            },
            1,
            0,
        );
        m.start_cold(0);
        for n in 0..per_second * 3 {
            m.advance(
                u64::from(n) * 1_000_000 / u64::from(per_second),
                &mut Vec::new(),
            );
            m.offer(job(n.into(), 100_000.0), false);
        }
        m
    };
    // Two cores at 0.3 of their speed can do 0.6 s of work in a second; twice that is 12 such parts.
    assert!(!gentle(8).has_fallen());
    assert!(gentle(40).has_fallen());
    assert!(
        (gentle(8).warmth() - 0.5).abs() < 0.01,
        "{}",
        gentle(8).warmth()
    );
    let mut fallen = gentle(40);
    let held = fallen.held();
    assert!(
        all(&mut fallen, 60_000_000).is_empty() && fallen.held() == held,
        "it stays down"
    );
}

#[test]
fn no_work_is_done_when_a_host_pauses() {
    let often = HostSpec {
        pause_us: [50_000; 2],
        pause_every_us: [1_000_000; 2],
        ..plain()
    };
    let spec = HostSpec {
        queue_per_core: 1e6,
        ..often
    };
    let mut m = HostModel::new(spec, 3, 0);
    for id in 0..400u64 {
        m.offer(job(id, 50_000.0), false);
    }
    let mut ended = Vec::new();
    m.advance(4_000_000, &mut ended);
    // 4 s less 3 or 4 pauses on two cores: 7.6 to 7.7 s of work, which is what was done.
    assert!(
        (7_590_000.0..=7_710_000.0).contains(&m.done_us()),
        "{}",
        m.done_us()
    );
}

#[test]
fn report_is_shown_late_and_kept_until_the_next() {
    let spec = HostSpec {
        report_noise: 0.0,
        report_every_us: 100,
        report_delay_us: 50,
        ..plain()
    };
    let mut m = HostModel::new(spec, 1, 0);
    assert_eq!(m.report(), None);
    m.offer(job(0, 1e6), false);
    m.advance(49, &mut Vec::new());
    assert_eq!(m.report(), None, "the report made at 0 shows at 50");
    m.advance(60, &mut Vec::new());
    assert_eq!(m.report().map(|l| l.inflight), Some(0.0));
    m.advance(200, &mut Vec::new());
    assert_eq!(m.report().map(|l| l.inflight), Some(1.0));
}
