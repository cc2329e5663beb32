//! Commands of hosts and operators. Any member accepts them; the primary executes them.

use super::transfer_time::{command_bytes, extra_flight_time};
use super::{Member, Output};
use configuration::ResultCode;
use protocol::{Command, CoordinationRequest, MemberInfo, Message};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which an unanswered command is sent to the primary again. The extra flight time of a large command is
/// added. Commands are idempotent, so a repeated one does no harm.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Lease durations without a known primary after which a member counts as partitioned. A takeover takes less time, so
/// its callers are better served by another member.
const PARTITIONED_AFTER_LEASES: u32 = 2;
/// Time limit of a command at a partitioned member.
const PARTITIONED_COMMAND_TIMEOUT: Duration = Duration::from_millis(250);

/// Time limit of a request for locks, numbers or cells. It is less than the second after which the caller turns to
/// another member. It is also added to the time that a watch waits.
const COORDINATION_TIMEOUT: Duration = Duration::from_millis(900);

/// The origin of a command, which its answer goes back to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CommandSource {
    /// A client of this member.
    Local { ticket: u64 },
    /// Another member, which forwarded the command.
    Remote { member: u64, request_id: u64 },
}

/// A command from a client of this member.
#[derive(Clone, Debug)]
struct LocalCommand {
    command: Command,
    received_at: Duration,
    /// The primary that the command was last sent to; `None` if it must be sent to the next primary known.
    last_sent: Option<SentCommand>,
    /// How many times the command was sent to a primary.
    times_sent: u32,
    /// Time without an answer after which the command is sent to the same primary again.
    retry_interval: Duration,
}

/// The last time a command was sent, and the receiver's member id.
#[derive(Clone, Copy, Debug)]
struct SentCommand {
    primary: u64,
    at: Duration,
}

impl LocalCommand {
    fn new(command: Command, now: Duration) -> Self {
        Self {
            retry_interval: RETRY_INTERVAL + extra_flight_time(command_bytes(&command)),
            command,
            received_at: now,
            last_sent: None,
            times_sent: 0,
        }
    }

    /// Whether the command has to be sent to the primary now. A primary doesn't retry its own commands, because its
    /// state machine loses none.
    fn is_due(&self, primary: u64, own_id: u64, now: Duration) -> bool {
        self.last_sent.is_none_or(|sent| {
            let has_no_answer = primary != own_id && now >= sent.at + self.retry_interval;
            sent.primary != primary || has_no_answer
        })
    }

    /// The result code if no answer arrives in time.
    fn timeout_code(&self) -> ResultCode {
        if self.times_sent > 0 {
            ResultCode::Unclear
        } else {
            ResultCode::NoPrimary
        }
    }

    /// The time limit of this command, given that of ordinary commands.
    fn timeout(&self, request_timeout: Duration) -> Duration {
        match &self.command {
            Command::Coordinate {
                request: CoordinationRequest::Watch { wait_ms, .. },
            } => Duration::from_millis(u64::from(*wait_ms)) + COORDINATION_TIMEOUT,
            Command::Coordinate { .. } => COORDINATION_TIMEOUT.min(request_timeout),
            _ => request_timeout,
        }
    }

    /// The result code that the client receives in place of `code`. For requests for locks, numbers and cells, HTTP
    /// 429 and 503 guarantee that the request never takes effect. A request that was sent more than once may take
    /// effect whatever the answer to one of its copies says, so its outcome is reported as unknown.
    fn reported_code(&self, code: ResultCode) -> ResultCode {
        let is_promise = matches!(code.status(), 429 | 503);
        let may_take_effect = code == ResultCode::Unclear || self.times_sent > 1;
        match self.command {
            Command::Coordinate { .. } if is_promise && may_take_effect => {
                ResultCode::OutcomeUnknown
            }
            _ => code,
        }
    }

    fn next_retry_at(&self, own_id: u64) -> Option<Duration> {
        let sent = self.last_sent.filter(|r| r.primary != own_id)?;
        Some(sent.at + self.retry_interval)
    }
}

/// The time limits of commands.
#[derive(Clone, Copy, Debug)]
struct CommandTimeouts {
    request_timeout: Duration,
    /// Whether this member counts as partitioned.
    is_partitioned: bool,
}

impl CommandTimeouts {
    fn limit_for(self, command: &LocalCommand) -> Duration {
        let timeout = command.timeout(self.request_timeout);
        if self.is_partitioned {
            timeout.min(PARTITIONED_COMMAND_TIMEOUT)
        } else {
            timeout
        }
    }
}

/// The commands whose clients wait at this member.
#[derive(Clone, Debug)]
pub(super) struct LocalCommands {
    by_ticket: BTreeMap<u64, LocalCommand>,
    /// Since when no primary is known; `None` while one is.
    without_primary_since: Option<Duration>,
    /// Added to a ticket, this gives the request id that other members see. It differs between incarnations.
    request_id_base: u64,
}

impl LocalCommands {
    pub(super) fn new(request_id_base: u64, now: Duration) -> Self {
        Self {
            by_ticket: BTreeMap::new(),
            without_primary_since: Some(now),
            request_id_base,
        }
    }

    /// Marks all commands as not sent, so that the next primary receives them.
    pub(super) fn mark_all_unsent(&mut self) {
        for command in self.by_ticket.values_mut() {
            command.last_sent = None;
        }
    }

