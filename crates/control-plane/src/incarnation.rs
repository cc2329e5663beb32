//! Incarnation numbers of a member: the time of day in ms, followed by random low bits.
//!
//! Each incarnation needs a higher number than those before, so that other members can tell its records from theirs.
//! The disk stores the latest number. If the disk is full and the clock was set back, a starting member knows neither.
//! The random bits then keep two incarnations from having the same number, and
//! [`crate::registry_publisher::RegistryPublisher`] takes a higher one as soon as another member reports it.

/// Number of random low bits.
pub const TAIL_BITS: u32 = 20;
const MAX_CLOCK_MS: u64 = u64::MAX >> TAIL_BITS;
const TAIL_MASK: u64 = (1 << TAIL_BITS) - 1;

/// The number of an incarnation that starts at `clock_ms` and follows the incarnation number `before`. Its low bits
/// are taken from `random`.
pub fn next_incarnation(before: u64, clock_ms: u64, random: u64) -> u64 {
    let clock_ms = clock_ms.max((before >> TAIL_BITS) + 1).min(MAX_CLOCK_MS);
    (clock_ms << TAIL_BITS) | (random & TAIL_MASK)
}
