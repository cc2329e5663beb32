//! The fronts: each turns its clients' requests into queries for the core and answers back.

pub mod opensearch;
pub mod platform;

use crate::net::http::{Request, Response, ResponseFuture, Service};
use opensearch::OpenSearch;
use platform::Platform;

/// All fronts on the one address where clients connect.
pub struct Fronts {
    /// The platform's own.
    pub platform: Platform,
    /// The OpenSearch-style one, where an operator's file sets it up.
    pub opensearch: Option<OpenSearch>,
}

impl Service for Fronts {
    fn answer(&self, request: Request) -> ResponseFuture {
        let other = self.opensearch.as_ref().and_then(|o| o.answer(&request));
        other.unwrap_or_else(|| self.platform.answer(request))
    }

    fn error(&self, status: u16, reason: &str) -> Response {
        match &self.opensearch {
            Some(_) => OpenSearch::error(status, reason),
            None => self.platform.error(status, reason),
        }
    }

    fn no_slot(&self, request: &Request) -> Response {
        match &self.opensearch {
            Some(_) => OpenSearch::error(503, "too many clients"),
            None => self.platform.no_slot(request),
        }
    }
}
