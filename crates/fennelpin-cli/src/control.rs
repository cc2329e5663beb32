//! Calls of the control API from the command line: one connection a call, one member after the other until one
//! gives a clear answer.

use crate::failure::{AskSnafu, Failure, StrangeSnafu};
use configuration::ResultCode;
use serde_json::Value;
use snafu::ResultExt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest wait for an answer of one member.
const ANSWER: Duration = Duration::from_secs(2);
/// Pauses between two rounds over all members, first and longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(500));

/// Whom to ask, and for how long.
#[derive(Clone, Debug)]
pub struct Members {
    /// `control` addresses.
    pub control: Vec<SocketAddr>,
    /// Until a call is given up.
    pub wait: Duration,
}

/// A call.
#[derive(Clone, Debug, Default)]
pub struct Call<'a> {
    /// What follows `/fennelpin/`.
    pub name: &'a str,
    /// `Fennelpin-Base-Version`, for calls that change something.
    pub base: Option<u64>,
    /// The body; calls with one are posted.
    pub body: Option<&'a [u8]>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The result code, or the status where the body names none, with the text that goes with it.
    pub fn result(&self) -> (u16, String) {
        let body: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let code = body["code"]
            .as_u64()
            .and_then(|c| u16::try_from(c).ok())
            .unwrap_or(self.status);
        let reason = body["reason"].as_str().unwrap_or("no reason given");
        match body["detail"].as_str() {
            Some(detail) => (code, format!("{reason} ({detail})")),
            None => (code, reason.to_owned()),
        }
    }

    /// Whether asking again, or another member, can't tell more.
    fn clear(&self) -> bool {
        // That there is no configuration yet is the primary's word.
        !matches!(self.status, 408 | 429 | 500..)
            || self.result().0 == ResultCode::NoConfiguration.number()
    }

    /// Reads the text of an answer.
    ///
    /// ```
    /// use fennelpin_cli::control::Answer;
    /// let text = b"HTTP/1.1 412 Precondition Failed\r\nContent-Length: 38\r\n\r\n{\"code\":120,\"reason\":\"x\",\"detail\":\"y\"}";
    /// assert_eq!(Answer::read(text).unwrap().result(), (120, "x (y)".to_owned()));
    /// assert!(Answer::read(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}").is_none(), "cut off");
    /// ```
    pub fn read(text: &[u8]) -> Option<Answer> {
        let end = text.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = std::str::from_utf8(&text[..end]).ok()?;
        let mut lines = head.split("\r\n");
        let status = lines
            .next()?
            .strip_prefix("HTTP/1.1 ")?
            .get(..3)?
            .parse()
            .ok()?;
        let length = lines.find_map(|l| {
            let (name, value) = l.split_once(':')?;
            name.eq_ignore_ascii_case("content-length")
                .then(|| value.trim().parse::<usize>().ok())?
        });
        let body = &text[end + 4..];
        (length.unwrap_or(body.len()) == body.len()).then(|| Answer {
            status,
            body: body.to_vec(),
        })
    }
}

/// Makes a call of one member.
///
/// # Errors
/// Where there is no whole answer in time.
pub fn ask(control: SocketAddr, call: &Call, wait: Duration) -> io::Result<Answer> {
    let wait = wait.clamp(Duration::from_millis(10), ANSWER);
    let mut stream = TcpStream::connect_timeout(&control, wait.min(CONNECT))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    let method = if call.body.is_some() { "POST" } else { "GET" };
    let body = call.body.unwrap_or_default();
    let base = call
        .base
        .map_or_else(String::new, |b| format!("Fennelpin-Base-Version: {b}\r\n"));
    let head = format!(
        "{method} /fennelpin/{} HTTP/1.1\r\nHost: {control}\r\nConnection: close\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n{base}\r\n",
        call.name,
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    Answer::read(&answer)
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "no whole answer of a member"))
}

impl Members {
    /// Makes a call of one member after the other until one gives a clear answer, unchanged each time.
    ///
    /// # Errors
    /// [`Failure::Unclear`] or [`Failure::Ask`] where none does in time.
    pub fn ask(&self, call: &Call) -> Result<Answer, Failure> {
        let until = Instant::now() + self.wait;
        let mut pause = PAUSE.0;
        let mut said: Option<Answer> = None;
        loop {
            let mut broken = None;
            for control in &self.control {
                match ask(
                    *control,
                    call,
                    until.saturating_duration_since(Instant::now()),
                ) {
                    Ok(answer) if answer.clear() => return Ok(answer),
                    Ok(answer) => said = Some(answer),
                    Err(e) => broken = Some((*control, e)),
                }
            }
            if Instant::now() + pause >= until {
                return match (said, broken) {
                    (None, Some((control, e))) => Err(e).context(AskSnafu { control }),
                    (said, _) => {
                        let (code, reason) = said.map_or((0, String::new()), |a| a.result());
                        Err(Failure::Unclear { code, reason })
                    }
                };
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(PAUSE.1);
        }
    }

    /// What each member that can be reached says of itself, by name: those given and those that they name.
    ///
    /// # Errors
    /// Where none can be reached.
    pub fn statuses(&self) -> Result<Vec<Value>, Failure> {
        let mut open = self.control.clone();
        let (mut told, mut asked, mut broken) = (Vec::new(), Vec::new(), None);
        while let Some(control) = open.pop() {
            if asked.contains(&control) {
                continue;
            }
            asked.push(control);
            let call = Call {
                name: "status",
                ..Call::default()
            };
            let answer = match ask(control, &call, self.wait) {
                Ok(answer) => answer,
                Err(e) => {
                    broken = Some((control, e));
                    continue;
                }
            };
            let mut status: Value =
                serde_json::from_slice(&answer.body).context(StrangeSnafu { control })?;
            let named = ["/members", "/member/view/voters"]
                .into_iter()
                .filter_map(|p| status.pointer(p)?.as_array());
            open.extend(
                named
                    .flatten()
                    .filter_map(|m| m["control"].as_str()?.parse::<SocketAddr>().ok()),
            );
            status["control"] = control.to_string().into();
            told.push(status);
        }
        if let (true, Some((control, e))) = (told.is_empty(), broken) {
            Err(e).context(AskSnafu { control })
        } else {
            told.sort_by(|a, b| a["node"].as_str().cmp(&b["node"].as_str()));
            Ok(told)
        }
    }
}
