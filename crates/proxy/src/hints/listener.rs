//! Takes other proxies' hints, and answers those who ask for what is known.

use crate::hints::publisher::{of, DATAGRAM};
use crate::state::ProxyState;
use balancing::{PrefixHint, PromptPart};
use protocol::Message;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Of a datagram, what a frame and a list need besides their entries, in bytes.
const FRAME: usize = 32;
/// Parts that an entry of an answer holds.
const ENTRY_PARTS: usize = 40;
/// Pause after a socket's error, which may be there again at once.
const PAUSE: Duration = Duration::from_millis(20);

/// Takes hints for as long as the process lives.
pub(crate) async fn hear(state: Rc<ProxyState>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 2 * DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // An answer to what was sent to a proxy that is gone, or an error that stays.
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let Ok(Some((message, _))) = protocol::decode(&buffer[..length]) else {
            state.counters.add(|c| c.bad_hints += 1);
            continue;
        };
        match message {
            Message::PromptPlaced {
                placement,
                prefill_tokens,
            } => {
                let mut policy = state.policy.borrow_mut();
                policy.on_prefix_hint(
                    state.now(),
                    &placement.host,
                    &parts(&placement),
                    prefill_tokens,
                );
            }
            Message::Placements { placements } => {
                let mut policy = state.policy.borrow_mut();
                placements
                    .iter()
                    .for_each(|p| policy.on_prefix_hint(state.now(), &p.host, &parts(p), 0));
            }
            Message::PlacementsRequest { .. } => recall(&state, &socket, from),
            _ => state.counters.add(|c| c.bad_hints += 1),
        }
    }
}

fn recall(state: &ProxyState, socket: &UdpSocket, to: SocketAddr) {
    let cached = state.policy.borrow().cached_prefixes();
    let mut placements: Vec<protocol::Placement> = Vec::new();
    let mut size = 0;
    let send = |placements: &mut Vec<protocol::Placement>| {
        let message = Message::Placements {
            placements: std::mem::take(placements),
        };
        let _ = socket.try_send_to(&protocol::encode(&message), to);
    };
    for PrefixHint {
        host_id, prefix, ..
    } in cached
    {
        for some in prefix.chunks(ENTRY_PARTS) {
            let one = of(&PrefixHint {
                host_id: Arc::clone(&host_id),
                prefix: some.to_vec(),
                uncached_tokens: 0,
            });
            let length = 8 + one.host.len() + 12 * one.parts.len();
            if length > DATAGRAM - FRAME {
                // Its name alone fills a datagram.
                break;
            }
            if size + length > DATAGRAM - FRAME {
                send(&mut placements);
                size = 0;
            }
            size += length;
            placements.push(one);
        }
    }
    if !placements.is_empty() {
        send(&mut placements);
    }
}

fn parts(placement: &protocol::Placement) -> Vec<PromptPart> {
    let part = |part: &protocol::Part| PromptPart {
        id: part.id,
        tokens: part.tokens,
    };
    placement.parts.iter().map(part).collect()
}
