//! Server that answers pulls from a [`SharedMirror`].

use crate::frame_reader::FrameReader;
use crate::shared_mirror::SharedMirror;
use crate::update::{Pull, Update};
use protocol::{encode, Message, Subscriber};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::time::{timeout, timeout_at};

/// Longest time that a pull is held, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Longest pause between two messages of a peer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a peer may take to read an answer.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers a pull: at once if the puller lacks something, otherwise as soon as it does. The answer is empty if the
/// pull's wait ends first.
pub async fn answer(shared: &SharedMirror, pull: &Pull) -> Update {
    let mut changes = shared.changes();
    let received_at = shared.now();
    shared.update(|mirror, _| mirror.observe_incarnations(&pull.origins));
    let until = shared.at(received_at) + Duration::from_millis(pull.wait_ms.into()).min(MAX_WAIT);
    loop {
        changes.borrow_and_update();
        let update = shared.update(|mirror, now| {
            let update = mirror.update_for(now, pull)?;
            Some(with_held_time(update, received_at, now))
        });
        if let Some(update) = update {
            return update;
        }
        if !matches!(timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
            return shared
                .update(|mirror, now| with_held_time(mirror.empty_update(now), received_at, now));
        }
    }
}

/// Sets the time for which the pull was held. `now` must be the time at which the update's age was computed, so that a
/// pause of this process adds the same to both.
fn with_held_time(update: Update, received_at: Duration, now: Duration) -> Update {
    let held_ms = u32::try_from(now.saturating_sub(received_at).as_millis()).unwrap_or(u32::MAX);
    Update { held_ms, ..update }
}

/// Answers the pulls on one connection until it ends. `buffer` holds the bytes that were already read from it;
/// `on_subscriber` is called with the sender of each pull.
///
/// # Errors
/// Fails if the connection fails, if the peer sends nothing or reads nothing for too long, or if it sends a message
/// other than a hello or a pull.
pub async fn serve<S>(
    stream: S,
    buffer: Vec<u8>,
    shared: Arc<SharedMirror>,
    mut on_subscriber: impl FnMut(&Subscriber),
) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite,
{
    let (read, mut write) = tokio::io::split(stream);
    let mut frames = FrameReader::new(Box::pin(read), buffer);
    loop {
        let message = match timeout(IDLE_TIMEOUT, frames.next()).await?? {
            None => return Ok(()),
            Some(Message::Hello { .. }) => continue,
            Some(message) => message,
        };
        let Ok(pull) = Pull::from_message(message) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "expected a pull",
            ));
        };
        on_subscriber(&pull.subscriber);
        let frame = encode(&answer(&shared, &pull).await.into_message());
        timeout(SEND_TIMEOUT, write.write_all(&frame)).await??;
    }
}
