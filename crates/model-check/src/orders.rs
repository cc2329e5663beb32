//! The order ledger alone: [`ReplicatedState::plan`] and [`ReplicatedState::after`] under every order of sending, forwarding, repeating,
//! answering, safe writing and takeover. Here the whole space within the bounds is visited; nothing is a default.

use crate::search::{Breach, Choice, Model};
use configuration::{Configuration, ResultCode};
use control_plane::replicated_state::{Plan, ReplicatedState};
use protocol::Command;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Of several orders on one version one is confirmed at most.
pub const ONE_ORDER: &str = "one order for each version";
/// A taken order is never refused.
pub const NEVER_REFUSED: &str = "a taken order is never refused";
/// A refused order never takes effect.
pub const NO_EFFECT: &str = "a refused order never takes effect";
/// A confirmed order stays.
pub const STAYS: &str = "a confirmed order stays";
/// An order takes effect once.
pub const ONCE: &str = "an order takes effect once";

/// A bug planted round the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// None.
    Nothing,
    /// An answer that rests on a change which isn't safe yet doesn't wait for it.
    EarlyAnswer,
    /// A snapshot forgets the digests of the calls that were taken.
    ForgottenCalls,
    /// A change is confirmed before it is safe.
    EarlyConfirmation,
    /// Orders are planned on the safe ledger, without the changes under way.
    PlansOnSafe,
    /// An order is told from another by its version alone.
    KnownByVersion,
    /// An order that builds on a version above the one in force is refused.
    EarlyRefusal,
}

impl Planted {
    /// All bugs with their names.
    pub const ALL: &'static [(&'static str, Planted)] = &[
        ("none", Planted::Nothing),
        ("early-answer", Planted::EarlyAnswer),
        ("forgotten-calls", Planted::ForgottenCalls),
        ("early-confirmation", Planted::EarlyConfirmation),
        ("plans-on-safe", Planted::PlansOnSafe),
        ("known-by-version", Planted::KnownByVersion),
        ("early-refusal", Planted::EarlyRefusal),
    ];
}

/// An order of an operator.
#[derive(Clone, Debug)]
pub struct Order {
    /// The version it builds on.
    pub base: u64,
    /// The version it leads to.
    pub version: u64,
    /// What tells its content from that of another one.
    pub name: &'static str,
}

