//! Parses the header fields that load balancing uses: the parts and size of a prompt, and the load of a host.

use crate::headers::HOST_LOAD;
use balancing::{HostLoad, PromptPart};
use http1::Fields;

/// Parses the parts of a prompt, each with its id in hexadecimal and its number of tokens: `1f:100,2a:7`. Empty if any
/// part is malformed.
pub(super) fn prompt_parts(value: Option<&str>) -> Vec<PromptPart> {
    value
        .and_then(|list| list.split(',').map(prompt_part).collect())
        .unwrap_or_default()
}

fn prompt_part(item: &str) -> Option<PromptPart> {
    let (id, tokens) = item.trim().split_once(':')?;
    Some(PromptPart {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Parses the number of tokens of a prompt, the first of the two counts in `300,50`. 0 if there are not two, or if the
/// first one is malformed.
pub(super) fn prompt_tokens(value: Option<&str>) -> u32 {
    let Some((prompt, _max_response)) = value.and_then(|list| list.split_once(',')) else {
        return 0;
    };
    prompt.trim().parse().unwrap_or(0)
}

/// Sums the tokens of a prompt and of the longest response, the two counts in `300,50`. `None` if there are not two, or
/// if one is malformed.
pub(super) fn total_tokens(value: Option<&str>) -> Option<f64> {
    let (prompt, response) = value?.split_once(',')?;
    let count = |text: &str| text.trim().parse::<u32>().ok().map(f64::from);
    Some(count(prompt)? + count(response)?)
}

/// Parses the load that a host reports in its response; `None` if it is missing or malformed.
pub(super) fn host_load(fields: &Fields) -> Option<HostLoad> {
    let mut numbers = fields
        .get_str(HOST_LOAD)?
        .split(',')
        .map_while(|number| number.trim().parse().ok());
    Some(HostLoad {
        running: numbers.next()?,
        waiting: numbers.next()?,
        slots: numbers.next()?,
    })
}
