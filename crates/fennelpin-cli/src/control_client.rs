//! Client of the control API. Each call has a connection of its own, and goes to one member after the other until one
//! gives a conclusive answer.

use crate::error::{CliError, MalformedAnswerSnafu, MemberUnreachableSnafu};
use crate::http_response::HttpResponse;
use configuration::ResultCode;
use serde_json::Value;
use snafu::ResultExt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest and longest wait for the answer of one member.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(10);
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// First and longest pause between two rounds over all members. It doubles with each round.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The members to call, and for how long.
#[derive(Clone, Debug)]
pub struct ControlClient {
    /// Their `control` addresses.
    pub addresses: Vec<SocketAddr>,
    /// Time after which a call is given up.
    pub timeout: Duration,
}

/// A call of the control API.
#[derive(Clone, Debug, Default)]
pub struct ControlCall<'a> {
    /// The path after `/fennelpin/`.
    pub name: &'a str,
    /// `Fennelpin-Base-Version`, for calls that change something.
    pub base_version: Option<u64>,
    /// The body. A call with a body is a POST, one without a GET.
    pub body: Option<&'a [u8]>,
}

/// An answer of the control API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl ControlAnswer {
    /// The result code and its text with the detail. Without a result code in the body, the HTTP status stands for it.
    pub fn result(&self) -> (u16, String) {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let code = body["code"]
            .as_u64()
            .and_then(|code| u16::try_from(code).ok())
            .unwrap_or(self.status);
        let reason = body["reason"].as_str().unwrap_or("no reason given");
        match body["detail"].as_str() {
            Some(detail) => (code, format!("{reason} ({detail})")),
            None => (code, reason.to_owned()),
        }
    }

    /// Whether neither another try nor another member can tell more.
    fn is_conclusive(&self) -> bool {
        // Only the primary says that there is no configuration yet.
        !matches!(self.status, 408 | 429 | 500..)
            || self.result().0 == ResultCode::NoConfiguration.number()
    }

    /// Parses an answer; `None` where it is incomplete or no valid HTTP.
    ///
    /// ```
    /// use fennelpin_cli::control_client::ControlAnswer;
    /// let text = b"HTTP/1.1 412 Precondition Failed\r\nContent-Length: 38\r\n\r\n{\"code\":120,\"reason\":\"x\",\"detail\":\"y\"}";
    /// assert_eq!(ControlAnswer::read(text).unwrap().result(), (120, "x (y)".to_owned()));
    /// assert!(ControlAnswer::read(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}").is_none(), "cut off");
    /// ```
    pub fn read(text: &[u8]) -> Option<ControlAnswer> {
        let HttpResponse { status, body } = HttpResponse::parse(text)?;
        Some(ControlAnswer { status, body })
    }
}

/// Calls one member.
///
/// # Errors
/// Where the member can't be reached, or there is no complete answer within `timeout` (2 s at most).
pub fn call_member(
    control: SocketAddr,
    call: &ControlCall,
    timeout: Duration,
) -> io::Result<ControlAnswer> {
    let timeout = timeout.clamp(MIN_ANSWER_TIMEOUT, MAX_ANSWER_TIMEOUT);
    let mut stream = TcpStream::connect_timeout(&control, timeout.min(CONNECT_TIMEOUT))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&request_bytes(control, call))?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    ControlAnswer::read(&answer)
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no whole answer of a member"))
}

