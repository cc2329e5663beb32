//! Decides to which attempt a host's response belongs. No I/O.
//!
//! A host repeats the attempt's id in its response. Connections are used for one request at a time, but a response to
//! an earlier request may still be under way on one.

use crate::headers::{ATTEMPT_ID, NOT_EXECUTED};
use http1::ResponseHead;

/// Whether a host says that it did not run the request: with 421, or with its own field and an error status. No other
/// status says so.
pub(crate) fn is_refusal(head: &ResponseHead) -> bool {
    head.status == 421 || (head.status >= 400 && head.fields.get(NOT_EXECUTED).is_some())
}

/// Which attempt a response names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NamedAttempt {
    /// The one that is waited for.
    This,
    /// Another one, or several.
    Other,
    None,
}

/// Recognizes the response to one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseMatcher<'a> {
    attempt_id: &'a [u8],
}

impl<'a> ResponseMatcher<'a> {
    /// For the attempt with this id.
    pub(crate) fn new(attempt_id: &'a [u8]) -> Self {
        Self { attempt_id }
    }

    /// Whether this head begins the response to the attempt. One without an id can only be a refusal, and only as the
    /// first response on its connection: there it can't belong to anyone else.
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
