//! What an agent's log tells of its pulls.

use protocol::Addr;
use replication::transitions::{PullRecorder, PullTransition};
use replication::{Action, Puller, VisibleVersion, MEMBERS_PER_AGENT, STALE_AGE_MS};
use std::collections::BTreeMap;
use std::time::Duration;

fn addr(n: u32) -> Addr {
    Addr { ip: n, port: 7660 }
}

/// A puller whose members all answer, but for those that are said to be cut off.
struct Agent {
    puller: Puller,
    recorder: PullRecorder,
    links: BTreeMap<u64, Addr>,
    /// How old the answers of a member are, in ms.
    ages: BTreeMap<u32, u32>,
    now: Duration,
    told: Vec<PullTransition>,
}

impl Agent {
    fn new() -> Self {
        let mut puller = Puller::new("edge-1", MEMBERS_PER_AGENT, None).preferring_one_member();
        puller.set_seeds(&[addr(1), addr(2), addr(3)]);
        let (recorder, links, ages) = Default::default();
        Self {
            puller,
            recorder,
            links,
            ages,
            now: Duration::ZERO,
            told: Vec::new(),
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        let mut queue = actions;
        while let Some(action) = queue.pop() {
            let more = match action {
                Action::Connect { link, addr } => {
                    self.links.insert(link, addr);
                    self.puller.connected(self.now, link)
                }
                Action::Pull { link, wait_ms: 0 } => self.answer(link),
                Action::Pull { .. } => Vec::new(),
                Action::Close { link } => {
                    self.links.remove(&link);
                    Vec::new()
                }
            };
            queue.extend(more);
            self.told.extend(self.recorder.pulls(&self.puller));
        }
    }

    fn answer(&mut self, link: u64) -> Vec<Action> {
        let Some(addr) = self.links.get(&link).copied() else {
            return Vec::new();
        };
        let age = self.ages.get(&addr.ip).copied().unwrap_or(0);
        self.puller
            .answered(self.now, link, addr.ip.into(), age, false)
    }

    /// All members answer once, whether or not their answer might wait longer.
    fn round(&mut self) {
        self.now += Duration::from_millis(900);
        let actions = self.puller.tick(self.now);
        self.act(actions);
        for link in self.links.keys().copied().collect::<Vec<_>>() {
            let actions = self.answer(link);
            self.act(actions);
        }
    }
}

#[test]
fn preferred_member_when_it_changes_or_is_lost_then_is_reported_once() {
    let mut agent = Agent::new();
    (0..3).for_each(|_| agent.round());
    let Some(PullTransition::PreferredMember { member: leader, .. }) = agent.told.last().copied()
    else {
        panic!("{:?}", agent.told);
    };
    let first = agent.told.first().unwrap();
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
    agent.told.clear();
    (0..20).for_each(|_| agent.round());
    assert_eq!(agent.told, [], "nothing while all is well");

    // The leading one is cut off from the primary: another takes its place at once.
    agent.ages.insert(leader.ip, STALE_AGE_MS + 1);
    (0..20).for_each(|_| agent.round());
    assert_eq!(agent.told.len(), 1, "{:?}", agent.told);
    let moved = |t: &PullTransition| {
        matches!(t, PullTransition::PreferredMember { member: l, fresh_again: false }
        if *l != leader)
    };
    assert!(moved(&agent.told[0]), "{:?}", agent.told);

    // So are the others.
    agent.told.clear();
    agent.ages.extend((1..=3).map(|n| (n, STALE_AGE_MS + 1)));
    (0..20).for_each(|_| agent.round());
    assert_eq!(
        agent.told.last(),
        Some(&PullTransition::NoFreshMember { stale: 3 })
    );
    let lost = |t: &&PullTransition| matches!(t, PullTransition::NoFreshMember { .. });
    assert_eq!(
        agent.told.iter().filter(lost).count(),
        1,
        "{:?}",
        agent.told
    );

    agent.told.clear();
    agent.ages.clear();
    (0..20).for_each(|_| agent.round());
    assert!(
        matches!(
            agent.told[0],
            PullTransition::PreferredMember {
                fresh_again: true,
                ..
            }
        ),
        "{:?}",
        agent.told
    );
}

fn visible(configuration_version: u64, index: u64) -> VisibleVersion {
    VisibleVersion {
        configuration_version,
        index,
    }
}

#[test]
fn configuration_when_applied_then_is_reported_once() {
    let mut recorder = PullRecorder::default();
    assert_eq!(
        recorder.configuration(visible(0, 0)),
        None,
        "none has come yet"
    );
    let taken = PullTransition::ConfigurationApplied {
        version: 7,
        index: 2,
    };
    assert_eq!(recorder.configuration(visible(7, 2)), Some(taken));
    assert_eq!(recorder.configuration(visible(7, 3)), None, "a drain alone");
}
