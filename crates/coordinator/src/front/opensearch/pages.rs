//! A scroll's further pages, and its end.

use super::params::{json_body, keep_alive, Params};
use super::{illegal, ok, Answered, OpenSearch};
use crate::net::http::{Request, Response};
use serde_json::{json, Value};
use std::time::Instant;

impl OpenSearch {
    /// The next page of a scroll: from memory, so at once.
    pub(super) fn page(&self, request: &Request) -> Answered {
        let params = Params::read(request, &["scroll", "scroll_id"])?;
        let body = json_body(&request.body)?;
        let fields = body.as_object().into_iter().flatten();
        if let Some((key, _)) = fields
            .clone()
            .find(|(k, v)| !matches!(k.as_str(), "scroll" | "scroll_id") || !v.is_string())
        {
            return Err(illegal(format!(
                "Unknown parameter [{key}] in request body"
            )));
        }
        let text = |name: &str| body[name].as_str().or(params.get(name));
        let id = text("scroll_id").ok_or_else(|| illegal("scroll_id is missing".into()))?;
        let keep = text("scroll").map(keep_alive).transpose()?;
        let arrived = request.arrived;
        let page = self.scrolls().next(id, keep, Instant::now(), |c| {
            c.merged
                .search(&c.index, &c.search, arrived.elapsed().as_millis())
        });
        let mut page = page.inspect_err(|_| self.0.counters.inc("opensearch.scroll_missing"))?;
        page["_scroll_id"] = id.into();
        Ok(ok(&page))
    }

    pub(super) fn free(&self, all: bool, request: &Request) -> Answered {
        let body = json_body(&request.body)?;
        let ids: Vec<String> = match &body["scroll_id"] {
            Value::String(id) => vec![id.clone()],
            Value::Array(ids) => ids
                .iter()
                .filter_map(Value::as_str)
                .map(str::to_owned)
                .collect(),
            _ if all => vec![],
            _ => return Err(illegal("scroll_id is missing".into())),
        };
        let freed = self
            .scrolls()
            .free((!all).then_some(&ids[..]), Instant::now())?;
        let status = if freed > 0 || all { 200 } else { 404 };
        Ok(Response::json(
            status,
            json!({"succeeded": true, "num_freed": freed}).to_string(),
        ))
    }
}
