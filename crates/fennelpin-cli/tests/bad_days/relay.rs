//! A TCP relay in front of the members: what any process and a member say to each other passes through it, and can be
//! held back in either direction, as when a link is cut.

use protocol::Message;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;

/// Bytes that are passed on in one piece.
const PIECE: usize = 16 * 1024;

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

/// The directions that are cut now.
#[derive(Debug, Default)]
pub struct Cuts {
    directions: Mutex<BTreeSet<Direction>>,
    changed: Condvar,
}

impl Cuts {
    /// Cuts these directions and no others. What has come for one that is no longer cut goes on its way.
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

/// A relay in front of one member; with it ends its listener.
pub struct Relay {
    listener: TcpListener,
    accepts: Option<JoinHandle<()>>,
}

impl Relay {
    /// Relays what comes in at `listener` to the member with this name, which listens at `to`.
    pub fn start(listener: TcpListener, member: String, to: SocketAddr, cuts: Arc<Cuts>) -> Self {
        let accepting = listener.try_clone().unwrap();
        let accepts = std::thread::spawn(move || {
            while let Ok((caller, _)) = accepting.accept() {
                let (member, cuts) = (member.clone(), cuts.clone());
                // One side has ended, or was never there: the other side sees that too.
                std::thread::spawn(move || drop(relay(caller, &member, to, &cuts)));
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
        // Nobody accepts any more; the address is free for the next test.
        let _ = rustix::net::shutdown(&self.listener, rustix::net::Shutdown::Both);
        let _ = self.accepts.take().map(JoinHandle::join);
    }
}

/// One connection, which comes up once both of its directions are open.
fn relay(
    mut caller: TcpStream,
    member: &str,
    to: SocketAddr,
    cuts: &Arc<Cuts>,
) -> std::io::Result<()> {
    let (name, first) = introduction(&mut caller)?;
    let inward = Direction::new(&name, member);
    let outward = inward.reversed();
    cuts.wait_until_open(&[&inward, &outward]);
    if has_left(&caller)? {
        return Ok(());
    }
    let mut callee = TcpStream::connect(to)?;
    caller.set_nodelay(true)?;
    callee.set_nodelay(true)?;
    callee.write_all(&first)?;
    let back = (callee.try_clone()?, caller.try_clone()?, cuts.clone());
    std::thread::spawn(move || pass_on(back.0, back.1, &outward, &back.2));
    pass_on(caller, callee, &inward, cuts);
    Ok(())
}

/// The name that a caller's first message tells, and the bytes that have come with it.
fn introduction(caller: &mut TcpStream) -> std::io::Result<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        match protocol::decode(&bytes) {
            Ok(Some((Message::Hello { sender }, _))) => return Ok((sender.name, bytes)),
            Ok(None) => {}
            other => panic!("no introduction: {other:?}"),
        }
        let mut piece = [0; PIECE];
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

/// Passes on what comes, whenever its direction is open, and the end behind it.
fn pass_on(mut from: TcpStream, mut to: TcpStream, direction: &Direction, cuts: &Cuts) {
    let mut piece = vec![0; PIECE];
    loop {
        let read = from.read(&mut piece);
        cuts.wait_until_open(&[direction]);
        let passed = match read {
            Ok(length) if length > 0 => to.write_all(&piece[..length]),
            _ => {
                // Whoever has ended already needs no word of it.
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
