//! The handling of configuration requests alone: [`ReplicatedState::plan`] and [`ReplicatedState::apply`] under every order
//! of sending, forwarding, repeating, answering, committing and takeover. The whole space within the bounds is visited;
//! there is no default schedule.

use crate::search::{Choice, Model, Violation};
use configuration::{Configuration, ResultCode};
use control_plane::replicated_state::{Plan, ReplicatedState};
use protocol::Command;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Of several requests on one base at most one is acknowledged.
pub const ONE_REQUEST_PER_BASE: &str = "one request for each base";
/// An accepted request is never rejected.
pub const NEVER_REJECTED: &str = "an accepted request is never rejected";
/// A rejected request never takes effect.
pub const NO_EFFECT: &str = "a rejected request never takes effect";
/// An acknowledged request stays in force until a newer version is.
pub const STAYS_IN_FORCE: &str = "an acknowledged request stays";
/// A request takes effect once.
pub const APPLIED_ONCE: &str = "a request takes effect once";

/// A bug put round the replicated state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// None.
    Nothing,
    /// An answer that rests on a change which isn't committed yet doesn't wait for it.
    EarlyAnswer,
    /// A snapshot lacks the digests of the applied requests.
    ForgottenDigests,
    /// A change is acknowledged before it is committed.
    EarlyAcknowledgement,
    /// Requests are planned on the committed state, without the changes that are pending.
    PlansOnCommitted,
    /// Requests are told apart by their versions alone.
    KnownByVersion,
    /// A request that builds on a version above the one in force is rejected.
    EarlyRejection,
}

impl SeededBug {
    /// All bugs with their names on the command line.
    pub const ALL: &'static [(&'static str, SeededBug)] = &[
        ("none", SeededBug::Nothing),
        ("early-answer", SeededBug::EarlyAnswer),
        ("forgotten-calls", SeededBug::ForgottenDigests),
        ("early-confirmation", SeededBug::EarlyAcknowledgement),
        ("plans-on-safe", SeededBug::PlansOnCommitted),
        ("known-by-version", SeededBug::KnownByVersion),
        ("early-refusal", SeededBug::EarlyRejection),
    ];
}

/// A configuration request of a client.
#[derive(Clone, Debug)]
pub struct ModelledRequest {
    /// The version it builds on.
    pub base: u64,
    /// The version it leads to.
    pub version: u64,
    /// Stands for its content: requests of one version differ in it.
    pub name: &'static str,
}

