//! The requests for the further pages of a scroll and for its release.

use super::params::{json_body, keep_alive, Params};
use super::{illegal_argument, ok_response, OpenSearch, ResponseResult};
use crate::net::http::{Request, Response};
use serde_json::{json, Value};
use std::time::Instant;

impl OpenSearch {
    /// Returns the next page of a scroll, from memory.
    pub(super) fn scroll_page(&self, request: &Request) -> ResponseResult {
        let params = Params::read(request, &["scroll", "scroll_id"])?;
        let body = json_body(&request.body)?;
        let fields = body.as_object().into_iter().flatten();
        if let Some((key, _)) = fields
            .clone()
            .find(|(k, v)| !matches!(k.as_str(), "scroll" | "scroll_id") || !v.is_string())
        {
            return Err(illegal_argument(format!(
                "Unknown parameter [{key}] in request body"
            )));
        }
        let text = |name: &str| body[name].as_str().or(params.get(name));
        let id =
            text("scroll_id").ok_or_else(|| illegal_argument("scroll_id is missing".into()))?;
        let keep_alive = text("scroll").map(keep_alive).transpose()?;
        let arrived = request.arrived;
        let page = self
            .scrolls()
            .next_page(id, keep_alive, Instant::now(), |context| {
                context.merged.search_body(
                    &context.index,
                    &context.search,
                    arrived.elapsed().as_millis(),
                )
            });
        let mut page = page.inspect_err(|_| self.0.counters.inc("opensearch.scroll_missing"))?;
        page["_scroll_id"] = id.into();
        Ok(ok_response(&page))
    }

    /// Frees the scroll contexts that the body names, or all.
    pub(super) fn free_scrolls(&self, all: bool, request: &Request) -> ResponseResult {
        let body = json_body(&request.body)?;
        let ids: Vec<String> = match &body["scroll_id"] {
            Value::String(id) => vec![id.clone()],
            Value::Array(ids) => ids
                .iter()
                .filter_map(Value::as_str)
                .map(str::to_owned)
                .collect(),
            _ if all => vec![],
            _ => return Err(illegal_argument("scroll_id is missing".into())),
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