fn request_bytes(control: SocketAddr, call: &ControlCall) -> Vec<u8> {
    let method = if call.body.is_some() { "POST" } else { "GET" };
    let body = call.body.unwrap_or_default();
    let base_version = call.base_version.map_or_else(String::new, |base| {
        format!("Fennelpin-Base-Version: {base}\r\n")
    });
    let head = format!(
        "{method} /fennelpin/{} HTTP/1.1\r\nHost: {control}\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n{base_version}\r\n",
        call.name,
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// What came of a round of calls that brought no conclusive answer.
#[derive(Default)]
struct RoundResult {
    answer: Option<ControlAnswer>,
    error: Option<(SocketAddr, io::Error)>,
}

impl ControlClient {
    /// Calls one member after the other until one gives a conclusive answer. The call is the same each time.
    ///
    /// # Errors
    /// [`CliError::Inconclusive`] or [`CliError::MemberUnreachable`] where no member gives one in time.
    pub fn call(&self, call: &ControlCall) -> Result<ControlAnswer, CliError> {
        let deadline = Instant::now() + self.timeout;
        let mut backoff = MIN_BACKOFF;
        let mut last_answer: Option<ControlAnswer> = None;
        loop {
            let round = match self.call_round(call, deadline) {
                Ok(answer) => return Ok(answer),
                Err(round) => round,
            };
            last_answer = round.answer.or(last_answer);
            if Instant::now() + backoff >= deadline {
                return Err(give_up(last_answer, round.error));
            }
            std::thread::sleep(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Calls each member once, up to the first conclusive answer.
    fn call_round(
        &self,
        call: &ControlCall,
        deadline: Instant,
    ) -> Result<ControlAnswer, RoundResult> {
        let mut round = RoundResult::default();
        for control in &self.addresses {
            let timeout = deadline.saturating_duration_since(Instant::now());
            match call_member(*control, call, timeout) {
                Ok(answer) if answer.is_conclusive() => return Ok(answer),
                Ok(answer) => round.answer = Some(answer),
                Err(error) => round.error = Some((*control, error)),
            }
        }
        Err(round)
    }

    /// The status of each member that can be reached, by name: of those given, and those that they name. Each has its
    /// address added under `control`.
    ///
    /// # Errors
    /// [`CliError::MemberUnreachable`] where none can be reached, [`CliError::MalformedAnswer`] where one doesn't
    /// answer with JSON.
    pub fn member_statuses(&self) -> Result<Vec<Value>, CliError> {
        let mut to_ask = self.addresses.clone();
        let mut asked = Vec::new();
        let mut statuses = Vec::new();
        let mut last_error = None;
        while let Some(control) = to_ask.pop() {
            if asked.contains(&control) {
                continue;
            }
            asked.push(control);
            let call = ControlCall {
                name: "status",
                ..ControlCall::default()
            };
            let answer = match call_member(control, &call, self.timeout) {
                Ok(answer) => answer,
                Err(error) => {
                    last_error = Some((control, error));
                    continue;
                }
            };
            let mut status: Value =
                serde_json::from_slice(&answer.body).context(MalformedAnswerSnafu { control })?;
            to_ask.extend(named_members(&status));
            status["control"] = control.to_string().into();
            statuses.push(status);
        }
        if let (true, Some((control, error))) = (statuses.is_empty(), last_error) {
            return Err(error).context(MemberUnreachableSnafu { control });
        }
        statuses.sort_by(|a, b| a["node"].as_str().cmp(&b["node"].as_str()));
        Ok(statuses)
    }
}

fn give_up(last_answer: Option<ControlAnswer>, error: Option<(SocketAddr, io::Error)>) -> CliError {
    if let (None, Some((control, source))) = (&last_answer, error) {
        return CliError::MemberUnreachable { control, source };
    }
    let (code, reason) = last_answer.map_or((0, String::new()), |answer| answer.result());
    CliError::Inconclusive { code, reason }
}

/// Control addresses of the members that a member's status names.
fn named_members(status: &Value) -> impl Iterator<Item = SocketAddr> + '_ {
    ["/members", "/member/view/voters"]
        .into_iter()
        .filter_map(|path| status.pointer(path)?.as_array())
        .flatten()
        .filter_map(control_address)
}

/// The address under `control` of a member's entry or status.
pub(crate) fn control_address(member: &Value) -> Option<SocketAddr> {
    member["control"].as_str()?.parse().ok()
}
