//! Commands of hosts and the operator, taken by any member and run by the primary.

use super::transfer::{command_bytes, extra_time};
use super::{Member, Output, Role};
use configuration::ResultCode;
use protocol::{Command, MemberInfo, Message};
use std::time::Duration;

/// A command that the primary has not answered is asked again after this, and the time that a long one may be on
/// its way; asking twice does no harm.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// A member that has known no primary for so many leases is cut off, or more than a takeover is under way: its
/// callers are better served elsewhere.
const CUT_OFF_AFTER_LEASES: u32 = 2;
/// The longest that a command waits for its answer at a member that is cut off.
const CUT_OFF_PATIENCE: Duration = Duration::from_millis(250);

/// A command of a caller of this member.
#[derive(Clone, Debug)]
pub(super) struct LocalCommand {
    command: Command,
    since: Duration,
    /// The primary that was asked last, and when.
    pub(super) asked: Option<(u64, Duration)>,
    /// Whether a primary may have it.
    sent: bool,
    /// A primary that has not answered is asked again after this.
    ask_again: Duration,
}

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Source {
    /// A caller of this member.
    LocalCommand(u64),
    /// Another member, with its number.
    Remote(u64, u64),
}

impl Member {
    pub(super) fn on_command(&mut self, ticket: u64, command: Command) {
        let ask_again = ASK_AGAIN + extra_time(command_bytes(&command));
        let local = LocalCommand {
            command,
            since: self.now,
            asked: None,
            sent: false,
            ask_again,
        };
        self.local.insert(ticket, local);
    }

    pub(super) fn on_ask(&mut self, from: MemberInfo, id: u64, command: Command) {
        if let Role::Primary(state) = &mut self.role {
            let source = Source::Remote(from.id, id);
            if !state.inbox.iter().any(|i| i.0 == source) && !state.early.contains(source) {
                state.inbox.push_back((source, command));
            }
        }
    }

    pub(super) fn on_answer(&mut self, id: u64, code: u16, text: Vec<u8>, out: &mut Vec<Output>) {
        let code = ResultCode::of(code).unwrap_or(ResultCode::Unclear);
        // A number that this life didn't give belongs to a call of an earlier one.
        let ticket = id.wrapping_sub(self.forward_base);
        self.answer(Source::LocalCommand(ticket), code, text, out);
    }

    pub(super) fn answer(
        &mut self,
        to: Source,
        code: ResultCode,
        body: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        match to {
            Source::LocalCommand(ticket) if self.local.remove(&ticket).is_some() => {
                out.push(Output::Answer { ticket, code, body });
            }
            Source::LocalCommand(_) => {}
            Source::Remote(member, id) => {
                self.send(
                    member,
                    Message::CommandResult {
                        request_id: id,
                        code: code.number(),
                        body,
                    },
                    out,
                );
            }
        }
    }

    /// Hands what waits to whoever acts, and ends what has waited too long.
    pub(super) fn run_commands(&mut self, out: &mut Vec<Output>) {
        let (now, me) = (self.now, self.me());
        self.note_primary();
        let patience = self.patience();
        let forward_base = self.forward_base;
        let over: Vec<u64> = self
            .local
            .iter()
            .filter(|l| now >= l.1.since + patience)
            .map(|l| *l.0)
            .collect();
        for ticket in over {
            let code = if self.local[&ticket].sent {
                ResultCode::Unclear
            } else {
                ResultCode::NoPrimary
            };
            self.answer(Source::LocalCommand(ticket), code, Vec::new(), out);
        }
        if let Some(primary) = self.primary().filter(|_| !self.local.is_empty()) {
            let due = |l: &LocalCommand| {
                l.asked.is_none_or(|(to, at)| {
                    to != primary.id || (to != me && now >= at + l.ask_again)
                })
            };
            for (id, local) in self.local.iter_mut().filter(|l| due(l.1)) {
                local.asked = Some((primary.id, now));
                local.sent = true;
                let command = local.command.clone();
                match &mut self.role {
                    Role::Primary(state) => {
                        state.inbox.push_back((Source::LocalCommand(*id), command));
                    }
                    _ => out.push(Output::Send {
                        to: primary.clone(),
                        message: Message::ForwardCommand {
                            request_id: forward_base.wrapping_add(*id),
                            command,
                        },
                    }),
                }
            }
        }
        self.serve_inbox(out);
        self.end_early(out);
    }

    /// Notes since when no primary is known.
    fn note_primary(&mut self) {
        self.without_primary = match self.primary() {
            Some(_) => None,
            None => self.without_primary.or(Some(self.now)),
        };
    }

    /// When this member counts as cut off, where it knows no primary.
    fn cut_off_at(&self) -> Option<Duration> {
        self.without_primary
            .map(|since| since + CUT_OFF_AFTER_LEASES * self.config.lease_duration)
    }

    /// How long a command may wait here now.
    fn patience(&self) -> Duration {
        match self.cut_off_at() {
            Some(at) if self.now >= at => CUT_OFF_PATIENCE.min(self.config.request_timeout),
            _ => self.config.request_timeout,
        }
    }

    pub(super) fn commands_wake(&self) -> Option<Duration> {
        let patience = self.patience();
        let ends = self.local.values().map(|l| l.since + patience).min();
        let cut_off = self
            .cut_off_at()
            .filter(|at| *at > self.now && !self.local.is_empty());
        let ends = ends.into_iter().chain(cut_off).min();
        let asked = self
            .local
            .values()
            .filter_map(|l| Some((l.asked?, l.ask_again)));
        let asks = asked
            .filter(|((to, _), _)| *to != self.me())
            .map(|((_, at), again)| at + again);
        ends.into_iter().chain(asks).min()
    }
}
