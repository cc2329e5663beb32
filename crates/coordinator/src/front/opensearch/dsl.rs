//! The part of OpenSearch's query language that is understood: what a request asks for, or a message
//! that names the clause that isn't.

use serde_json::{Map, Value};
use std::collections::BTreeSet;
use std::time::Duration;

/// Largest `from` plus `size`. Every district may have to give so many hits, which must fit into the
/// memory of a coordinator; OpenSearch's own default is 10,000.
pub const WINDOW: usize = 1_000;

/// A request that can't be understood: OpenSearch's error type and a reason that names the clause.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{1}")]
pub struct Bad(pub &'static str, pub String);

fn unsupported(clause: &str, place: &str) -> Bad {
    Bad(
        "parsing_exception",
        format!("unsupported clause [{clause}] in [{place}]"),
    )
}

fn wrong(clause: &str, why: &str) -> Bad {
    Bad("parsing_exception", format!("[{clause}] {why}"))
}

fn illegal(reason: String) -> Bad {
    Bad("illegal_argument_exception", reason)
}

/// One key to sort by.
#[derive(Debug, Clone, PartialEq)]
pub struct SortKey {
    /// Largest first.
    pub descending: bool,
}

/// A search that was understood.
#[derive(Debug, Clone, PartialEq)]
pub struct Search {
    /// Districts that may hold hits; `None` where no filter names any.
    pub districts: Option<BTreeSet<String>>,
    /// First hit that is wanted.
    pub from: usize,
    /// Hits that are wanted.
    pub size: usize,
    /// How hits are ordered; empty means by score.
    pub sort: Vec<SortKey>,
    /// How long the client wants to wait.
    pub timeout: Option<Duration>,
    /// What hosts are asked: the request's own clauses with a window that starts at 0.
    pub forward: Map<String, Value>,
}

/// A time such as `500ms`, `2s` or `1m`.
///
/// # Errors
/// If the text is no such time, or zero.
pub fn time(name: &str, text: &str) -> Result<Duration, Bad> {
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
    let bad = || {
        illegal(format!(
            "failed to parse setting [{name}] with value [{text}] as a time value"
        ))
    };
    total
        .filter(|ms| *ms > 0)
        .map(Duration::from_millis)
        .ok_or_else(bad)
}

fn object<'a>(clause: &str, value: &'a Value) -> Result<&'a Map<String, Value>, Bad> {
    value
        .as_object()
        .ok_or_else(|| wrong(clause, "must be an object"))
}

fn only<'a>(clause: &str, value: &'a Value) -> Result<(&'a String, &'a Value), Bad> {
    let map = object(clause, value)?;
    match (map.iter().next(), map.len()) {
        (Some(entry), 1) => Ok(entry),
        _ => Err(wrong(clause, "must have exactly one field")),
    }
}

fn count(clause: &str, value: &Value) -> Result<usize, Bad> {
    let n = value.as_u64().and_then(|n| usize::try_from(n).ok());
    n.ok_or_else(|| wrong(clause, "must be a whole number, not negative"))
}

fn scalar(clause: &str, value: &Value) -> Result<String, Bad> {
    match value {
        Value::String(s) => Ok(s.clone()),
        Value::Number(n) => Ok(n.to_string()),
        Value::Bool(b) => Ok(b.to_string()),
        _ => Err(wrong(clause, "must name a single value")),
    }
}

/// Checks a point: an object, `[lon, lat]` or `"lat,lon"`.
fn point(clause: &str, value: &Value) -> Result<(), Bad> {
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
        wrong(
            clause,
            "must be a point: {lat, lon}, [lon, lat] or \"lat,lon\"",
        )
    })
}

fn distance(value: &Value) -> Result<(), Bad> {
    let bad = || wrong("distance", "must be a length such as [500m] or [2km]");
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
        .ok_or_else(bad)
}

/// Reads requests against an index with these fields.
pub struct Reader<'a> {
    /// The field that names a document's district.
    pub district_field: &'a str,
    /// The field that holds its place.
    pub location_field: &'a str,
}

