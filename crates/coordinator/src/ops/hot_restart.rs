//! One process of a coordinator takes over from another: the message between them and the link that stays
//! while both run. `docs/design/operations.md` says why it is done this way.

use super::list_overlay::{AttachedProcess, Order, Request};
use super::manual_ejection::ManualEjections;
use bytes::{Buf, BytesMut};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};

/// The form of the messages; another one is left aside.
const VERSION: u32 = 1;
/// Longest message: a list of some thousand lines.
const MOST: usize = 4 * 1024 * 1024;
/// The old process must have told all within this, or the new one starts as from nothing.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Bytes of a message's length.
const HEAD: usize = 4;

/// How this process stands to another of the same coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartRole {
    /// There is no other.
    Alone,
    /// Both run and accept connections.
    Both,
    /// The other one has taken over.
    Replaced,
}

impl RestartRole {
    /// What of a budget this process has.
    pub fn share(self, of: usize) -> usize {
        if self == Self::Alone {
            of
        } else {
            of / 2
        }
    }
}

/// How a process stands that has no other beside it and never will.
pub fn never() -> watch::Receiver<RestartRole> {
    watch::channel(RestartRole::Alone).1
}

/// Why nothing was taken over.
#[derive(Debug, thiserror::Error)]
pub enum HotRestartError {
    /// The socket failed, or nobody is there.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It took too long.
    #[error("no whole message in time")]
    Slow,
    /// A message can't be used.
    #[error("{0}")]
    Message(String),
}

/// What the old process tells.
#[derive(Serialize, Deserialize)]
struct Hello {
    version: u32,
    name: String,
    listen: String,
    bans: ManualEjections,
}

/// What either tells while both run.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Word {
    /// The new one serves.
    Ready,
    /// A host is to be out, or back.
    Order {
        number: u64,
        host: String,
        offline: bool,
    },
    /// The order of this number is in force.
    Done { number: u64 },
}

/// Where processes of a coordinator of this name meet; `None` without a `$TMPDIR`.
pub fn meeting_place(name: &str) -> Option<PathBuf> {
    let plain: String = name
        .chars()
        .map(|c| if c.is_ascii_alphanumeric() { c } else { '_' })
        .collect();
    std::env::var_os("TMPDIR").map(|dir| Path::new(&dir).join(format!("fennelpin-{plain}.sock")))
}

/// What a new process has taken over.
pub struct TakenOverState {
    /// The clients' listening socket.
    pub listener: TcpListener,
    /// The list and what is out by hand.
    pub bans: ManualEjections,
    /// The link to the old process.
    pub link: UnixStream,
}

/// Takes over from the process that answers at `path`, if it is one of this coordinator.
///
/// # Errors
/// If nobody answers, or what is told can't be used: then the start goes on as from nothing.
pub async fn take_over(
    path: &Path,
    name: &str,
    listen: &str,
) -> Result<TakenOverState, HotRestartError> {
    let told = async {
        let mut link = UnixStream::connect(path).await?;
        let (listener, body) = receive(&mut link).await?;
        let hello: Hello =
            serde_json::from_slice(&body).map_err(|e| HotRestartError::Message(e.to_string()))?;
        let Hello {
            version,
            name: of,
            listen: at,
            bans,
        } = hello;
        if (version, of.as_str(), at.as_str()) != (VERSION, name, listen) {
            return Err(HotRestartError::Message(format!(
                "version {version} of '{of}' at {at}"
            )));
        }
        let listener =
            listener.ok_or_else(|| HotRestartError::Message("no listening socket".into()))?;
        let listener = TcpListener::from(listener);
        // Whatever came along must be the socket that it is said to be.
        if listener.local_addr()?.to_string() != listen && !listen.ends_with(":0") {
            return Err(HotRestartError::Message(
                "the listening socket of another address".into(),
            ));
        }
        listener.set_nonblocking(true)?;
        Ok(TakenOverState {
            listener,
            bans,
            link,
        })
    };
    tokio::time::timeout(PATIENCE, told)
        .await
        .unwrap_or(Err(HotRestartError::Slow))
}

