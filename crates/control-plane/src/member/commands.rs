//! Commands of hosts and operators. Any member takes them; the primary runs them.

use super::transfer_time::{command_bytes, extra_flight_time};
use super::{Member, Output};
use configuration::ResultCode;
use protocol::{Command, CoordinationRequest, MemberInfo, Message};
use std::collections::BTreeMap;
use std::time::Duration;

/// A command that the primary hasn't answered is sent again after this time, plus the time that a large one may be in
/// flight. Running a command twice does no harm.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// A member that has known no primary for this many lease durations is partitioned off, or more than a takeover is going
/// on: its callers are better served by another member.
const PARTITIONED_AFTER_LEASES: u32 = 2;
/// The longest that a command waits for its answer at such a member.
const PARTITIONED_COMMAND_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest that a call for locks, numbers or cells waits for its answer: its caller turns to another member after a
/// second. It is also what a watch may take beyond the time that it waits.
const COORDINATION_TIMEOUT: Duration = Duration::from_millis(900);

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CommandSource {
    /// A caller of this member.
    Local { ticket: u64 },
    /// Another member.
    Remote { member: u64, request_id: u64 },
}

/// A command of a caller of this member.
#[derive(Clone, Debug)]
struct LocalCommand {
    command: Command,
    received_at: Duration,
    /// The latest primary that got the command; none if it has to be sent to the next one.
    last_sent: Option<SentCommand>,
    /// How many times a primary was sent it.
    times_sent: u32,
    /// A primary that hasn't answered gets the command again after this time.
    retry_interval: Duration,
}

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

    /// Whether it has to be sent to the primary now. The own state machine loses no command.
    fn is_due(&self, primary: u64, own_id: u64, now: Duration) -> bool {
        self.last_sent.is_none_or(|sent| {
            let has_no_answer = primary != own_id && now >= sent.at + self.retry_interval;
            sent.primary != primary || has_no_answer
        })
    }

    /// The result if no answer arrives in time.
    fn timeout_code(&self) -> ResultCode {
        if self.times_sent > 0 {
            ResultCode::Unclear
        } else {
            ResultCode::NoPrimary
        }
    }

    /// How long it may wait here, if commands may wait for `request_timeout`.
    fn timeout(&self, request_timeout: Duration) -> Duration {
        match &self.command {
            Command::Coordinate {
                request: CoordinationRequest::Watch { wait_ms, .. },
            } => Duration::from_millis(u64::from(*wait_ms)) + COORDINATION_TIMEOUT,
            Command::Coordinate { .. } => COORDINATION_TIMEOUT.min(request_timeout),
            _ => request_timeout,
        }
    }

    /// What the caller is told in place of a result. 429 and 503 promise to callers of locks, numbers and cells that the
    /// call never takes effect: one that was sent more than once may, whatever one copy was answered.
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

/// How long commands may wait for their answers.
#[derive(Clone, Copy, Debug)]
struct CommandTimeouts {
    request_timeout: Duration,
    /// Whether this member is partitioned off.
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

/// The commands that callers of this member wait for.
#[derive(Clone, Debug)]
pub(super) struct LocalCommands {
    by_ticket: BTreeMap<u64, LocalCommand>,
    /// Since when no primary is known; none while one is.
    without_primary_since: Option<Duration>,
    /// Added to a ticket, it is the request id for other members. It differs for each incarnation.
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

    /// The next primary gets all commands, whoever got them before.
    pub(super) fn mark_all_unsent(&mut self) {
        for command in self.by_ticket.values_mut() {
            command.last_sent = None;
        }
    }

    /// The ticket of a request id. An id that an earlier incarnation gave leads to a ticket that isn't there.
    fn ticket(&self, request_id: u64) -> u64 {
        request_id.wrapping_sub(self.request_id_base)
    }

    fn request_id(&self, ticket: u64) -> u64 {
        self.request_id_base.wrapping_add(ticket)
    }

    fn record_primary(&mut self, is_known: bool, now: Duration) {
        self.without_primary_since = if is_known {
            None
        } else {
            self.without_primary_since.or(Some(now))
        };
    }

    /// Takes the commands that have to be sent to the primary now.
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

    /// The commands that have waited too long, with the result that their callers get.
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

    /// Another member forwarded a command. Its retry is no second proposal.
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

    /// Ends the commands that have waited too long, sends the others to the primary, and runs them if that is this
    /// member.
    pub(super) fn run_commands(&mut self, out: &mut Vec<Output>) {
        let is_known = self.primary().is_some();
        self.commands.record_primary(is_known, self.now);
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

    /// When this member counts as partitioned off, if no primary becomes known.
    fn partitioned_at(&self) -> Option<Duration> {
        let since = self.commands.without_primary_since?;
        Some(since + PARTITIONED_AFTER_LEASES * self.config.lease_duration)
    }

    /// How long commands may wait here now.
    fn command_timeouts(&self) -> CommandTimeouts {
        let is_partitioned = self.partitioned_at().is_some_and(|at| self.now >= at);
        CommandTimeouts {
            request_timeout: self.config.request_timeout,
            is_partitioned,
        }
    }

    pub(super) fn commands_wake(&self) -> Option<Duration> {
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
