//! The side that pulls: runs a [`Puller`] over TCP and feeds a [`SharedMirror`].

use crate::frames::{FrameReader, Step};
use crate::news::{Pull, Update, AGE_UNKNOWN};
use crate::puller::{Action, Puller};
use crate::shared::SharedMirror;
use crate::transitions::{self, PullRecorder};
use protocol::{encode, Addr, MemberInfo, Message, Subscriber};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep_until;

/// What the rest of the process tells the client.
#[derive(Clone, Debug, PartialEq)]
pub enum Control {
    /// The seeds' addresses, as the settings have them now.
    Seeds(Vec<Addr>),
    /// The version of the configuration in force that is reported upward.
    Version(u64),
}

enum Event {
    Connected,
    /// Some bytes of an answer came.
    Part,
    Update(Box<Update>),
    Failed(io::Error),
}

struct Connection {
    task: AbortHandle,
    pulls: mpsc::UnboundedSender<Pull>,
}

/// A puller with its connections.
struct Client {
    hello: MemberInfo,
    shared: Arc<SharedMirror>,
    connections: HashMap<u64, Connection>,
    tasks: JoinSet<()>,
    events: mpsc::UnboundedSender<(u64, Event)>,
    caller: Subscriber,
}

/// Pulls until it is dropped, or until `control` is closed. `hello` is the first frame on each connection.
pub async fn run(
    mut puller: Puller,
    hello: MemberInfo,
    caller: Subscriber,
    shared: Arc<SharedMirror>,
    mut control: mpsc::UnboundedReceiver<Control>,
) {
    let (events, mut incoming) = mpsc::unbounded_channel();
    let tasks = JoinSet::new();
    let mut client = Client {
        hello,
        shared: shared.clone(),
        connections: HashMap::new(),
        tasks,
        events,
        caller,
    };
    let mut fleet = 0;
    let mut recorder = PullRecorder::default();
    loop {
        // What has come counts before what hasn't come in time.
        while let Ok((link, event)) = incoming.try_recv() {
            let actions = client.take(&mut puller, link, event);
            client.act(actions);
        }
        let (mirror_next, learnt, coordinators, taken) = shared.update(|mirror, _| {
            let learnt =
                (mirror.control_plane().version != fleet).then(|| mirror.control_plane().clone());
            (
                mirror.next_tick(),
                learnt,
                mirror.coordinator_estimate(),
                mirror.visible_version(),
            )
        });
        puller.set_coordinators(coordinators);
        if let Some(learnt) = learnt {
            fleet = learnt.version;
            puller.set_members(learnt.members.iter().map(|s| s.addr));
        }
        client.act(puller.tick(shared.now()));
        // Members tell the same of themselves by their views, proxies by what is in force.
        if puller.prefers_one_member() {
            recorder.pulls(&puller).iter().for_each(transitions::log);
            recorder
                .configuration(taken.0, taken.1)
                .iter()
                .for_each(transitions::log);
        }
        let next = mirror_next.into_iter().chain(puller.next_tick()).min();
        let at = next.unwrap_or_else(|| shared.now() + Duration::from_secs(60));
        tokio::select! {
            Some((link, event)) = incoming.recv() => {
                let actions = client.take(&mut puller, link, event);
                client.act(actions);
            }
            told = control.recv() => match told {
                Some(Control::Seeds(seeds)) => puller.set_seeds(&seeds),
                Some(Control::Version(version)) => client.caller.configuration_version = version,
                None => return,
            },
            Some(_) = client.tasks.join_next() => {}
            () = sleep_until(shared.at(at)) => {
                shared.update(super::mirror::Mirror::tick);
            }
        }
    }
}

impl Client {
    fn take(&mut self, puller: &mut Puller, link: u64, event: Event) -> Vec<Action> {
        let now = self.shared.now();
        match event {
            Event::Connected => puller.connected(now, link),
            Event::Part => {
                puller.partial_answer(now, link);
                Vec::new()
            }
            Event::Failed(error) => {
                log::debug!("link {link}: {error}");
                self.connections.remove(&link);
                puller.failed(now, link)
            }
            Event::Update(news) => {
                // Of a link that was given up nobody knows when it was asked.
                let news = match puller.pull_sent_at(link) {
                    Some(asked) => news.aged(asked, now),
                    None => Update {
                        age_ms: AGE_UNKNOWN,
                        ..*news
                    },
                };
                let taken = self.shared.update(|mirror, now| mirror.apply(now, &news));
                let actions = puller.answered(now, link, news.member, news.age_ms, taken);
                if puller.all_members_stale() {
                    self.shared.update(|mirror, _| mirror.show_unconfirmed());
                }
                actions
            }
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Connect { link, addr } => {
                    let (pulls, queue) = mpsc::unbounded_channel();
                    let hello = encode(&Message::Hello {
                        sender: self.hello.clone(),
                    });
                    let (events, shared) = (self.events.clone(), self.shared.clone());
                    let task = self.tasks.spawn(async move {
                        let Err(error) =
                            connection(link, addr, hello, queue, &events, &shared).await;
                        let _ = events.send((link, Event::Failed(error)));
                    });
                    self.connections.insert(link, Connection { task, pulls });
                }
                Action::Pull { link, wait_ms } => {
                    let pull = self
                        .shared
                        .update(|mirror, _| mirror.pull(&self.caller, wait_ms));
                    if let Some(connection) = self.connections.get(&link) {
                        let _ = connection.pulls.send(pull);
                    }
                }
                Action::Close { link } => {
                    if let Some(connection) = self.connections.remove(&link) {
                        connection.task.abort();
                    }
                }
            }
        }
    }
}

/// One connection: its timeouts are the puller's, which ends this task.
async fn connection(
    link: u64,
    addr: Addr,
    hello: Vec<u8>,
    mut pulls: mpsc::UnboundedReceiver<Pull>,
    events: &mpsc::UnboundedSender<(u64, Event)>,
    shared: &SharedMirror,
) -> io::Result<std::convert::Infallible> {
    let over = || io::Error::from(io::ErrorKind::BrokenPipe);
    let stream = TcpStream::connect(SocketAddrV4::from(&addr)).await?;
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut frames = FrameReader::new(read, Vec::new());
    let mut first = Some(hello);
    let mut counted = 0;
    events.send((link, Event::Connected)).map_err(|_| over())?;
    loop {
        tokio::select! {
            pull = pulls.recv() => {
                let mut frame = first.take().unwrap_or_default();
                frame.extend(encode(&pull.ok_or_else(over)?.into_message()));
                write.write_all(&frame).await?;
                shared.count(frame.len() as u64, 0);
            }
            step = frames.step() => {
                shared.count(0, frames.received() - counted);
                counted = frames.received();
                let message = match step? {
                    Step::Message(message) => message,
                    Step::Part => {
                        events.send((link, Event::Part)).map_err(|_| over())?;
                        continue;
                    }
                    Step::End => return Err(io::ErrorKind::UnexpectedEof.into()),
                };
                let Ok(news) = Update::from_message(*message) else {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "no news"));
                };
                events.send((link, Event::Update(Box::new(news)))).map_err(|_| over())?;
            }
        }
    }
}