    /// The ticket that belongs to a request id. For an id of an earlier incarnation this is a ticket that doesn't
    /// exist.
    fn ticket(&self, request_id: u64) -> u64 {
        request_id.wrapping_sub(self.request_id_base)
    }

    fn request_id(&self, ticket: u64) -> u64 {
        self.request_id_base.wrapping_add(ticket)
    }

    fn record_primary_known(&mut self, is_known: bool, now: Duration) {
        self.without_primary_since = if is_known {
            None
        } else {
            self.without_primary_since.or(Some(now))
        };
    }

    /// Returns the commands that have to be sent to the primary now, and marks them as sent.
    fn take_due(&mut self, primary: u64, own_id: u64, now: Duration) -> Vec<(u64, Command)> {
        let mut due = Vec::new();
        for (ticket, command) in &mut self.by_ticket {
            if command.is_due(primary, own_id, now) {
                command.last_sent = Some(SentCommand { primary, at: now });
                command.times_sent += 1;
                due.push((*ticket, command.command.clone()));
            }
        }
        due
    }

    /// The commands past their time limit, with the result codes for their clients.
    fn timed_out(&self, now: Duration, timeouts: CommandTimeouts) -> Vec<(u64, ResultCode)> {
        let commands = self.by_ticket.iter();
        commands
            .filter(|(_, command)| now >= command.received_at + timeouts.limit_for(command))
            .map(|(ticket, command)| (*ticket, command.timeout_code()))
            .collect()
    }
}

impl Member {
    pub(super) fn on_command(&mut self, ticket: u64, command: Command) {
        let command = LocalCommand::new(command, self.now);
        self.commands.by_ticket.insert(ticket, command);
    }

    /// Queues a command that another member forwarded. A retry of a command that is still queued is ignored.
    pub(super) fn on_forwarded_command(
        &mut self,
        from: &MemberInfo,
        request_id: u64,
        command: Command,
    ) {
        let source = CommandSource::Remote {
            member: from.id,
            request_id,
        };
        if let Some(primary) = self.role.primary_mut() {
            if !primary.has_proposal(source) {
                primary.propose(source, command);
            }
        }
    }

    pub(super) fn on_command_result(
        &mut self,
        request_id: u64,
        code: u16,
        body: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        let code = ResultCode::from_number(code).unwrap_or(ResultCode::Unclear);
        let ticket = self.commands.ticket(request_id);
        self.answer(CommandSource::Local { ticket }, code, body, out);
    }

    /// Answers a command: a local client directly, another member with a message.
    pub(super) fn answer(
        &mut self,
        source: CommandSource,
        code: ResultCode,
        body: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        match source {
            CommandSource::Local { ticket } => {
                if let Some(command) = self.commands.by_ticket.remove(&ticket) {
                    let code = command.reported_code(code);
                    out.push(Output::Answer { ticket, code, body });
                }
            }
            CommandSource::Remote { member, request_id } => {
                let message = Message::CommandResult {
                    request_id,
                    code: code.number(),
                    body,
                };
                self.send(member, message, out);
            }
        }
    }

    /// Ends the commands past their time limit and sends the others to the primary. If this member is the primary, it
    /// runs them.
    pub(super) fn run_commands(&mut self, out: &mut Vec<Output>) {
        let is_known = self.primary().is_some();
        self.commands.record_primary_known(is_known, self.now);
        let timeouts = self.command_timeouts();
        for (ticket, code) in self.commands.timed_out(self.now, timeouts) {
            self.answer(CommandSource::Local { ticket }, code, Vec::new(), out);
        }
        if let Some(primary) = self.primary() {
            self.send_to_primary(&primary, out);
        }
        self.run_proposals(out);
        self.expire_early_proposals(out);
    }

    fn send_to_primary(&mut self, primary: &MemberInfo, out: &mut Vec<Output>) {
        let due = self.commands.take_due(primary.id, self.own_id(), self.now);
        for (ticket, command) in due {
            if let Some(own) = self.role.primary_mut() {
                own.propose(CommandSource::Local { ticket }, command);
                continue;
            }
            let message = Message::ForwardCommand {
                request_id: self.commands.request_id(ticket),
                command,
            };
            out.push(Output::Send {
                to: primary.clone(),
                message,
            });
        }
    }

    /// When this member counts as partitioned, if no primary becomes known until then.
    fn partitioned_at(&self) -> Option<Duration> {
        let since = self.commands.without_primary_since?;
        Some(since + PARTITIONED_AFTER_LEASES * self.config.lease_duration)
    }

    /// The time limits that apply now.
    fn command_timeouts(&self) -> CommandTimeouts {
        let is_partitioned = self.partitioned_at().is_some_and(|at| self.now >= at);
        CommandTimeouts {
            request_timeout: self.config.request_timeout,
            is_partitioned,
        }
    }

    pub(super) fn commands_wake_at(&self) -> Option<Duration> {
        let timeouts = self.command_timeouts();
        let commands = &self.commands.by_ticket;
        let ends = commands
            .values()
            .map(|c| c.received_at + timeouts.limit_for(c));
        let retries = commands
            .values()
            .filter_map(|c| c.next_retry_at(self.own_id()));
        let partitioned = self
            .partitioned_at()
            .filter(|at| *at > self.now && !commands.is_empty());
        ends.chain(retries).chain(partitioned).min()
    }
}
