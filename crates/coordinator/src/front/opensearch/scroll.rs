//! Scroll contexts: the remaining hits of a search, kept for a limited time. They exist in this process only; their ids
//! contain its incarnation.

use super::answer::{Failure, MergedHits};
use super::dsl::Search;
use base64::{engine::general_purpose::URL_SAFE_NO_PAD, Engine};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum time that a context is kept without use.
pub const MAX_KEEP_ALIVE: Duration = Duration::from_secs(300);
/// Maximum number of hits of one district that a context holds.
pub const MAX_HITS_PER_DISTRICT: usize = 1_000;

/// Maximum size of the hosts' answers behind all contexts, in bytes. Parsed in memory they take several times as much.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A scroll context.
pub struct ScrollContext {
    /// The name of the index.
    pub index: String,
    /// The search; each page increases its `from`.
    pub search: Search,
    /// All hits of the search.
    pub merged: MergedHits,
    keep_alive: Duration,
    expires_at: Instant,
}

/// All scroll contexts of this process, within limits on their number and bytes.
pub struct ScrollContexts {
    incarnation: u64,
    last_number: u64,
    max_contexts: usize,
    open: BTreeMap<u64, ScrollContext>,
}

fn missing_context(id: &str) -> Failure {
    Failure::new(
        404,
        "search_context_missing_exception",
        format!("No search context found for id [{id}]"),
    )
}

impl ScrollContexts {
    /// Creates an empty set of at most `max_contexts` contexts. `incarnation` must differ at each start of the process.
    pub fn new(incarnation: u64, max_contexts: usize) -> Self {
        Self {
            incarnation,
            last_number: 0,
            max_contexts,
            open: BTreeMap::new(),
        }
    }

    fn expire(&mut self, now: Instant) {
        self.open.retain(|_, c| c.expires_at > now);
    }

    /// Checks whether a further context may be opened.
    ///
    /// # Errors
    /// 429 if the limit on open contexts or on their bytes is reached.
    pub fn check_room(&mut self, now: Instant) -> Result<(), Failure> {
        self.expire(now);
        let bytes: usize = self.open.values().map(|c| c.merged.bytes).sum();
        if self.open.len() < self.max_contexts && bytes < MAX_ANSWER_BYTES {
            return Ok(());
        }
        let reason = format!(
            "Trying to create too many scroll contexts. Must be less than or equal to: [{}].",
            self.max_contexts
        );
        let first = self
            .open
            .values()
            .map(|c| c.expires_at)
            .min()
            .unwrap_or(now);
        let retry_after = Some((first - now).max(Duration::from_millis(50)));
        Err(Failure {
            retry_after,
            ..Failure::new(429, "rejected_execution_exception", reason)
        })
    }

    /// Opens a context for the hits of a search. Returns the context's id.
    ///
    /// # Errors
    /// As [`ScrollContexts::check_room`].
    pub fn open(
        &mut self,
        index: &str,
        search: Search,
        merged: MergedHits,
        keep_alive: Duration,
        now: Instant,
    ) -> Result<String, Failure> {
        self.check_room(now)?;
        self.last_number += 1;
        let context = ScrollContext {
            index: index.to_owned(),
            search,
            merged,
            keep_alive,
            expires_at: now + keep_alive,
        };
        self.open.insert(self.last_number, context);
        Ok(URL_SAFE_NO_PAD.encode(format!(
            "{:016x}{:016x}",
            self.incarnation, self.last_number
        )))
    }

    /// The number of the context with this id. An id of another incarnation counts as expired, as its contexts ended
    /// with its process.
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
            Err(missing_context(id))
        }
    }

    /// Advances a context by one page and calls `read` with it.
    ///
    /// # Errors
    /// 400 if the id can't be parsed, 404 if there is no such context.
    pub fn next_page<T>(
        &mut self,
        id: &str,
        keep_alive: Option<Duration>,
        now: Instant,
        read: impl FnOnce(&ScrollContext) -> T,
    ) -> Result<T, Failure> {
        let number = self.number(id)?;
        self.expire(now);
        let context = self
            .open
            .get_mut(&number)
            .ok_or_else(|| missing_context(id))?;
        context.keep_alive = keep_alive.unwrap_or(context.keep_alive);
        context.expires_at = now + context.keep_alive;
        context.search.from += context.search.size;
        Ok(read(context))
    }

    /// Frees the contexts with these ids, or all if `None`. Returns how many were freed.
    ///
    /// # Errors
    /// 400 if an id can't be parsed.
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
