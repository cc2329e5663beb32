//! Number of events within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of buckets that a window is divided into.
const BUCKETS_PER_WINDOW: u32 = 64;

/// The number of events in one bucket.
#[derive(Debug)]
struct Bucket {
    index: u64,
    events: u32,
}

/// Counts events in buckets of 1/64 of the window. As times within a bucket aren't kept, the number of events in the
/// window is only known between a [lower](Self::lower_bound) and an [upper](Self::upper_bound) bound.
#[derive(Debug)]
pub(crate) struct SlidingCount {
    window: Duration,
    /// Buckets with events, the oldest first.
    buckets: VecDeque<Bucket>,
}

impl SlidingCount {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_millis(u64::from(BUCKETS_PER_WINDOW))),
            buckets: VecDeque::new(),
        }
    }

    fn bucket_index(&self, now: Duration) -> u64 {
        (now.as_nanos() / (self.window / BUCKETS_PER_WINDOW).as_nanos()) as u64
    }

    /// Counts one event. An event that is older than the latest bucket is counted in the latest bucket.
    pub(crate) fn add(&mut self, now: Duration) {
        let index = self.bucket_index(now);
        match self.buckets.back_mut() {
            Some(last) if last.index >= index => last.events += 1,
            _ => self.buckets.push_back(Bucket { index, events: 1 }),
        }
        let has_expired = |bucket: &Bucket| bucket.index + u64::from(BUCKETS_PER_WINDOW) < index;
        while self.buckets.front().is_some_and(has_expired) {
            self.buckets.pop_front();
        }
    }

    /// Returns an upper bound of the number of events in the window that ends at `now`: a bucket counts until its end
    /// has left the window.
    pub(crate) fn upper_bound(&self, now: Duration) -> u32 {
        let oldest = self
            .bucket_index(now)
            .saturating_sub(u64::from(BUCKETS_PER_WINDOW));
        let counted = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        counted.map(|bucket| bucket.events).sum()
    }

    /// Returns a lower bound of the number of events in the window that ends at `now`: a bucket counts until its start
    /// has left the window.
    pub(crate) fn lower_bound(&self, now: Duration) -> u32 {
        let newest = self.bucket_index(now);
        let is_within = |bucket: &&Bucket| bucket.index + u64::from(BUCKETS_PER_WINDOW) > newest;
        let counted = self.buckets.iter().filter(is_within);
        counted.map(|bucket| bucket.events).sum()
    }
}
