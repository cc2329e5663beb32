//! Hints between proxies: where prompts were sent, so that others know what hosts keep and still have to read.
//! Datagrams that may be lost; nothing rests on them but what is read again. Nobody is asked when a request
//! is sent.

use balancing::{PrefixHint, PromptPart};
use configuration::ProcessSettings;
use protocol::{Message, Part};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Most proxies that are told of every prompt; in a larger fleet each tells those that follow it in the order of
/// their addresses, and nobody takes what is heard for the whole.
const MOST: usize = 16;
/// Longest datagram, in bytes.
pub(crate) const DATAGRAM: usize = 1200;
/// Proxies that are asked for what they know.
const ASKED: usize = 2;

/// Who is told.
#[derive(Default)]
pub(crate) struct Hints {
    pub(crate) socket: Option<Rc<UdpSocket>>,
    others: Vec<SocketAddrV4>,
    asked: bool,
}

impl Hints {
    /// The other proxies as the roster has them now. Whether all of them tell each other.
    pub(crate) fn set_others(&mut self, others: &[SocketAddrV4]) -> bool {
        let Some(socket) = &self.socket else {
            return false;
        };
        let me = match socket.local_addr() {
            Ok(SocketAddr::V4(me)) => me,
            _ => return false,
        };
        let mut ring: Vec<SocketAddrV4> = others.to_vec();
        ring.sort_unstable();
        let after = ring.partition_point(|o| *o < me);
        ring.rotate_left(after);
        let all = ring.len() <= MOST;
        ring.truncate(MOST);
        self.others = ring;
        if !self.asked && !self.others.is_empty() {
            self.asked = true;
            let message = protocol::encode(&Message::PlacementsRequest { reserved: 0 });
            for other in self.others.iter().take(ASKED) {
                let _ = socket.try_send_to(&message, SocketAddr::V4(*other));
            }
        }
        all
    }

    /// Tells the others of a prompt that was sent.
    pub(crate) fn tell(&self, hint: &PrefixHint) {
        let Some(socket) = self.socket.as_ref().filter(|_| !self.others.is_empty()) else {
            return;
        };
        let message = protocol::encode(&Message::PromptPlaced {
            placement: of(hint),
            prefill_tokens: hint.uncached_tokens,
        });
        if message.len() > DATAGRAM {
            return;
        }
        for other in &self.others {
            // What can't be sent now is lost, as any datagram may be.
            let _ = socket.try_send_to(&message, SocketAddr::V4(*other));
        }
    }
}

/// A placement as it goes over the wire.
pub(crate) fn of(hint: &PrefixHint) -> protocol::Placement {
    let part = |part: &PromptPart| Part {
        id: part.id,
        tokens: part.tokens,
    };
    protocol::Placement {
        host: hint.host_id.to_string(),
        parts: hint.prefix.iter().map(part).collect(),
    }
}

/// Where this proxy takes hints; `None` where it can't.
pub(crate) async fn listen(boot: &ProcessSettings) -> Option<Rc<UdpSocket>> {
    let port = boot
        .port_range
        .0
        .checked_add(2)
        .filter(|p| *p <= boot.port_range.1)?;
    match UdpSocket::bind(SocketAddrV4::new(boot.ip_addr, port)).await {
        Ok(socket) => Some(Rc::new(socket)),
        Err(e) => {
            log::warn!("no hints are taken: {e}");
            None
        }
    }
}
