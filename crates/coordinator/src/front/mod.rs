//! The client APIs: each parses its clients' requests into queries for the core and formats the answers.

pub mod opensearch;
pub mod platform;

use crate::net::http::{Request, Response, ResponseFuture, Service};
use opensearch::OpenSearch;
use platform::Platform;

/// All client APIs, served on one address.
pub struct Fronts {
    /// The platform's API.
    pub platform: Platform,
    /// The OpenSearch-style API, if the operator's file configures it.
    pub opensearch: Option<OpenSearch>,
}

impl Service for Fronts {
    fn answer(&self, request: Request) -> ResponseFuture {
        let opensearch_answer = self.opensearch.as_ref().and_then(|o| o.answer(&request));
        opensearch_answer.unwrap_or_else(|| self.platform.answer(request))
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