/// The model.
#[derive(Clone, Debug)]
pub struct Orders {
    /// What operators send.
    pub orders: Vec<Order>,
    /// How often each is sent at most; a forwarded order that is asked again counts as well.
    pub sends: u8,
    /// Takeovers at most.
    pub takeovers: u8,
    /// Whether an order is sent on a version that nobody was told of.
    pub guesses: bool,
    /// A bug to be found.
    pub planted: Planted,
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct Fate {
    sent: u8,
    /// Copies on their way to a primary.
    on_way: u8,
    confirmed: bool,
    refused: bool,
}

/// A change that isn't safe yet, with the answers that wait for it.
#[derive(Clone, Debug)]
struct Pending {
    ledger: ReplicatedState,
    answers: Vec<(usize, ResultCode)>,
}

/// A state.
#[derive(Clone, Debug)]
pub struct State {
    safe: ReplicatedState,
    pending: Vec<Pending>,
    fates: Vec<Fate>,
    /// Answers on their way back.
    answers: Vec<(usize, ResultCode)>,
    takeovers: u8,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An operator sends an order, for the first time or again.
    Send(usize),
    /// A copy of an order comes to the primary.
    Take(usize),
    /// A copy of an order is lost.
    Lose(usize),
    /// The oldest change is on the disks of all replicas.
    Safe,
    /// An answer comes to its operator.
    Answer(usize),
    /// An answer is lost.
    LoseAnswer(usize),
    /// Another primary takes the ledger over, with so many of the changes that weren't safe.
    Takeover(usize),
}

fn body(order: &Order) -> Vec<u8> {
    let Order { version, name, .. } = order;
    format!(r#"{{"version":{version},"routes":[],"services":[{{"name":"{name}"}}],"limits":{{}}}}"#)
        .into_bytes()
}

impl Orders {
    /// Two operators: A and B on one version with different contents, C after whichever was confirmed.
    pub fn two_operators(planted: Planted) -> Self {
        let order = |base, version, name| Order {
            base,
            version,
            name,
        };
        let orders = vec![order(0, 1, "a"), order(0, 1, "b"), order(1, 2, "c")];
        Self {
            orders,
            sends: 3,
            takeovers: 2,
            guesses: false,
            planted,
        }
    }

    fn command(&self, order: usize) -> Command {
        let order = &self.orders[order];
        Command::Configure {
            base: order.base,
            amend: false,
            body: body(order),
        }
    }

    /// Whether an operator was told of the version that an order builds on.
    fn base_is_known(&self, state: &State, order: usize) -> bool {
        let base = self.orders[order].base;
        let confirmed = |o: usize| state.fates[o].confirmed && self.orders[o].version == base;
        base == 0 || (0..self.orders.len()).any(confirmed)
    }

    fn holds(&self, document: &Configuration, order: usize) -> bool {
        let order = &self.orders[order];
        document.version == order.version
            && document
                .services
                .first()
                .is_some_and(|s| s.value.name == order.name)
    }

    fn handed_on(&self, ledger: &ReplicatedState) -> ReplicatedState {
        let mut snapshot = ledger.snapshot();
        if self.planted == Planted::ForgottenCalls {
            snapshot
                .applied_requests
                .iter_mut()
                .for_each(|call| call.digest = Default::default());
        }
        ReplicatedState::from_snapshot(&snapshot).unwrap_or_default()
    }

    fn plan(&self, ledger: &ReplicatedState, order: usize) -> Plan {
        let version = self.orders[order].version;
        let known = || ledger.configuration.version == version;
        match (self.planted, ledger.plan(&self.command(order))) {
            (Planted::KnownByVersion, _) if known() => Plan::Answer(ResultCode::Ok, vec![]),
            (Planted::EarlyRefusal, Plan::Answer(ResultCode::BaseNotInForce, told)) => {
                Plan::Answer(ResultCode::OtherBase, told)
            }
            (_, plan) => plan,
        }
    }

    fn take(&self, state: &mut State, order: usize) {
        let newest = state
            .pending
            .last()
            .map(|p| &p.ledger)
            .filter(|_| self.planted != Planted::PlansOnSafe);
        match self.plan(newest.unwrap_or(&state.safe), order) {
            Plan::Change(_, next) => {
                let early = self.planted == Planted::EarlyConfirmation;
                state
                    .answers
                    .extend(early.then_some((order, ResultCode::Ok)));
                state.pending.push(Pending {
                    ledger: *next,
                    answers: vec![(order, ResultCode::Ok)],
                });
            }
            Plan::Answer(code, _) => match state.pending.last_mut() {
                Some(last) if self.planted != Planted::EarlyAnswer => {
                    last.answers.push((order, code));
                }
                _ => state.answers.push((order, code)),
            },
        }
    }

    /// Whether an order is, or was, in the safe ledger.
    fn took_effect(&self, state: &State, order: usize) -> bool {
        state.fates[order].confirmed || self.holds(&state.safe.configuration, order)
    }

    fn answered(&self, state: &mut State, order: usize, code: ResultCode) -> Result<(), Breach> {
        let name = self.orders[order].name;
        let fate = &mut state.fates[order];
        if code == ResultCode::Ok {
            fate.confirmed = true;
            let base = self.orders[order].base;
            let rival = (0..self.orders.len())
                .find(|o| *o != order && self.orders[*o].base == base && state.fates[*o].confirmed);
            return match rival {
                Some(rival) => {
                    let detail =
                        format!("{name} and {} are both confirmed", self.orders[rival].name);
                    Err(Breach::new(ONE_ORDER, detail))
                }
                None => Ok(()),
            };
        }
        // No clear answer is no refusal.
        if code.status() >= 500 {
            return Ok(());
        }
        fate.refused = true;
        if self.took_effect(state, order) {
            Err(Breach::new(
                NEVER_REFUSED,
                format!("{name} was taken and gets {code:?}"),
            ))
        } else {
            Ok(())
        }
    }

    fn check(&self, state: &State) -> Result<(), Breach> {
        let safe = &state.safe.configuration;
        for (number, fate) in state.fates.iter().enumerate() {
            let name = self.orders[number].name;
            if fate.refused && self.holds(safe, number) {
                return Err(Breach::new(
                    NO_EFFECT,
                    format!("{name} was refused and is in force"),
                ));
            }
            let order = &self.orders[number];
            if fate.confirmed && safe.version <= order.version && !self.holds(safe, number) {
                return Err(Breach::new(
                    STAYS,
                    format!("{name} was confirmed, {} is in force", safe.version),
                ));
            }
        }
        let taken = &state.safe.applied_requests;
        let twice = taken
            .iter()
            .enumerate()
            .any(|(at, call)| taken.iter().skip(at + 1).any(|c| c == call));
        if twice {
            Err(Breach::new(ONCE, "a call is in the ledger twice"))
        } else {
            Ok(())
        }
    }
}

impl Model for Orders {
    type State = State;
    type Action = Action;

    fn start(&self) -> State {
        let fates = vec![Fate::default(); self.orders.len()];
        State {
            safe: ReplicatedState::default(),
            pending: vec![],
            fates,
            answers: vec![],
            takeovers: 0,
        }
    }

    fn choices(&self, state: &State) -> Vec<Choice<Action>> {
        let mut all = Vec::new();
        for (order, fate) in state.fates.iter().enumerate() {
            let may = fate.sent < self.sends && (self.guesses || self.base_is_known(state, order));
            all.extend(may.then_some(Action::Send(order)));
            all.extend((fate.on_way > 0).then_some(Action::Take(order)));
            all.extend((fate.on_way > 0).then_some(Action::Lose(order)));
        }
        all.extend((!state.pending.is_empty()).then_some(Action::Safe));
        all.extend(
            (0..state.answers.len()).flat_map(|at| [Action::Answer(at), Action::LoseAnswer(at)]),
        );
        if state.takeovers < self.takeovers {
            all.extend((0..=state.pending.len()).map(Action::Takeover));
        }
        all.into_iter()
            .map(|action| Choice { action, cost: 0 })
            .collect()
    }

    fn apply(&self, state: &State, action: &Action) -> Result<State, Breach> {
        let mut next = state.clone();
        match *action {
            Action::Send(order) => {
                next.fates[order].sent += 1;
                next.fates[order].on_way += 1;
            }
            Action::Take(order) => {
                next.fates[order].on_way -= 1;
                self.take(&mut next, order);
            }
            Action::Lose(order) => next.fates[order].on_way -= 1,
            Action::Safe => {
                let oldest = next.pending.remove(0);
                next.safe = oldest.ledger;
                next.answers.extend(oldest.answers);
            }
            Action::Answer(at) => {
                let (order, code) = next.answers.remove(at);
                self.answered(&mut next, order, code)?;
            }
            Action::LoseAnswer(at) => drop(next.answers.remove(at)),
            Action::Takeover(kept) => {
                next.takeovers += 1;
                let newest = kept
                    .checked_sub(1)
                    .map(|at| next.pending[at].ledger.clone());
                next.safe = self.handed_on(&newest.unwrap_or_else(|| next.safe.clone()));
                // Answers that waited are never given: their primary is gone.
                next.pending.clear();
            }
        }
        self.check(&next)?;
        Ok(next)
    }

    fn fingerprint(&self, state: &State) -> u64 {
        let mut hasher = DefaultHasher::new();
        let ledger = |l: &ReplicatedState, hasher: &mut DefaultHasher| {
            (
                l.index,
                l.configuration.to_json(),
                format!("{:?}", l.applied_requests),
            )
                .hash(hasher);
        };
        ledger(&state.safe, &mut hasher);
        for pending in &state.pending {
            ledger(&pending.ledger, &mut hasher);
            pending.answers.hash(&mut hasher);
        }
        (
            state.pending.len(),
            &state.fates,
            &state.answers,
            state.takeovers,
        )
            .hash(&mut hasher);
        hasher.finish()
    }

    fn left(&self, _state: &State) -> u64 {
        u64::MAX
    }
}
