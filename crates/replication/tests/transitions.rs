//! Transitions that an agent logs about its pulls.

use protocol::Addr;
use replication::transitions::{PullRecorder, PullTransition};
use replication::{Action, Puller, VisibleVersion, MEMBERS_PER_AGENT, STALE_AGE_MS};
use std::collections::BTreeMap;
use std::time::Duration;

fn addr(n: u32) -> Addr {
    Addr { ip: n, port: 7660 }
}

/// Puller whose members all answer; those with an old age are out of contact with the primary.
struct Agent {
    puller: Puller,
    recorder: PullRecorder,
    links: BTreeMap<u64, Addr>,
    /// Age of a member's answers, in ms; 0 if there is no entry.
    ages_ms: BTreeMap<u32, u32>,
    now: Duration,
    reported: Vec<PullTransition>,
}

impl Agent {
    fn new() -> Self {
        let mut puller = Puller::new("edge-1", MEMBERS_PER_AGENT, None).preferring_one_member();
        puller.set_seeds(&[addr(1), addr(2), addr(3)]);
        let (recorder, links, ages_ms) = Default::default();
        Self {
            puller,
            recorder,
            links,
            ages_ms,
            now: Duration::ZERO,
            reported: Vec::new(),
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        let mut queue = actions;
        while let Some(action) = queue.pop() {
            let following = match action {
                Action::Connect { link, addr } => {
                    self.links.insert(link, addr);
                    self.puller.connected(self.now, link)
                }
                Action::Pull { link, wait_ms: 0 } => self.answer_pull(link),
                Action::Pull { .. } => Vec::new(),
                Action::Close { link } => {
                    self.links.remove(&link);
                    Vec::new()
                }
            };
            queue.extend(following);
            self.reported
                .extend(self.recorder.observe_pulls(&self.puller));
        }
    }

    fn answer_pull(&mut self, link: u64) -> Vec<Action> {
        let Some(addr) = self.links.get(&link).copied() else {
            return Vec::new();
        };
        let age_ms = self.ages_ms.get(&addr.ip).copied().unwrap_or(0);
        self.puller
            .answered(self.now, link, addr.ip.into(), age_ms, false)
    }

    /// Lets all members answer once, including those whose answer could wait longer.
    fn run_round(&mut self) {
        self.now += Duration::from_millis(900);
        let actions = self.puller.tick(self.now);
        self.perform(actions);
        for link in self.links.keys().copied().collect::<Vec<_>>() {
            let actions = self.answer_pull(link);
            self.perform(actions);
        }
    }
}

#[test]
fn change_and_loss_of_the_preferred_member_are_reported_once() {
    let mut agent = Agent::new();
    (0..3).for_each(|_| agent.run_round());
    let Some(PullTransition::PreferredMember {
        member: preferred, ..
    }) = agent.reported.last().copied()
    else {
        panic!("{:?}", agent.reported);
    };
    let first = agent.reported.first().unwrap();
    assert!(
        matches!(
            first,
            PullTransition::PreferredMember {
                fresh_again: true,
                ..
            }
        ),
        "{first:?}"
    );
    agent.reported.clear();
    (0..20).for_each(|_| agent.run_round());
    assert_eq!(agent.reported, [], "no transitions while nothing changes");

    // The preferred member loses contact with the primary: another takes its place at once.
    agent.ages_ms.insert(preferred.ip, STALE_AGE_MS + 1);
    (0..20).for_each(|_| agent.run_round());
    assert_eq!(agent.reported.len(), 1, "{:?}", agent.reported);
    let is_other = |transition: &PullTransition| {
        matches!(transition, PullTransition::PreferredMember { member: other, fresh_again: false }
        if *other != preferred)
    };
    assert!(is_other(&agent.reported[0]), "{:?}", agent.reported);

    // The other members lose contact as well.
    agent.reported.clear();
    agent.ages_ms.extend((1..=3).map(|n| (n, STALE_AGE_MS + 1)));
    (0..20).for_each(|_| agent.run_round());
    assert_eq!(
        agent.reported.last(),
        Some(&PullTransition::NoFreshMember { stale: 3 })
    );
    let is_loss =
        |transition: &&PullTransition| matches!(transition, PullTransition::NoFreshMember { .. });
    assert_eq!(
        agent.reported.iter().filter(is_loss).count(),
        1,
        "{:?}",
        agent.reported
    );

    agent.reported.clear();
    agent.ages_ms.clear();
    (0..20).for_each(|_| agent.run_round());
    assert!(
        matches!(
            agent.reported[0],
            PullTransition::PreferredMember {
                fresh_again: true,
                ..
            }
        ),
        "{:?}",
        agent.reported
    );
}

fn visible(configuration_version: u64, index: u64) -> VisibleVersion {
    VisibleVersion {
        configuration_version,
        index,
    }
}

#[test]
fn applied_configuration_is_reported_once() {
    let mut recorder = PullRecorder::default();
    assert_eq!(
        recorder.observe_configuration(visible(0, 0)),
        None,
        "no configuration has arrived yet"
    );
    let applied = PullTransition::ConfigurationApplied {
        version: 7,
        index: 2,
    };
    assert_eq!(recorder.observe_configuration(visible(7, 2)), Some(applied));
    assert_eq!(
        recorder.observe_configuration(visible(7, 3)),
        None,
        "only the drains changed"
    );
}
