//! What requests and answers tell the policy: the prompt's parts, its size, the host's load.

use balancing::{HostLoad, PromptPart};
use http1::Fields;

pub(super) fn parts(text: Option<&str>) -> Vec<PromptPart> {
    let part = |p: &str| {
        let (id, tokens) = p.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    text.and_then(|t| t.split(',').map(part).collect())
        .unwrap_or_default()
}

/// Length of the prompt in tokens; 0 where the header doesn't hold two fields.
pub(super) fn prompt_tokens(text: Option<&str>) -> u32 {
    text.and_then(|t| t.split_once(','))
        .map_or(0, |(prompt, _max_output)| {
            prompt.trim().parse().unwrap_or(0)
        })
}

pub(super) fn load(fields: &Fields) -> Option<HostLoad> {
    let mut numbers = fields
        .get_str("fennelpin-host-load")?
        .split(',')
        .map(|n| n.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(HostLoad {
        running: next()?,
        waiting: next()?,
        slots: next()?,
    })
}
