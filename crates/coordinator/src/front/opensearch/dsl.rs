//! A parser of the supported part of OpenSearch's query language. Its errors name the unsupported or invalid clause.

use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum of `from` plus `size`. Every district may return this many hits, which must fit into the coordinator's
/// memory; OpenSearch's own default is 10,000.
pub const MAX_RESULT_WINDOW: usize = 1_000;

/// An unsupported or invalid request: OpenSearch's error type and a reason that names the clause.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{1}")]
pub struct QueryError(pub &'static str, pub String);

fn unsupported(clause: &str, place: &str) -> QueryError {
    QueryError(
        "parsing_exception",
        format!("unsupported clause [{clause}] in [{place}]"),
    )
}

fn invalid_clause(clause: &str, reason: &str) -> QueryError {
    QueryError("parsing_exception", format!("[{clause}] {reason}"))
}

fn illegal_argument(reason: String) -> QueryError {
    QueryError("illegal_argument_exception", reason)
}

/// One key to sort by.
#[derive(Debug, Clone, PartialEq)]
pub struct SortKey {
    /// Whether the largest value comes first.
    pub descending: bool,
}

/// A parsed search.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// The districts that may hold hits; `None` if no filter names any.
    pub districts: Option<BTreeSet<String>>,
    /// The number of hits to skip.
    pub from: usize,
    /// The maximum number of hits to return.
    pub size: usize,
    /// The sort keys, most significant first; empty means by score.
    pub sort: Vec<SortKey>,
    /// The wait that the client asks for.
    pub timeout: Option<Duration>,
    /// The body of the search sent to hosts: the request's clauses, with a result window that starts at 0.
    pub forward: Map<String, Value>,
}

/// Parses a time such as `500ms`, `2s` or `1m`. `name` is the setting that errors name.
///
/// # Errors
/// If the text is not such a time, or is zero.
pub fn parse_time(name: &str, text: &str) -> Result<Duration, QueryError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let ms = match unit {
        "ms" => Some(1),
        "s" => Some(1000),
        "m" => Some(60_000),
        "h" => Some(3_600_000),
        _ => None,
    };
    let total = ms
        .zip(number.parse::<u64>().ok())
        .and_then(|(ms, n)| n.checked_mul(ms));
    let invalid = || {
        illegal_argument(format!(
            "failed to parse setting [{name}] with value [{text}] as a time value"
        ))
    };
    total
        .filter(|ms| *ms > 0)
        .map(Duration::from_millis)
        .ok_or_else(invalid)
}

fn as_object<'a>(clause: &str, value: &'a Value) -> Result<&'a Map<String, Value>, QueryError> {
    value
        .as_object()
        .ok_or_else(|| invalid_clause(clause, "must be an object"))
}

/// The single entry of an object.
fn single_entry<'a>(clause: &str, value: &'a Value) -> Result<(&'a String, &'a Value), QueryError> {
    let map = as_object(clause, value)?;
    match (map.iter().next(), map.len()) {
        (Some(entry), 1) => Ok(entry),
        _ => Err(invalid_clause(clause, "must have exactly one field")),
    }
}

fn as_count(clause: &str, value: &Value) -> Result<usize, QueryError> {
    let n = value.as_u64().and_then(|n| usize::try_from(n).ok());
    n.ok_or_else(|| invalid_clause(clause, "must be a whole number, not negative"))
}

/// The text of a string, number or boolean.
fn scalar_text(clause: &str, value: &Value) -> Result<String, QueryError> {
    match value {
        Value::String(s) => Ok(s.clone()),
        Value::Number(n) => Ok(n.to_string()),
        Value::Bool(b) => Ok(b.to_string()),
        _ => Err(invalid_clause(clause, "must name a single value")),
    }
}

