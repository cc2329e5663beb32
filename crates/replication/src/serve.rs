//! The side that is pulled from.

use crate::frames::FrameReader;
use crate::news::{Pull, Update};
use crate::shared::SharedMirror;
use protocol::{encode, Message, Subscriber};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::time::{timeout, timeout_at};

/// Longest wait that a puller may ask for.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Longest pause before a peer's next message.
const IDLE: Duration = Duration::from_secs(10);
/// Longest time that a peer may take to read an answer.
const SEND: Duration = Duration::from_secs(3);

/// The answer to a pull: at once where there are news, else when there are, or empty after the pull's wait.
pub async fn answer(shared: &SharedMirror, pull: &Pull) -> Update {
    let mut changes = shared.changes();
    let since = shared.now();
    shared.update(|mirror, _| mirror.observe_incarnations(&pull.origins));
    let until = shared.at(since) + Duration::from_millis(pull.wait_ms.into()).min(LONGEST_WAIT);
    // Of the same moment as the age: a standstill makes both greater.
    let held = |now: Duration, news: Update| {
        let held_ms = u32::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u32::MAX);
        Update { held_ms, ..news }
    };
    loop {
        changes.borrow_and_update();
        let news =
            shared.update(|mirror, now| mirror.update_for(now, pull).map(|news| held(now, news)));
        if let Some(news) = news {
            return news;
        }
        if !matches!(timeout_at(until, changes.changed()).await, Ok(Ok(()))) {
            return shared.update(|mirror, now| held(now, mirror.empty_update(now)));
        }
    }
}

/// Answers the pulls on one connection until it ends; `buffer` holds what was read of it already, and
/// `on_caller` hears of each pull.
///
/// # Errors
/// Where the connection fails, a peer is silent or doesn't read for too long, or sends something else.
pub async fn serve<S>(
    stream: S,
    buffer: Vec<u8>,
    shared: Arc<SharedMirror>,
    mut on_caller: impl FnMut(&Subscriber),
) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite,
{
    let (read, mut write) = tokio::io::split(stream);
    let mut frames = FrameReader::new(Box::pin(read), buffer);
    loop {
        let message = match timeout(IDLE, frames.next()).await?? {
            None => return Ok(()),
            Some(Message::Hello { .. }) => continue,
            Some(message) => message,
        };
        let Ok(pull) = Pull::from_message(message) else {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "no pull"));
        };
        on_caller(&pull.subscriber);
        let frame = encode(&answer(&shared, &pull).await.into_message());
        timeout(SEND, write.write_all(&frame)).await??;
    }
}
