//! The `_msearch` request: several searches that run concurrently.

use super::answer::Failure;
use super::dsl::Search;
use super::params::{json_body, Params};
use super::{illegal_argument, ok_response, OpenSearch, ResponseResult, SearchOptions};
use crate::net::http::Request;
use serde_json::{json, Value};
use std::future::Future;
use std::pin::Pin;
use tokio::task::JoinSet;

/// Maximum number of searches in one `_msearch`.
const MAX_SEARCHES: usize = 32;

/// The name of an index, and the search in it or the error of that search.
type PreparedSearch = (String, Result<(Search, SearchOptions), Failure>);

impl OpenSearch {
    pub(super) fn msearch(
        &self,
        default: &str,
        request: &Request,
    ) -> Pin<Box<dyn Future<Output = ResponseResult> + Send>> {
        let api = self.clone();
        let prepared = self.prepare_many(default, request);
        let arrived = request.arrived;
        Box::pin(async move {
            let mut running = JoinSet::new();
            let prepared = prepared?;
            let mut answers: Vec<Value> = vec![Value::Null; prepared.len()];
            for (n, (name, prepared_search)) in prepared.into_iter().enumerate() {
                let api = api.clone();
                running.spawn(async move {
                    let answer = match prepared_search {
                        Ok((search, options)) => api
                            .run_search(name.clone(), search.clone(), options)
                            .await
                            .map(|merged| {
                                let mut body = merged.search_body(
                                    &name,
                                    &search,
                                    arrived.elapsed().as_millis(),
                                );
                                body["status"] = 200.into();
                                body
                            }),
                        Err(e) => Err(e),
                    };
                    (n, answer.unwrap_or_else(|e| e.body(&name)))
                });
            }
            while let Some(done) = running.join_next().await {
                let (n, answer) =
                    done.map_err(|e| Failure::new(500, "exception", e.to_string()))?;
                answers[n] = answer;
            }
            Ok(ok_response(
                &json!({"took": arrived.elapsed().as_millis() as u64, "responses": answers}),
            ))
        })
    }

    fn prepare_many(
        &self,
        default: &str,
        request: &Request,
    ) -> Result<Vec<PreparedSearch>, Failure> {
        let params = Params::read(request, &["timeout", "allow_partial_search_results"])?;
        let body = std::str::from_utf8(&request.body)
            .map_err(|_| illegal_argument("the body is no text".into()))?;
        let Some(body) = body.strip_suffix('\n') else {
            return Err(illegal_argument(
                "The msearch request must be terminated by a newline [\n]".into(),
            ));
        };
        let lines: Vec<&str> = body.split('\n').collect();
        if !lines.len().is_multiple_of(2) || lines.len() / 2 > MAX_SEARCHES {
            return Err(illegal_argument(format!(
                "an msearch is up to {MAX_SEARCHES} pairs of lines"
            )));
        }
        let prepare_pair = |pair: &[&str]| {
            let head = json_body(pair[0].as_bytes())?;
            let fields = head.as_object().into_iter().flatten();
            if let Some((key, _)) = fields
                .clone()
                .find(|(k, v)| *k != "index" || !v.is_string())
            {
                return Err(illegal_argument(format!(
                    "key [{key}] is not supported in the metadata section"
                )));
            }
            let name = head["index"].as_str().unwrap_or(default).to_owned();
            let search = (|| -> Result<_, Failure> {
                let index = self.index(&name)?;
                let options = self.search_options(request, &params, index)?;
                Ok((
                    self.search_parser(index)
                        .search(&json_body(pair[1].as_bytes())?)?,
                    options,
                ))
            })();
            Ok((name, search))
        };
        lines.chunks(2).map(prepare_pair).collect()
    }
}