/// Checks a point: an object, `[lon, lat]` or `"lat,lon"`.
fn check_point(clause: &str, value: &Value) -> Result<(), QueryError> {
    let pair = match value {
        Value::Object(m) if m.len() == 2 => m
            .get("lat")
            .and_then(Value::as_f64)
            .zip(m.get("lon").and_then(Value::as_f64)),
        Value::Array(a) if a.len() == 2 => a[1].as_f64().zip(a[0].as_f64()),
        Value::String(s) => {
            let number = |t: &str| t.trim().parse::<f64>().ok();
            s.split_once(',')
                .and_then(|(lat, lon)| number(lat).zip(number(lon)))
        }
        _ => None,
    };
    let on_earth = pair.filter(|(lat, lon)| lat.abs() <= 90.0 && lon.abs() <= 180.0);
    on_earth.map(|_| ()).ok_or_else(|| {
        invalid_clause(
            clause,
            "must be a point: {lat, lon}, [lon, lat] or \"lat,lon\"",
        )
    })
}

/// Checks a distance: a positive number, with or without a unit.
fn check_distance(value: &Value) -> Result<(), QueryError> {
    let invalid = || invalid_clause("distance", "must be a length such as [500m] or [2km]");
    let metres = match value {
        Value::Number(n) => n.as_f64(),
        Value::String(s) => {
            let at = s.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(s.len());
            let (number, unit) = s.split_at(at);
            let known = matches!(
                unit,
                "" | "m" | "km" | "mi" | "yd" | "ft" | "cm" | "mm" | "nmi" | "NM"
            );
            number.trim().parse::<f64>().ok().filter(|_| known)
        }
        _ => None,
    };
    metres
        .filter(|m| m.is_finite() && *m > 0.0)
        .map(|_| ())
        .ok_or_else(invalid)
}

/// A parser of requests to an index with these fields.
pub struct SearchParser<'a> {
    /// The document field with the name of the district.
    pub district_field: &'a str,
    /// The document field with the location.
    pub location_field: &'a str,
}

