//! The value that a modelled host answers with.

/// The value of an attempt, as it goes over the wire: 16 hex digits.
pub fn wire_value(attempt: u64) -> String {
    format!("{attempt:016x}")
}
