//! Scroll contexts: what is left of a search's hits, kept for a while. They live and die with this
//! process, and their ids say so.

use super::answer::{Failure, Merged};
use super::dsl::Search;
use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Longest time that a context is kept without use.
pub const LONGEST: Duration = Duration::from_secs(300);
/// Hits of one district that a context may hold.
pub const MOST_HITS: usize = 1_000;

/// Bytes of hosts' answers behind all contexts; in memory they take several times as much.
const MOST_BYTES: usize = 4 * 1024 * 1024;

/// One context.
pub struct Context {
    /// The index.
    pub index: String,
    /// The search; its `from` moves on with each page.
    pub search: Search,
    /// All its hits.
    pub merged: Merged,
    keep: Duration,
    until: Instant,
}

/// All contexts of this process, capped.
pub struct Scrolls {
    incarnation: u64,
    next: u64,
    most: usize,
    open: BTreeMap<u64, Context>,
}

fn missing(id: &str) -> Failure {
    Failure::new(
        404,
        "search_context_missing_exception",
        format!("No search context found for id [{id}]"),
    )
}

impl Scrolls {
    /// No contexts yet; at most `most` at once. `incarnation` must be new with each start.
    pub fn new(incarnation: u64, most: usize) -> Self {
        Self {
            incarnation,
            next: 0,
            most,
            open: BTreeMap::new(),
        }
    }

    fn expire(&mut self, now: Instant) {
        self.open.retain(|_, c| c.until > now);
    }

    /// Checks whether there is room for one more context.
    ///
    /// # Errors
    /// 429 if as many are open as may be, or they hold as many bytes as they may.
    pub fn room(&mut self, now: Instant) -> Result<(), Failure> {
        self.expire(now);
        let bytes: usize = self.open.values().map(|c| c.merged.bytes).sum();
        if self.open.len() < self.most && bytes < MOST_BYTES {
            return Ok(());
        }
        let reason = format!(
            "Trying to create too many scroll contexts. Must be less than or equal to: [{}].",
            self.most
        );
        let first = self.open.values().map(|c| c.until).min().unwrap_or(now);
        let retry_after = Some((first - now).max(Duration::from_millis(50)));
        Err(Failure {
            retry_after,
            ..Failure::new(429, "rejected_execution_exception", reason)
        })
    }

    /// Keeps the rest of an answer in a context. Returns the context's id.
    ///
    /// # Errors
    /// As [`Scrolls::room`].
    pub fn open(
        &mut self,
        index: &str,
        search: Search,
        merged: Merged,
        keep: Duration,
        now: Instant,
    ) -> Result<String, Failure> {
        self.room(now)?;
        self.next += 1;
        let context = Context {
            index: index.to_owned(),
            search,
            merged,
            keep,
            until: now + keep,
        };
        self.open.insert(self.next, context);
        Ok(URL_SAFE_NO_PAD.encode(format!("{:016x}{:016x}", self.incarnation, self.next)))
    }

    /// The number behind an id. One of another incarnation is as good as expired: its coordinator has
    /// gone and taken the context along.
    fn number(&self, id: &str) -> Result<u64, Failure> {
        let unreadable = || {
            Failure::new(
                400,
                "illegal_argument_exception",
                format!("Cannot parse scroll id [{id}]"),
            )
        };
        let bytes = URL_SAFE_NO_PAD.decode(id).map_err(|_| unreadable())?;
        let text = std::str::from_utf8(&bytes)
            .ok()
            .filter(|t| t.len() == 32 && t.is_ascii());
        let half = |t: &str| u64::from_str_radix(t, 16).map_err(|_| unreadable());
        let (incarnation, number) = text.ok_or_else(unreadable)?.split_at(16);
        if half(incarnation)? == self.incarnation {
            half(number)
        } else {
            Err(missing(id))
        }
    }

    /// Moves a context on by a page and gives it to `read`.
    ///
    /// # Errors
    /// 400 if the id can't be read, 404 if there is no such context any more.
    pub fn next<T>(
        &mut self,
        id: &str,
        keep: Option<Duration>,
        now: Instant,
        read: impl FnOnce(&Context) -> T,
    ) -> Result<T, Failure> {
        let number = self.number(id)?;
        self.expire(now);
        let context = self.open.get_mut(&number).ok_or_else(|| missing(id))?;
        context.keep = keep.unwrap_or(context.keep);
        context.until = now + context.keep;
        context.search.from += context.search.size;
        Ok(read(context))
    }

    /// Frees contexts; `None` means all. Returns how many were freed.
    ///
    /// # Errors
    /// 400 if an id can't be read.
    pub fn free(&mut self, ids: Option<&[String]>, now: Instant) -> Result<usize, Failure> {
        self.expire(now);
        let Some(ids) = ids else {
            return Ok(std::mem::take(&mut self.open).len());
        };
        let mut freed = 0;
        for id in ids {
            match self.number(id) {
                Ok(number) => freed += usize::from(self.open.remove(&number).is_some()),
                Err(e) if e.status == 404 => {}
                Err(e) => return Err(e),
            }
        }
        Ok(freed)
    }
}
