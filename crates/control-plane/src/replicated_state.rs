//! The replicated state, a pure state machine: the configuration in force, the requests that led to it, the hosts that
//! drain, and the applications' locks, numbers and cells.

use crate::applied_requests::{request_fingerprint, AppliedRequests};
use configuration::{Configuration, InvalidConfiguration, ResultCode};
use coordination::CoordinationState;
use protocol::{Change, Command, CoordinationSnapshot, Snapshot};
use snafu::{OptionExt, ResultExt, Snafu};
use std::cmp::Ordering;
use std::collections::VecDeque;
use std::sync::Arc;

/// The largest configuration, in bytes of its items. It equals the largest body of a request, so a state always fits
/// into one frame and one record.
pub const MAX_CONFIGURATION_BYTES: usize = 4 << 20;

/// The state after the change with number `index`.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct ReplicatedState {
    /// Index of the last change.
    pub index: u64,
    /// Index of the last change of the configuration or the drains, which are what the fleet is informed of.
    pub fleet_index: u64,
    /// The configuration. Version 0 stands for none.
    pub configuration: Arc<Configuration>,
    /// The latest requests that were applied.
    pub applied_requests: AppliedRequests,
    /// Hosts that are draining or gone, oldest first.
    pub drains: Arc<VecDeque<String>>,
    /// Locks, numbers and cells of applications.
    pub coordination: CoordinationState,
}

/// The outcome of planning a command in a state.
#[derive(Debug)]
pub enum Plan {
    /// The command requires this change, which leads to the given state.
    Change(Change, Box<ReplicatedState>),
    /// The command changes nothing. Its result code and the body of its answer.
    Answer(ResultCode, Vec<u8>),
}

/// The reason why a change can't be applied.
#[derive(Debug, Snafu)]
pub enum ChangeError {
    /// The change builds on a configuration that isn't in force.
    #[snafu(display("the change builds on version {base}, but version {in_force} is in force"))]
    OtherBase {
        /// The version that it builds on.
        base: u64,
        /// The version in force.
        in_force: u64,
    },
    /// The change contradicts the locks, numbers and cells.
    #[snafu(display("{source}"))]
    Coordination {
        /// The cause.
        source: coordination::ApplyError,
    },
    /// The resulting configuration would be invalid.
    #[snafu(display("{detail}"))]
    Invalid {
        /// The result code that the client receives.
        code: ResultCode,
        /// What is wrong, and where.
        detail: String,
    },
}

impl ChangeError {
    /// The result code that the client receives.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::OtherBase { .. } => ResultCode::OtherBase,
            Self::Coordination { .. } => ResultCode::OutcomeUnknown,
            Self::Invalid { code, .. } => *code,
        }
    }
}

/// The reason why a snapshot can't be read.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// Its configuration is invalid.
    #[snafu(context(false), display("{source}"))]
    Configuration {
        /// The cause.
        source: InvalidConfiguration,
    },
    /// The revisions of a group of cells aren't consecutive.
    #[snafu(display("a group of cells lacks a revision"))]
    Cells,
}

impl From<InvalidConfiguration> for ChangeError {
    fn from(error: InvalidConfiguration) -> Self {
        Self::Invalid {
            code: error.code,
            detail: error.detail,
        }
    }
}

/// The relation of a configuration request's base version to the state.
enum BasePrecondition {
    /// The version is in force.
    Met,
    /// The version isn't in force yet. The request may be applied once it is.
    Ahead,
    /// This request was already applied.
    AlreadyApplied,
    /// Another request was applied to that version, or the version was never in force and never will be.
    Conflict,
    /// The version is older than all retained requests: the request may have been applied.
    Expired,
}

impl ReplicatedState {
    /// Plans a command: returns the change that it requires, or its answer.
    pub fn plan(&self, command: &Command) -> Plan {
        match command {
            Command::Read { .. } if self.configuration.version == 0 => {
                Plan::Answer(ResultCode::NoConfiguration, vec![])
            }
            Command::Read { .. } => {
                Plan::Answer(ResultCode::Ok, self.configuration.to_json().into_bytes())
            }
            Command::Drain { host } if self.drains.contains(host) => {
                Plan::Answer(ResultCode::Ok, vec![])
            }
            Command::Drain { host } => self.plan_change(Change::Drain { host: host.clone() }),
            Command::Configure { base, amend, body } => self.plan_request(*base, *amend, body),
            // The outcome also depends on the primary's clock, so `Member::run_coordination_request` decides.
            Command::Coordinate { .. } => Plan::Answer(ResultCode::OutcomeUnknown, vec![]),
        }
    }

    fn plan_request(&self, base: u64, amend: bool, body: &[u8]) -> Plan {
        let code = match self.base_precondition(base, amend, body) {
            BasePrecondition::Met => {
                return self.plan_change(Change::Configure {
                    base_version: base,
                    is_amendment: amend,
                    body: body.to_vec(),
                });
            }
            BasePrecondition::AlreadyApplied => return Plan::Answer(ResultCode::Ok, vec![]),
            // A copy of the request may arrive later and must be applied then, so a rejection would be false.
            BasePrecondition::Ahead => ResultCode::BaseNotInForce,
            BasePrecondition::Conflict => ResultCode::OtherBase,
            // A rejection might be false, and so might a confirmation.
            BasePrecondition::Expired => ResultCode::OrderForgotten,
        };
        Plan::Answer(code, self.other_base_text(base))
    }