impl Reader<'_> {
    /// Reads the body of a search.
    ///
    /// # Errors
    /// If a clause is not understood; the reason names it.
    pub fn search(&self, body: &Value) -> Result<Search, Bad> {
        let mut s = Search {
            districts: None,
            from: 0,
            size: 10,
            sort: vec![],
            timeout: None,
            forward: Map::new(),
        };
        for (key, value) in object("request", body)? {
            match key.as_str() {
                "query" => self.query(value, &mut s.districts)?,
                "size" => s.size = count(key, value)?,
                "from" => s.from = count(key, value)?,
                "sort" => s.sort = self.sort(value)?,
                "timeout" => s.timeout = Some(time(key, value.as_str().unwrap_or_default())?),
                "_source" | "track_total_hits" => {}
                _ => return Err(unsupported(key, "request")),
            }
            if !matches!(key.as_str(), "size" | "from" | "timeout") {
                s.forward.insert(key.clone(), value.clone());
            }
        }
        let window = s.from.saturating_add(s.size);
        if window > WINDOW {
            return Err(illegal(format!(
                "Result window is too large, from + size must be less than or equal to: [{WINDOW}] but was \
                 [{window}]"
            )));
        }
        // Any of a district's hits may be among the first of all.
        s.forward.insert("size".into(), window.into());
        Ok(s)
    }

    /// Reads the body of a count: a query and nothing else.
    ///
    /// # Errors
    /// If a clause is not understood; the reason names it.
    pub fn count(&self, body: &Value) -> Result<Search, Bad> {
        if let Some(key) = object("request", body)?.keys().find(|k| *k != "query") {
            return Err(unsupported(key, "request"));
        }
        let mut s = self.search(body)?;
        s.size = 0;
        s.forward.insert("size".into(), 0.into());
        s.forward.insert("track_total_hits".into(), true.into());
        Ok(s)
    }

    /// Reads one query; what it says about districts narrows `districts` down.
    fn query(&self, query: &Value, districts: &mut Option<BTreeSet<String>>) -> Result<(), Bad> {
        let (kind, value) = only("query", query)?;
        match kind.as_str() {
            "match_all" => match object(kind, value)?.keys().next() {
                Some(key) => Err(unsupported(key, kind)),
                None => Ok(()),
            },
            "bool" => {
                for (key, clauses) in object(kind, value)? {
                    if key != "filter" {
                        return Err(unsupported(key, kind));
                    }
                    match clauses {
                        Value::Array(all) => {
                            all.iter().try_for_each(|q| self.query(q, districts))?;
                        }
                        one => self.query(one, districts)?,
                    }
                }
                Ok(())
            }
            "term" => self.term(kind, value, districts),
            "terms" => {
                let (field, values) = only(kind, value)?;
                let values = values
                    .as_array()
                    .ok_or_else(|| wrong(kind, "must list values"))?;
                let values = values
                    .iter()
                    .map(|v| scalar(kind, v))
                    .collect::<Result<_, _>>()?;
                self.narrow(field, values, districts);
                Ok(())
            }
            "geo_distance" => self.geo_distance(kind, value),
            other => Err(unsupported(other, "query")),
        }
    }

    fn term(
        &self,
        kind: &str,
        value: &Value,
        districts: &mut Option<BTreeSet<String>>,
    ) -> Result<(), Bad> {
        let (field, value) = only(kind, value)?;
        let value = match value.as_object() {
            Some(map) => match (map.get("value"), map.len()) {
                (Some(value), 1) => value,
                _ => return Err(wrong(kind, "must have a [value] and nothing else")),
            },
            None => value,
        };
        self.narrow(field, [scalar(kind, value)?].into(), districts);
        Ok(())
    }

    fn geo_distance(&self, kind: &str, value: &Value) -> Result<(), Bad> {
        let map = object(kind, value)?;
        for (key, value) in map {
            match key.as_str() {
                "distance" => distance(value)?,
                "distance_type" if matches!(value.as_str(), Some("arc" | "plane")) => {}
                field if field == self.location_field => point(field, value)?,
                other => return Err(unsupported(other, kind)),
            }
        }
        if map.contains_key("distance") && map.contains_key(self.location_field) {
            Ok(())
        } else {
            Err(wrong(kind, "needs a distance and a point"))
        }
    }

    fn narrow(
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

    fn sort(&self, sort: &Value) -> Result<Vec<SortKey>, Bad> {
        match sort {
            Value::Array(keys) => keys.iter().map(|k| self.sort_key(k)).collect(),
            key => Ok(vec![self.sort_key(key)?]),
        }
    }

    fn sort_key(&self, key: &Value) -> Result<SortKey, Bad> {
        if let Some(field) = key.as_str() {
            return Ok(SortKey {
                descending: field == "_score",
            });
        }
        let (field, options) = only("sort", key)?;
        let by_place = field == "_geo_distance";
        let mut descending = field == "_score";
        let order = |text: Option<&str>| match text {
            Some("asc") => Ok(false),
            Some("desc") => Ok(true),
            _ => Err(wrong("order", "must be [asc] or [desc]")),
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
                place if by_place && place == self.location_field => point(place, value)?,
                other => return Err(unsupported(other, "sort")),
            }
        }
        if by_place && !options.contains_key(self.location_field) {
            return Err(wrong("_geo_distance", "needs a point"));
        }
        Ok(SortKey { descending })
    }
}
