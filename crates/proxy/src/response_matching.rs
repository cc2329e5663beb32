//! Decides which attempt a host's response belongs to. No I/O.
//!
//! A host repeats the attempt's id in its response. A connection carries one request at a time, but the response to an
//! earlier request may still arrive on it.

use crate::headers::{ATTEMPT_ID, NOT_EXECUTED};
use http1::ResponseHead;

/// Whether a host states that it did not run the request: by status 421, or by an error status with the
/// `Fennelpin-Not-Executed` field. No status other than 421 is enough without that field.
pub(crate) fn is_refusal(head: &ResponseHead) -> bool {
    head.status == 421 || (head.status >= 400 && head.fields.get(NOT_EXECUTED).is_some())
}

/// The attempt that a response names in its id field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NamedAttempt {
    /// The attempt whose response is awaited.
    This,
    /// Another attempt, or several.
    Other,
    None,
}

/// Recognizes the response to one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseMatcher<'a> {
    attempt_id: &'a [u8],
}

impl<'a> ResponseMatcher<'a> {
    /// Creates a matcher for the attempt with this id.
    pub(crate) fn new(attempt_id: &'a [u8]) -> Self {
        Self { attempt_id }
    }

    /// Whether this is the head of the response to the attempt. A response without an id matches only if it is a
    /// refusal and the first response on its connection, as it then can't belong to another request.
    pub(crate) fn matches(&self, head: &ResponseHead, first_on_connection: bool) -> bool {
        match self.named_attempt(head) {
            NamedAttempt::This => true,
            NamedAttempt::None => first_on_connection && is_refusal(head),
            NamedAttempt::Other => false,
        }
    }

    fn named_attempt(&self, head: &ResponseHead) -> NamedAttempt {
        let mut ids = head.fields.get_all(ATTEMPT_ID);
        match (ids.next(), ids.next()) {
            (Some(id), None) if id == self.attempt_id => NamedAttempt::This,
            (None, _) => NamedAttempt::None,
            _ => NamedAttempt::Other,
        }
    }
}