impl SearchParser<'_> {
    /// Parses the body of a search.
    ///
    /// # Errors
    /// If a clause is unsupported or invalid; the reason names it.
    pub fn search(&self, body: &Value) -> Result<Search, QueryError> {
        let mut s = Search {
            districts: None,
            from: 0,
            size: 10,
            sort: vec![],
            timeout: None,
            forward: Map::new(),
        };
        for (key, value) in as_object("request", body)? {
            match key.as_str() {
                "query" => self.check_query(value, &mut s.districts)?,
                "size" => s.size = as_count(key, value)?,
                "from" => s.from = as_count(key, value)?,
                "sort" => s.sort = self.parse_sort(value)?,
                "timeout" => s.timeout = Some(parse_time(key, value.as_str().unwrap_or_default())?),
                "_source" | "track_total_hits" => {}
                _ => return Err(unsupported(key, "request")),
            }
            if !matches!(key.as_str(), "size" | "from" | "timeout") {
                s.forward.insert(key.clone(), value.clone());
            }
        }
        let window = s.from.saturating_add(s.size);
        if window > MAX_RESULT_WINDOW {
            return Err(illegal_argument(format!(
                "Result window is too large, from + size must be less than or equal to: [{MAX_RESULT_WINDOW}] but was \
                 [{window}]"
            )));
        }
        // Each district's first `from + size` hits may be among the first of all districts.
        s.forward.insert("size".into(), window.into());
        Ok(s)
    }

    /// Parses the body of a count: a query and no other clause.
    ///
    /// # Errors
    /// If a clause is unsupported or invalid; the reason names it.
    pub fn count(&self, body: &Value) -> Result<Search, QueryError> {
        if let Some(key) = as_object("request", body)?.keys().find(|k| *k != "query") {
            return Err(unsupported(key, "request"));
        }
        let mut s = self.search(body)?;
        s.size = 0;
        s.forward.insert("size".into(), 0.into());
        s.forward.insert("track_total_hits".into(), true.into());
        Ok(s)
    }

    /// Checks one query, and restricts `districts` to those that it names.
    fn check_query(
        &self,
        query: &Value,
        districts: &mut Option<BTreeSet<String>>,
    ) -> Result<(), QueryError> {
        let (kind, value) = single_entry("query", query)?;
        match kind.as_str() {
            "match_all" => match as_object(kind, value)?.keys().next() {
                Some(key) => Err(unsupported(key, kind)),
                None => Ok(()),
            },
            "bool" => {
                for (key, clauses) in as_object(kind, value)? {
                    if key != "filter" {
                        return Err(unsupported(key, kind));
                    }
                    match clauses {
                        Value::Array(all) => {
                            all.iter()
                                .try_for_each(|q| self.check_query(q, districts))?;
                        }
                        one => self.check_query(one, districts)?,
                    }
                }
                Ok(())
            }
            "term" => self.check_term(kind, value, districts),
            "terms" => {
                let (field, values) = single_entry(kind, value)?;
                let values = values
                    .as_array()
                    .ok_or_else(|| invalid_clause(kind, "must list values"))?;
                let values = values
                    .iter()
                    .map(|v| scalar_text(kind, v))
                    .collect::<Result<_, _>>()?;
                self.restrict_districts(field, values, districts);
                Ok(())
            }
            "geo_distance" => self.check_geo_distance(kind, value),
            other => Err(unsupported(other, "query")),
        }
    }

    fn check_term(
        &self,
        kind: &str,
        value: &Value,
        districts: &mut Option<BTreeSet<String>>,
    ) -> Result<(), QueryError> {
        let (field, value) = single_entry(kind, value)?;
        let value = match value.as_object() {
            Some(map) => match (map.get("value"), map.len()) {
                (Some(value), 1) => value,
                _ => return Err(invalid_clause(kind, "must have a [value] and nothing else")),
            },
            None => value,
        };
        self.restrict_districts(field, [scalar_text(kind, value)?].into(), districts);
        Ok(())
    }

    fn check_geo_distance(&self, kind: &str, value: &Value) -> Result<(), QueryError> {
        let map = as_object(kind, value)?;
        for (key, value) in map {
            match key.as_str() {
                "distance" => check_distance(value)?,
                "distance_type" if matches!(value.as_str(), Some("arc" | "plane")) => {}
                field if field == self.location_field => check_point(field, value)?,
                other => return Err(unsupported(other, kind)),
            }
        }
        if map.contains_key("distance") && map.contains_key(self.location_field) {
            Ok(())
        } else {
            Err(invalid_clause(kind, "needs a distance and a point"))
        }
    }

    fn restrict_districts(
        &self,
        field: &str,
        values: BTreeSet<String>,
        districts: &mut Option<BTreeSet<String>>,
    ) {
        if field == self.district_field {
            *districts = Some(match districts.take() {
                Some(old) => old.intersection(&values).cloned().collect(),
                None => values,
            });
        }
    }

    fn parse_sort(&self, sort: &Value) -> Result<Vec<SortKey>, QueryError> {
        match sort {
            Value::Array(keys) => keys.iter().map(|k| self.parse_sort_key(k)).collect(),
            key => Ok(vec![self.parse_sort_key(key)?]),
        }
    }

    fn parse_sort_key(&self, key: &Value) -> Result<SortKey, QueryError> {
        if let Some(field) = key.as_str() {
            return Ok(SortKey {
                descending: field == "_score",
            });
        }
        let (field, options) = single_entry("sort", key)?;
        let by_place = field == "_geo_distance";
        let mut descending = field == "_score";
        let order = |text: Option<&str>| match text {
            Some("asc") => Ok(false),
            Some("desc") => Ok(true),
            _ => Err(invalid_clause("order", "must be [asc] or [desc]")),
        };
        let Some(options) = options.as_object() else {
            return Ok(SortKey {
                descending: order(options.as_str())?,
            });
        };
        for (name, value) in options {
            match name.as_str() {
                "order" => descending = order(value.as_str())?,
                "unit" | "distance_type" if by_place => {}
                place if by_place && place == self.location_field => check_point(place, value)?,
                other => return Err(unsupported(other, "sort")),
            }
        }
        if by_place && !options.contains_key(self.location_field) {
            return Err(invalid_clause("_geo_distance", "needs a point"));
        }
        Ok(SortKey { descending })
    }
}