/// Reads one message and the descriptor that comes with its first byte.
async fn receive(link: &mut UnixStream) -> Result<(Option<OwnedFd>, Vec<u8>), HotRestartError> {
    let (mut head, mut got, mut passed) = ([0; HEAD], 0, None);
    while got < HEAD {
        link.readable().await?;
        let step = link.try_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut into = [IoSliceMut::new(&mut head[got..])];
            let n = recvmsg(&*link, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes;
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(fds) = message {
                    passed = fds.into_iter().next().or(passed.take());
                }
            }
            Ok(n)
        });
        match step {
            Ok(0) => {
                return Err(HotRestartError::Message(
                    "it ended before it told anything".into(),
                ))
            }
            Ok(n) => got += n,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e.into()),
        }
    }
    let length = u32::from_be_bytes(head) as usize;
    if length > MOST {
        return Err(HotRestartError::Message(format!(
            "a message of {length} bytes"
        )));
    }
    let mut body = vec![0; length];
    link.read_exact(&mut body).await?;
    Ok((passed, body))
}

/// Sends one message with a descriptor.
async fn send(link: &mut UnixStream, listener: &TcpListener, body: &[u8]) -> std::io::Result<()> {
    let length = u32::try_from(body.len())
        .map_err(std::io::Error::other)?
        .to_be_bytes();
    let sent = loop {
        link.writable().await?;
        let step = link.try_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let fds = [listener.as_fd()];
            control.push(SendAncillaryMessage::ScmRights(&fds));
            Ok(sendmsg(
                &*link,
                &[IoSlice::new(&length)],
                &mut control,
                SendFlags::NOSIGNAL,
            )?)
        });
        match step {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            done => break done?,
        }
    };
    link.write_all(&length[sent..]).await?;
    link.write_all(body).await
}

/// This process as others of its coordinator meet it.
pub struct HotRestart {
    /// Where the next one comes to.
    pub path: PathBuf,
    /// The coordinator's name.
    pub name: String,
    /// The clients' address, as configured.
    pub listen: String,
    /// The clients' listening socket.
    pub listener: TcpListener,
    /// The actor of the list.
    pub members: mpsc::Sender<Request>,
    /// How this process stands.
    pub beside: watch::Sender<RestartRole>,
}

