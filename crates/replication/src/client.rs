//! Client that runs a [`Puller`] over TCP and applies the received updates to a [`SharedMirror`].

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

/// Command from the rest of the process to a running client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// Replaces the seeds' addresses.
    SetSeeds(Vec<Addr>),
    /// Sets the version of the configuration in force, which each pull reports.
    SetConfigurationVersion(u64),
}

/// Event on a connection.
enum ConnectionEvent {
    Connected,
    /// Some bytes of an answer arrived.
    PartialAnswer,
    Update(Box<Update>),
    Failed(io::Error),
}

struct Connection {
    task: AbortHandle,
    pulls: mpsc::UnboundedSender<Pull>,
}

/// Connections of a puller, by link number.
struct Client {
    hello: MemberInfo,
    shared: Arc<SharedMirror>,
    connections: HashMap<u64, Connection>,
    tasks: JoinSet<()>,
    events: mpsc::UnboundedSender<(u64, ConnectionEvent)>,
    subscriber: Subscriber,
}

/// Pulls until the returned future is dropped or `commands` is closed. `hello` identifies this process in the first
/// frame on each connection.
pub async fn run(
    mut puller: Puller,
    hello: MemberInfo,
    subscriber: Subscriber,
    shared: Arc<SharedMirror>,
    mut commands: mpsc::UnboundedReceiver<ClientCommand>,
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
        // Events that have arrived are handled before any timeout.
        while let Ok((link, event)) = incoming.try_recv() {
            let actions = client.on_event(&mut puller, link, event);
            client.perform(actions);
        }
        let state = shared.update(|mirror, _| MirrorState::of(mirror, control_plane_version));
        puller.set_coordinators(state.coordinators);
        if let Some(control_plane) = &state.new_control_plane {
            control_plane_version = control_plane.version;
            puller.set_members(control_plane.members.iter().map(|member| member.addr));
        }
        client.perform(puller.tick(shared.now()));
        log_transitions(&mut recorder, &puller, state.visible);
        let next_tick = state.next_tick.into_iter().chain(puller.next_tick()).min();
        let wake_at = next_tick.unwrap_or_else(|| shared.now() + Duration::from_secs(60));
        tokio::select! {
            Some((link, event)) = incoming.recv() => {
                let actions = client.on_event(&mut puller, link, event);
                client.perform(actions);
            }
            command = commands.recv() => match command {
                Some(ClientCommand::SetSeeds(seeds)) => puller.set_seeds(&seeds),
                Some(ClientCommand::SetConfigurationVersion(version)) =>
                    client.subscriber.configuration_version = version,
                None => return,
            },
            Some(_) = client.tasks.join_next() => {}
            () = sleep_until(shared.at(wake_at)) => {
                shared.update(Mirror::tick);
            }
        }
    }
}

/// Logs what has changed. Only agents log their pulls: members log their membership, and proxies the configuration in
/// force.
fn log_transitions(recorder: &mut PullRecorder, puller: &Puller, visible: VisibleVersion) {
    if !puller.prefers_one_member() {
        return;
    }
    let pulls = recorder.observe_pulls(puller);
    pulls.iter().for_each(transitions::log);
    let configurations = recorder.observe_configuration(visible);
    configurations.iter().for_each(transitions::log);
}

/// Part of the mirror's state that the client acts on.
struct MirrorState {
    next_tick: Option<Duration>,
    /// Members of the control plane, if their version differs from the known one.
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
    fn on_event(&mut self, puller: &mut Puller, link: u64, event: ConnectionEvent) -> Vec<Action> {
        let now = self.shared.now();
        match event {
            ConnectionEvent::Connected => puller.connected(now, link),
            ConnectionEvent::PartialAnswer => {
                puller.partial_answer(now, link);
                Vec::new()
            }
            ConnectionEvent::Failed(error) => {
                log::debug!("connection of link {link} failed: {error}");
                self.connections.remove(&link);
                puller.failed(now, link)
            }
            ConnectionEvent::Update(update) => self.on_update(puller, link, *update),
        }
    }

    fn on_update(&mut self, puller: &mut Puller, link: u64, update: Update) -> Vec<Action> {
        let now = self.shared.now();
        // For a link that was given up, the time of the pull is unknown, and so is the age.
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

    fn perform(&mut self, actions: Vec<Action>) {
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
                            run_connection(link, addr, hello, queue, &events, &shared).await;
                        let _ = events.send((link, ConnectionEvent::Failed(error)));
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

/// Runs one connection. The puller watches its timeouts and ends the task.
async fn run_connection(
    link: u64,
    addr: Addr,
    hello: Vec<u8>,
    mut pulls: mpsc::UnboundedReceiver<Pull>,
    events: &mpsc::UnboundedSender<(u64, ConnectionEvent)>,
    shared: &SharedMirror,
) -> io::Result<std::convert::Infallible> {
    let closed = || io::Error::from(io::ErrorKind::BrokenPipe);
    let stream = TcpStream::connect(SocketAddrV4::from(&addr)).await?;
    stream.set_nodelay(true)?;
    let (read, mut write) = stream.into_split();
    let mut frames = FrameReader::new(read, Vec::new());
    let mut unsent_hello = Some(hello);
    let mut counted_bytes = 0;
    events
        .send((link, ConnectionEvent::Connected))
        .map_err(|_| closed())?;
    loop {
        tokio::select! {
            pull = pulls.recv() => {
                let mut frame = unsent_hello.take().unwrap_or_default();
                frame.extend(encode(&pull.ok_or_else(closed)?.into_message()));
                write.write_all(&frame).await?;
                shared.count_traffic(frame.len() as u64, 0);
            }
            step = frames.step() => {
                shared.count_traffic(0, frames.received() - counted_bytes);
                counted_bytes = frames.received();
                let message = match step? {
                    Step::Message(message) => message,
                    Step::Partial => {
                        events.send((link, ConnectionEvent::PartialAnswer)).map_err(|_| closed())?;
                        continue;
                    }
                    Step::End => return Err(io::ErrorKind::UnexpectedEof.into()),
                };
                let Ok(update) = Update::from_message(*message) else {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, "expected an update"));
                };
                events.send((link, ConnectionEvent::Update(Box::new(update)))).map_err(|_| closed())?;
            }
        }
    }
}
