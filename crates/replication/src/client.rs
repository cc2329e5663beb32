//! The client: runs a [`Puller`] over TCP and applies what comes to a [`SharedMirror`].

use crate::frame_reader::{FrameReader, Step};
use crate::mirror::{Mirror, VisibleVersion};
use crate::puller::{Action, Puller};
use crate::shared_mirror::SharedMirror;
use crate::transitions::{self, PullRecorder};
use crate::update::{Pull, Update, AGE_UNKNOWN};
use protocol::{encode, Addr, ControlPlaneInfo, MemberInfo, Message, Subscriber};
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

/// What the rest of the process tells a running client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// The addresses of the seeds in the settings now.
    SetSeeds(Vec<Addr>),
    /// Version of the configuration in force, to be reported with each pull.
    SetConfigurationVersion(u64),
}

/// What comes of a connection.
enum Event {
    Connected,
    /// Some bytes of an answer came.
    PartialAnswer,
    Update(Box<Update>),
    Failed(io::Error),
}

struct Connection {
    task: AbortHandle,
    pulls: mpsc::UnboundedSender<Pull>,
}

/// The connections of a puller.
struct Client {
    hello: MemberInfo,
    shared: Arc<SharedMirror>,
    connections: HashMap<u64, Connection>,
    tasks: JoinSet<()>,
    events: mpsc::UnboundedSender<(u64, Event)>,
    subscriber: Subscriber,
}

/// Pulls until it is dropped, or until `control` is closed. `hello` names this process in the first frame on each
/// connection.
pub async fn run(
    mut puller: Puller,
    hello: MemberInfo,
    subscriber: Subscriber,
    shared: Arc<SharedMirror>,
    mut control: mpsc::UnboundedReceiver<ClientCommand>,
) {
    let (events, mut incoming) = mpsc::unbounded_channel();
    let tasks = JoinSet::new();
    let mut client = Client {
        hello,
        shared: shared.clone(),
        connections: HashMap::new(),
        tasks,
        events,
        subscriber,
    };
    let mut control_plane_version = 0;
    let mut recorder = PullRecorder::default();
    loop {
        // What has come is handled before any time-out.
        while let Ok((link, event)) = incoming.try_recv() {
            let actions = client.on_event(&mut puller, link, event);
            client.act(actions);
        }
        let state = shared.update(|mirror, _| MirrorState::of(mirror, control_plane_version));
        puller.set_coordinators(state.coordinators);
        if let Some(control_plane) = &state.new_control_plane {
            control_plane_version = control_plane.version;
            puller.set_members(control_plane.members.iter().map(|member| member.addr));
        }
        client.act(puller.tick(shared.now()));
        // Only agents log this: members log their membership, proxies the configuration in force.
        if puller.prefers_one_member() {
            recorder.pulls(&puller).iter().for_each(transitions::log);
            recorder
                .configuration(state.visible)
                .iter()
                .for_each(transitions::log);
        }
        let next = state.next_tick.into_iter().chain(puller.next_tick()).min();
        let at = next.unwrap_or_else(|| shared.now() + Duration::from_secs(60));
        tokio::select! {
            Some((link, event)) = incoming.recv() => {
                let actions = client.on_event(&mut puller, link, event);
                client.act(actions);
            }
            message = control.recv() => match message {
                Some(ClientCommand::SetSeeds(seeds)) => puller.set_seeds(&seeds),
                Some(ClientCommand::SetConfigurationVersion(version)) => client.subscriber.configuration_version = version,
                None => return,
            },
            Some(_) = client.tasks.join_next() => {}
            () = sleep_until(shared.at(at)) => {
                shared.update(Mirror::tick);
            }
        }
    }
}

/// What the client needs to know of the mirror.
struct MirrorState {
    next_tick: Option<Duration>,
    /// The control plane's members, if their version is another than the one known.
    new_control_plane: Option<ControlPlaneInfo>,
    coordinators: usize,
    visible: VisibleVersion,
}

impl MirrorState {
    fn of(mirror: &Mirror, known_version: u64) -> Self {
        let control_plane = mirror.control_plane();
        Self {
            next_tick: mirror.next_tick(),
            new_control_plane: (control_plane.version != known_version)
                .then(|| control_plane.clone()),
            coordinators: mirror.coordinator_estimate(),
            visible: mirror.visible_version(),
        }
    }
}

impl Client {
    fn on_event(&mut self, puller: &mut Puller, link: u64, event: Event) -> Vec<Action> {
        let now = self.shared.now();
        match event {
            Event::Connected => puller.connected(now, link),
            Event::PartialAnswer => {
                puller.partial_answer(now, link);
                Vec::new()
            }
            Event::Failed(error) => {
                log::debug!("link {link}: {error}");
                self.connections.remove(&link);
                puller.failed(now, link)
            }
            Event::Update(update) => self.on_update(puller, link, *update),
        }
    }

    fn on_update(&mut self, puller: &mut Puller, link: u64, update: Update) -> Vec<Action> {
        let now = self.shared.now();
        // For a link that was given up it isn't known when the pull left, so the age can't be told.
        let update = match puller.pull_sent_at(link) {
            Some(sent_at) => update.aged(sent_at, now),
            None => Update {
                age_ms: AGE_UNKNOWN,
                ..update
            },
        };
        let applied = self.shared.update(|mirror, now| mirror.apply(now, &update));
        let actions = puller.answered(now, link, update.member, update.age_ms, applied);
        if puller.all_members_stale() {
            self.shared.update(|mirror, _| mirror.show_unconfirmed());
        }
        actions
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
                        .update(|mirror, _| mirror.pull(&self.subscriber, wait_ms));
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

/// Runs one connection. The puller watches its time-outs and ends the task.
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
                shared.count_traffic(frame.len() as u64, 0);
            }
            step = frames.step() => {
                shared.count_traffic(0, frames.received() - counted);
                counted = frames.received();
                let message = match step? {
                    Step::Message(message) => message,
                    Step::Partial => {
                        events.send((link, Event::PartialAnswer)).map_err(|_| over())?;
                        continue;
                    }
                    Step::End => return Err(io::ErrorKind::UnexpectedEof.into()),
                };
                let Ok(update) = Update::from_message(*message) else {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "no news"));
                };
                events.send((link, Event::Update(Box::new(update)))).map_err(|_| over())?;
            }
        }
    }
}
