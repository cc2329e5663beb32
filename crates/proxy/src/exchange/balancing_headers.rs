//! Parses the header fields that matter to load balancing: a prompt's parts and size, a host's load.

use crate::headers::HOST_LOAD;
use balancing::Load;
use http1::Fields;

/// Parts of a prompt, each with its id (in hexadecimal) and its tokens: `1f:100,2a:7`. Empty if any of them is
/// malformed.
pub(super) fn prompt_parts(value: Option<&str>) -> Vec<(u64, u32)> {
    value
        .and_then(|list| list.split(',').map(prompt_part).collect())
        .unwrap_or_default()
}

fn prompt_part(item: &str) -> Option<(u64, u32)> {
    let (id, tokens) = item.trim().split_once(':')?;
    Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
}

/// Tokens of a prompt and of the longest response: `300,50`. What is missing or malformed counts as 0.
pub(super) fn token_counts(value: Option<&str>) -> (u32, u32) {
    let Some((prompt, response)) = value.and_then(|list| list.split_once(',')) else {
        return (0, 0);
    };
    let count = |text: &str| text.trim().parse().unwrap_or(0);
    (count(prompt), count(response))
}

/// The load that a host gives in its response; `None` if there is none or it is malformed.
pub(super) fn host_load(fields: &Fields) -> Option<Load> {
    let mut numbers = fields
        .get_str(HOST_LOAD)?
        .split(',')
        .map_while(|number| number.trim().parse().ok());
    Some(Load {
        running: numbers.next()?,
        waiting: numbers.next()?,
        slots: numbers.next()?,
    })
}