impl HotRestart {
    /// Stays beside the process that this one has taken over from, and then waits for the next one.
    pub async fn run(self, before: Option<UnixStream>) {
        let waiting = match self.bind() {
            Ok(listener) => Some(listener),
            Err(e) => {
                log::warn!(path:% = self.path.display(), error:% = e; "no hand-over from this process");
                None
            }
        };
        if let Some(mut link) = before {
            let (forward, orders) = mpsc::unbounded_channel();
            let attached = AttachedProcess {
                forward,
                state: oneshot::channel().0,
            };
            let _ = self.members.send(Request::Attach(attached)).await;
            let why = match tell(&mut link, &Word::Ready).await {
                Ok(()) => self.stay(link, orders).await,
                Err(e) => e,
            };
            log::info!(detail:% = why; "turnover: the old process has ended");
            self.beside.send_replace(RestartRole::Alone);
        }
        let Some(mut waiting) = waiting else { return };
        loop {
            let mut link = match waiting.accept().await {
                Ok((link, _)) => link,
                Err(e) => {
                    log::warn!(error:% = e; "turnover");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            log::info!("turnover: a new process has come");
            let why = match tokio::time::timeout(PATIENCE, self.hello(&mut link)).await {
                Ok(Ok(orders)) => self.stay(link, orders).await,
                Ok(Err(e)) => e,
                Err(_) => HotRestartError::Slow,
            };
            log::warn!(detail:% = why; "turnover: the new process has gone, this one serves on");
            self.beside.send_replace(RestartRole::Alone);
            // The new one may have put its own socket in the place of this one.
            match self.bind() {
                Ok(listener) => waiting = listener,
                Err(e) => log::warn!(path:% = self.path.display(), error:% = e; "turnover"),
            }
        }
    }

    /// Listens beside the meeting place and moves there, so that it is never without a listener.
    fn bind(&self) -> std::io::Result<UnixListener> {
        let beside = self.path.with_extension(format!("{}", std::process::id()));
        let _ = std::fs::remove_file(&beside);
        let listener = UnixListener::bind(&beside)?;
        std::fs::rename(&beside, &self.path)?;
        Ok(listener)
    }

    async fn hello(
        &self,
        link: &mut UnixStream,
    ) -> Result<mpsc::UnboundedReceiver<Order>, HotRestartError> {
        self.beside.send_replace(RestartRole::Both);
        let (forward, orders) = mpsc::unbounded_channel();
        let (state, told) = oneshot::channel();
        let gone = || HotRestartError::Message("the list's actor has ended".into());
        let attach = Request::Attach(AttachedProcess { forward, state });
        self.members.send(attach).await.map_err(|_| gone())?;
        let bans = told.await.map_err(|_| gone())?;
        let (name, listen) = (self.name.clone(), self.listen.clone());
        let hello = Hello {
            version: VERSION,
            name,
            listen,
            bans,
        };
        let body =
            serde_json::to_vec(&hello).map_err(|e| HotRestartError::Message(e.to_string()))?;
        send(link, &self.listener, &body).await?;
        Ok(orders)
    }

    /// Passes orders on both ways until the link ends.
    async fn stay(
        &self,
        link: UnixStream,
        mut orders: mpsc::UnboundedReceiver<Order>,
    ) -> HotRestartError {
        let (mut from, mut to) = link.into_split();
        let (mut buffer, mut next) = (BytesMut::new(), 0u64);
        let mut open = std::collections::BTreeMap::new();
        let (done, mut finished) = mpsc::unbounded_channel();
        loop {
            let word = tokio::select! {
                got = from.read_buf(&mut buffer) => match got {
                    Ok(0) => return HotRestartError::Message("closed".into()),
                    Ok(_) => None,
                    Err(e) => return e.into(),
                },
                Some(order) = orders.recv() => {
                    next += 1;
                    let Order { host, offline, reply } = order;
                    open.insert(next, reply);
                    Some(Word::Order { number: next, host, offline })
                }
                Some(number) = finished.recv() => Some(Word::Done { number }),
            };
            if let Some(word) = word {
                if let Err(e) = to.write_all(&line(&word)).await {
                    return e.into();
                }
            }
            if buffer.len() > MOST {
                return HotRestartError::Message("a line without end".into());
            }
            while let Some(n) = buffer.iter().position(|b| *b == b'\n') {
                let word = serde_json::from_slice::<Word>(&buffer[..n]);
                buffer.advance(n + 1);
                match word {
                    Ok(Word::Ready) => {
                        log::info!("turnover: the new process serves");
                        self.beside.send_replace(RestartRole::Replaced);
                    }
                    Ok(Word::Done { number }) => {
                        let reply: Option<oneshot::Sender<_>> = open.remove(&number);
                        if let Some(reply) = reply {
                            let _ = reply.send(Ok(()));
                        }
                    }
                    Ok(Word::Order {
                        number,
                        host,
                        offline,
                    }) => {
                        let (reply, word) = oneshot::channel();
                        let request = Request::Passed(Order {
                            host,
                            offline,
                            reply,
                        });
                        if self.members.send(request).await.is_err() {
                            return HotRestartError::Message("the list's actor has ended".into());
                        }
                        let done = done.clone();
                        tokio::spawn(async move {
                            // A host that this process has not heard of yet is not sent to either.
                            let _ = word.await;
                            let _ = done.send(number);
                        });
                    }
                    Err(e) => return HotRestartError::Message(e.to_string()),
                }
            }
        }
    }
}

fn line(word: &Word) -> Vec<u8> {
    let mut line = serde_json::to_vec(word).unwrap_or_default();
    line.push(b'\n');
    line
}

async fn tell(link: &mut UnixStream, word: &Word) -> Result<(), HotRestartError> {
    Ok(link.write_all(&line(word)).await?)
}
