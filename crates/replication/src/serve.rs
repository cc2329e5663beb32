//! The server: answers pulls from a [`SharedMirror`].

use crate::frame_reader::FrameReader;
use crate::shared_mirror::SharedMirror;
use crate::update::{Pull, Update};
use protocol::{encode, Message, Subscriber};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::time::{timeout, timeout_at};

/// The longest wait that a puller gets, whatever it asks for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// How long a peer may pause before its next message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a peer may take to read an answer.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers a pull: at once if the puller lacks something, else as soon as it does. The answer is empty if the pull's wait
/// ends first.
pub async fn answer(shared: &SharedMirror, pull: &Pull) -> Update {
    let mut changes = shared.changes();
    let since = shared.now();
    shared.update(|mirror, _| mirror.observe_incarnations(&pull.origins));
    let until = shared.at(since) + Duration::from_millis(pull.wait_ms.into()).min(MAX_WAIT);
    loop {
        changes.borrow_and_update();
        let update = shared.update(|mirror, now| {
            let update = mirror.update_for(now, pull)?;
            Some(with_held_time(update, since, now))
        });
        if let Some(update) = update {
            return update;
        }
        if !matches!(timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
            return shared
                .update(|mirror, now| with_held_time(mirror.empty_update(now), since, now));
        }
    }
}

/// Sets how long the pull was held. `now` has to be the time that the update's age was taken at: if the process stands
/// still, both become greater.
fn with_held_time(update: Update, since: Duration, now: Duration) -> Update {
    let held_ms = u32::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u32::MAX);
    Update { held_ms, ..update }
}

/// Answers the pulls on one connection until it ends. `buffer` holds what was read of it already; `on_subscriber` is
/// called with the sender of each pull.
///
/// # Errors
/// Fails if the connection fails, if the peer sends nothing or reads nothing for too long, or if it sends another
/// message than a pull.
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
            return Err(io::Error::new(io::ErrorKind::InvalidData, "no pull"));
        };
        on_subscriber(&pull.subscriber);
        let frame = encode(&answer(&shared, &pull).await.into_message());
        timeout(SEND_TIMEOUT, write.write_all(&frame)).await??;
    }
}
