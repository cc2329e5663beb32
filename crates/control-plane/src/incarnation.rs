//! Numbers of a member's lives: the time of day in ms above a tail that is drawn at random.
//!
//! A life has to have a higher number than those before, for others to tell its records from theirs. The disk keeps
//! the latest number. Where it is full and the clock was set back, a start knows neither; then the tail keeps two
//! lives from having the same number, and [`crate::registry_publisher::RegistryPublisher`] takes a higher one as soon as somebody tells of it.

/// Bits of the random tail.
pub const TAIL_BITS: u32 = 20;
const LARGEST_CLOCK: u64 = u64::MAX >> TAIL_BITS;
const TAIL_MASK: u64 = (1 << TAIL_BITS) - 1;

/// The number of a life that starts at `clock_ms`, above `before`; the tail is taken from `random`.
pub fn next_incarnation(before: u64, clock_ms: u64, random: u64) -> u64 {
    let clock = clock_ms.max((before >> TAIL_BITS) + 1).min(LARGEST_CLOCK);
    (clock << TAIL_BITS) | (random & TAIL_MASK)
}