/// The model.
#[derive(Clone, Debug)]
pub struct RequestModel {
    /// What clients send.
    pub requests: Vec<ModelledRequest>,
    /// How often each is sent at most, retries of forwarded requests included.
    pub max_sends: u8,
    /// Number of takeovers at most.
    pub max_takeovers: u8,
    /// Whether requests are sent on versions that were not acknowledged.
    pub unconfirmed_bases: bool,
    /// A bug to be found.
    pub seeded_bug: SeededBug,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct RequestState {
    sent: u8,
    /// Number of copies on their way to a primary.
    in_flight: u8,
    acknowledged: bool,
    rejected: bool,
}

/// The state after a change that isn't committed yet, and the answers that wait for it.
#[derive(Clone, Debug)]
struct Pending {
    state: ReplicatedState,
    answers: Vec<(usize, ResultCode)>,
}

/// A state.
#[derive(Clone, Debug)]
pub struct State {
    committed: ReplicatedState,
    pending: Vec<Pending>,
    request_states: Vec<RequestState>,
    /// Answers on their way back.
    answers: Vec<(usize, ResultCode)>,
    takeovers: u8,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A client sends a request, for the first time or again.
    Send(usize),
    /// A copy of a request reaches the primary.
    Deliver(usize),
    /// A copy of a request is lost.
    Lose(usize),
    /// The oldest change is on the disks of all replicas.
    Commit,
    /// An answer reaches its client.
    Answer(usize),
    /// An answer is lost.
    LoseAnswer(usize),
    /// Another primary takes over with this many of the changes that weren't committed.
    Takeover(usize),
}

fn body(request: &ModelledRequest) -> Vec<u8> {
    let ModelledRequest { version, name, .. } = request;
    format!(r#"{{"version":{version},"routes":[],"services":[{{"name":"{name}"}}],"limits":{{}}}}"#)
        .into_bytes()
}

impl RequestModel {
    /// Two clients: requests a and b with one version and different contents, c after whichever was acknowledged.
    pub fn two_clients(seeded_bug: SeededBug) -> Self {
        let request = |base, version, name| ModelledRequest {
            base,
            version,
            name,
        };
        let requests = vec![request(0, 1, "a"), request(0, 1, "b"), request(1, 2, "c")];
        Self {
            requests,
            max_sends: 3,
            max_takeovers: 2,
            unconfirmed_bases: false,
            seeded_bug,
        }
    }

    fn command(&self, request: usize) -> Command {
        let request = &self.requests[request];
        Command::Configure {
            base: request.base,
            amend: false,
            body: body(request),
        }
    }

    /// Whether the version that a request builds on was acknowledged.
    fn base_is_known(&self, state: &State, request: usize) -> bool {
        let base = self.requests[request].base;
        let acknowledged =
            |o: usize| state.request_states[o].acknowledged && self.requests[o].version == base;
        base == 0 || (0..self.requests.len()).any(acknowledged)
    }

    fn holds(&self, document: &Configuration, request: usize) -> bool {
        let request = &self.requests[request];
        document.version == request.version
            && document
                .services
                .first()
                .is_some_and(|s| s.value.name == request.name)
    }

    /// The state as the next primary takes it over.
    fn handed_over(&self, state: &ReplicatedState) -> ReplicatedState {
        let mut snapshot = state.snapshot();
        if self.seeded_bug == SeededBug::ForgottenDigests {
            for request in &mut snapshot.applied_requests {
                request.digest = Default::default();
            }
        }
        ReplicatedState::from_snapshot(&snapshot).unwrap_or_default()
    }

    fn plan(&self, state: &ReplicatedState, request: usize) -> Plan {
        let version = self.requests[request].version;
        let is_in_force = state.configuration.version == version;
        match (self.seeded_bug, state.plan(&self.command(request))) {
            (SeededBug::KnownByVersion, _) if is_in_force => Plan::Answer(ResultCode::Ok, vec![]),
            (SeededBug::EarlyRejection, Plan::Answer(ResultCode::BaseNotInForce, text)) => {
                Plan::Answer(ResultCode::OtherBase, text)
            }
            (_, plan) => plan,
        }
    }

    /// The primary handles a request.
    fn deliver(&self, state: &mut State, request: usize) {
        let pending = state.pending.last().map(|p| &p.state);
        let newest = pending.filter(|_| self.seeded_bug != SeededBug::PlansOnCommitted);
        match self.plan(newest.unwrap_or(&state.committed), request) {
            Plan::Change(_, next) => {
                if self.seeded_bug == SeededBug::EarlyAcknowledgement {
                    state.answers.push((request, ResultCode::Ok));
                }
                state.pending.push(Pending {
                    state: *next,
                    answers: vec![(request, ResultCode::Ok)],
                });
            }
            Plan::Answer(code, _) => match state.pending.last_mut() {
                Some(last) if self.seeded_bug != SeededBug::EarlyAnswer => {
                    last.answers.push((request, code));
                }
                _ => state.answers.push((request, code)),
            },
        }
    }

    /// An answer reaches its client.
    fn answered(
        &self,
        state: &mut State,
        request: usize,
        code: ResultCode,
    ) -> Result<(), Violation> {
        if code == ResultCode::Ok {
            return self.acknowledged(state, request);
        }
        // The outcome is unclear: the request is not rejected.
        if code.status() >= 500 {
            return Ok(());
        }
        state.request_states[request].rejected = true;
        let was_accepted = state.request_states[request].acknowledged
            || self.holds(&state.committed.configuration, request);
        if was_accepted {
            let name = self.requests[request].name;
            let detail = format!("{name} was accepted and is answered with {code:?}");
            return Err(Violation::new(NEVER_REJECTED, detail));
        }
        Ok(())
    }

    fn acknowledged(&self, state: &mut State, request: usize) -> Result<(), Violation> {
        state.request_states[request].acknowledged = true;
        let ModelledRequest { base, name, .. } = self.requests[request];
        let is_rival = |other: &usize| {
            let acknowledged = state.request_states[*other].acknowledged;
            *other != request && self.requests[*other].base == base && acknowledged
        };
        match (0..self.requests.len()).find(is_rival) {
            Some(rival) => {
                let rival = self.requests[rival].name;
                let detail = format!("{name} and {rival} are both acknowledged");
                Err(Violation::new(ONE_REQUEST_PER_BASE, detail))
            }
            None => Ok(()),
        }
    }

    fn check(&self, state: &State) -> Result<(), Violation> {
        let committed = &state.committed.configuration;
        for (number, outcome) in state.request_states.iter().enumerate() {
            let ModelledRequest { version, name, .. } = self.requests[number];
            let is_in_force = self.holds(committed, number);
            if outcome.rejected && is_in_force {
                let detail = format!("{name} was rejected and is in force");
                return Err(Violation::new(NO_EFFECT, detail));
            }
            if outcome.acknowledged && committed.version <= version && !is_in_force {
                let detail = format!("{name} was acknowledged, {} is in force", committed.version);
                return Err(Violation::new(STAYS_IN_FORCE, detail));
            }
        }
        let applied = &state.committed.applied_requests;
        let is_applied_twice = applied
            .iter()
            .enumerate()
            .any(|(at, request)| applied.iter().skip(at + 1).any(|other| other == request));
        if is_applied_twice {
            let detail = "a request is applied twice";
            return Err(Violation::new(APPLIED_ONCE, detail));
        }
        Ok(())
    }
}

impl Model for RequestModel {
    type State = State;
    type Action = Action;

    fn start(&self) -> State {
        let request_states = vec![RequestState::default(); self.requests.len()];
        State {
            committed: ReplicatedState::default(),
            pending: vec![],
            request_states,
            answers: vec![],
            takeovers: 0,
        }
    }

    fn choices(&self, state: &State) -> Vec<Choice<Action>> {
        let mut all = Vec::new();
        for (request, outcome) in state.request_states.iter().enumerate() {
            let has_base = self.unconfirmed_bases || self.base_is_known(state, request);
            if outcome.sent < self.max_sends && has_base {
                all.push(Action::Send(request));
            }
            if outcome.in_flight > 0 {
                all.extend([Action::Deliver(request), Action::Lose(request)]);
            }
        }
        all.extend((!state.pending.is_empty()).then_some(Action::Commit));
        all.extend(
            (0..state.answers.len()).flat_map(|at| [Action::Answer(at), Action::LoseAnswer(at)]),
        );
        if state.takeovers < self.max_takeovers {
            all.extend((0..=state.pending.len()).map(Action::Takeover));
        }
        all.into_iter()
            .map(|action| Choice { action, cost: 0 })
            .collect()
    }

    fn apply(&self, state: &State, action: &Action) -> Result<State, Violation> {
        let mut next = state.clone();
        match *action {
            Action::Send(request) => {
                next.request_states[request].sent += 1;
                next.request_states[request].in_flight += 1;
            }
            Action::Deliver(request) => {
                next.request_states[request].in_flight -= 1;
                self.deliver(&mut next, request);
            }
            Action::Lose(request) => next.request_states[request].in_flight -= 1,
            Action::Commit => {
                let oldest = next.pending.remove(0);
                next.committed = oldest.state;
                next.answers.extend(oldest.answers);
            }
            Action::Answer(at) => {
                let (request, code) = next.answers.remove(at);
                self.answered(&mut next, request, code)?;
            }
            Action::LoseAnswer(at) => drop(next.answers.remove(at)),
            Action::Takeover(kept) => {
                next.takeovers += 1;
                let newest = match kept.checked_sub(1) {
                    Some(last) => &next.pending[last].state,
                    None => &next.committed,
                };
                next.committed = self.handed_over(newest);
                // The waiting answers are never given: their primary is gone.
                next.pending.clear();
            }
        }
        self.check(&next)?;
        Ok(next)
    }

    fn fingerprint(&self, state: &State) -> u64 {
        let mut hasher = DefaultHasher::new();
        hash_state(&state.committed, &mut hasher);
        for pending in &state.pending {
            hash_state(&pending.state, &mut hasher);
            pending.answers.hash(&mut hasher);
        }
        (
            state.pending.len(),
            &state.request_states,
            &state.answers,
            state.takeovers,
        )
            .hash(&mut hasher);
        hasher.finish()
    }

    fn remaining(&self, _state: &State) -> u64 {
        u64::MAX
    }
}

fn hash_state(state: &ReplicatedState, hasher: &mut DefaultHasher) {
    let applied = format!("{:?}", state.applied_requests);
    (state.index, state.configuration.to_json(), applied).hash(hasher);
}