    /// The body of the answer to a request that doesn't build on the version in force.
    pub(crate) fn other_base_text(&self, base: u64) -> Vec<u8> {
        format!(
            "version {} is in force, not {base}",
            self.configuration.version
        )
        .into_bytes()
    }

    fn base_precondition(&self, base: u64, amend: bool, body: &[u8]) -> BasePrecondition {
        match base.cmp(&self.configuration.version) {
            Ordering::Equal => return BasePrecondition::Met,
            Ordering::Greater => return BasePrecondition::Ahead,
            Ordering::Less => {}
        }
        if let Some(applied) = self.applied_requests.applied_to(base) {
            return if *applied == request_fingerprint(base, amend, body) {
                BasePrecondition::AlreadyApplied
            } else {
                BasePrecondition::Conflict
            };
        }
        let oldest_base = self.applied_requests.oldest_base();
        if oldest_base.is_none_or(|oldest| base < oldest) {
            BasePrecondition::Expired
        } else {
            BasePrecondition::Conflict
        }
    }

    fn plan_change(&self, change: Change) -> Plan {
        let next = match self.apply(&change) {
            Ok(next) => next,
            Err(error) => return Plan::Answer(error.code(), error.to_string().into_bytes()),
        };
        let bytes = next.configuration.unshared_bytes(&Configuration::default());
        if bytes > MAX_CONFIGURATION_BYTES {
            let text = format!("the whole would be longer than {MAX_CONFIGURATION_BYTES} bytes");
            return Plan::Answer(ResultCode::TooLarge, text.into_bytes());
        }
        Plan::Change(change, Box::new(next))
    }

    /// The state after a change.
    ///
    /// # Errors
    /// [`ChangeError`] if the change can't be applied to this state.
    pub fn apply(&self, change: &Change) -> Result<ReplicatedState, ChangeError> {
        let mut next = self.clone();
        next.index += 1;
        if !matches!(change, Change::Coordinate { .. }) {
            next.fleet_index = next.index;
        }
        match change {
            Change::Configure {
                base_version,
                is_amendment,
                body,
            } => {
                next.configuration =
                    Arc::new(self.configure(*base_version, *is_amendment, body)?);
                let request = request_fingerprint(*base_version, *is_amendment, body);
                next.applied_requests.push(request);
            }
            Change::Drain { host } => Arc::make_mut(&mut next.drains).push_back(host.clone()),
            Change::Forget { hosts } => {
                Arc::make_mut(&mut next.drains).retain(|d| !hosts.contains(d));
            }
            Change::Coordinate { change } => {
                next.coordination.apply(change).context(CoordinationSnafu)?;
            }
        }
        Ok(next)
    }

    fn configure(&self, base: u64, amend: bool, body: &[u8]) -> Result<Configuration, ChangeError> {
        let in_force = self.configuration.version;
        if base != in_force {
            return OtherBaseSnafu { base, in_force }.fail();
        }
        let configuration = if amend {
            self.configuration.amended(body)?
        } else {
            Configuration::read(body, in_force)?
        };
        // Most items stay the same. Sharing them keeps hundreds of changes in flight from taking much more memory than
        // one.
        Ok(configuration.sharing(&self.configuration))
    }

    /// The whole state in the form that is sent or written.
    pub fn snapshot(&self) -> Snapshot {
        let configuration = if self.configuration.version == 0 {
            String::new()
        } else {
            self.configuration.to_json()
        };
        Snapshot {
            index: self.index,
            configuration,
            applied_requests: self.applied_requests.iter().cloned().collect(),
            drains: self.drains.iter().cloned().collect(),
            coordination: self.coordination_snapshot(),
        }
    }

    /// `None` if there never was a lock, a number or a cell: the snapshot is then the same as in releases without
    /// them.
    fn coordination_snapshot(&self) -> Option<CoordinationSnapshot> {
        let is_used = !self.coordination.is_unused();
        is_used.then(|| self.coordination.snapshot(self.fleet_index))
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    /// [`SnapshotError`] if the snapshot's configuration is invalid, or the revisions of its cells aren't consecutive.
    pub fn from_snapshot(snapshot: &Snapshot) -> Result<ReplicatedState, SnapshotError> {
        let configuration = match snapshot.configuration.as_str() {
            "" => Configuration::default(),
            text => Configuration::read(text.as_bytes(), 0)?,
        };
        let coordination = match &snapshot.coordination {
            Some(coordination) => {
                CoordinationState::from_snapshot(coordination).context(CellsSnafu)?
            }
            None => CoordinationState::default(),
        };
        let stored = snapshot.coordination.as_ref();
        Ok(ReplicatedState {
            index: snapshot.index,
            fleet_index: stored.map_or(snapshot.index, |stored| stored.fleet_index),
            configuration: Arc::new(configuration),
            applied_requests: snapshot.applied_requests.iter().cloned().collect(),
            drains: Arc::new(snapshot.drains.iter().cloned().collect()),
            coordination,
        })
    }
}
