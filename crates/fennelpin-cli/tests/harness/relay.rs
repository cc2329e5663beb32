//! A TCP relay in front of the members. All messages to and from a member pass through it, and can be held back in either
//! direction, as in a partition.

use protocol::Message;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// A direction between two machines, by their names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    pub from: String,
    pub to: String,
}

impl Direction {
    pub fn new(from: &str, to: &str) -> Self {
        Self {
            from: from.into(),
            to: to.into(),
        }
    }

    fn reversed(&self) -> Self {
        Self::new(&self.to, &self.from)
    }
}

/// The directions that are cut at the moment.
#[derive(Debug, Default)]
pub struct Partitions {
    directions: Mutex<BTreeSet<Direction>>,
    changed: Condvar,
}

impl Partitions {
    /// Cuts these directions and no others. What was held back in the others goes on.
    pub fn set(&self, directions: impl IntoIterator<Item = Direction>) {
        *self.directions.lock().unwrap() = directions.into_iter().collect();
        self.changed.notify_all();
    }

    /// Waits until none of these is cut.
    fn wait_until_open(&self, wanted: &[&Direction]) {
        let cut = |now: &mut BTreeSet<Direction>| wanted.iter().any(|d| now.contains(*d));
        drop(
            self.changed
                .wait_while(self.directions.lock().unwrap(), cut)
                .unwrap(),
        );
    }
}

/// A relay in front of one member. Its listener ends when this is dropped.
pub struct Relay {
    listener: TcpListener,
    accepts: Option<JoinHandle<()>>,
}

impl Relay {
    /// Relays what comes in at `listener` to the member with this name, which listens at `to`.
    pub fn start(
        listener: TcpListener,
        member: String,
        to: SocketAddr,
        partitions: Arc<Partitions>,
    ) -> Self {
        let accepting = listener.try_clone().unwrap();
        let accepts = std::thread::spawn(move || {
            while let Ok((caller, _)) = accepting.accept() {
                let (member, partitions) = (member.clone(), partitions.clone());
                // One side has closed the connection, or was never there. The other side sees that too.
                std::thread::spawn(move || drop(relay(caller, &member, to, &partitions)));
            }
        });
        Self {
            listener,
            accepts: Some(accepts),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The address is free for the next test.
        let _ = rustix::net::shutdown(&self.listener, rustix::net::Shutdown::Both);
        let _ = self.accepts.take().map(JoinHandle::join);
    }
}

/// One connection, which comes up once both of its directions are open.
fn relay(
    mut caller: TcpStream,
    member: &str,
    to: SocketAddr,
    partitions: &Arc<Partitions>,
) -> std::io::Result<()> {
    let (name, first) = introduction(&mut caller)?;
    let inward = Direction::new(&name, member);
    let outward = inward.reversed();
    partitions.wait_until_open(&[&inward, &outward]);
    if has_left(&caller)? {
        return Ok(());
    }
    let mut callee = TcpStream::connect(to)?;
    caller.set_nodelay(true)?;
    callee.set_nodelay(true)?;
    callee.write_all(&first)?;
    let back = (callee.try_clone()?, caller.try_clone()?, partitions.clone());
    std::thread::spawn(move || pass_on(back.0, back.1, &outward, &back.2));
    pass_on(caller, callee, &inward, partitions);
    Ok(())
}

/// The name in a caller's first message, and the bytes that have come so far.
fn introduction(caller: &mut TcpStream) -> std::io::Result<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        match protocol::decode(&bytes) {
            Ok(Some((Message::Hello { sender }, _))) => return Ok((sender.name, bytes)),
            Ok(None) => {}
            other => panic!("no introduction: {other:?}"),
        }
        let mut piece = [0; CHUNK_BYTES];
        let length = caller.read(&mut piece)?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&piece[..length]);
    }
}

/// Whether a caller has given up while its connection didn't come up.
fn has_left(caller: &TcpStream) -> std::io::Result<bool> {
    caller.set_nonblocking(true)?;
    let left = matches!(caller.peek(&mut [0]), Ok(0));
    caller.set_nonblocking(false)?;
    Ok(left)
}

/// Passes on what comes while the direction is open, and the end of the stream.
fn pass_on(mut from: TcpStream, mut to: TcpStream, direction: &Direction, partitions: &Partitions) {
    let mut piece = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut piece);
        partitions.wait_until_open(&[direction]);
        let passed = match read {
            Ok(length) if length > 0 => to.write_all(&piece[..length]),
            _ => {
                // Fails where the other side has closed the connection already.
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        };
        if passed.is_err() {
            let _ = from.shutdown(Shutdown::Both);
            return;
        }
    }
}
