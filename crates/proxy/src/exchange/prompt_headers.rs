//! What requests and answers tell the policy: the prompt's parts, its size, the host's load.

use balancing::Load;
use http1::Fields;

pub(super) fn parts(text: Option<&str>) -> Vec<(u64, u32)> {
    let part = |p: &str| {
        let (id, tokens) = p.trim().split_once(':')?;
        Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
    };
    text.and_then(|t| t.split(',').map(part).collect())
        .unwrap_or_default()
}

pub(super) fn tokens(text: Option<&str>) -> (u32, u32) {
    let number = |t: &str| t.trim().parse().unwrap_or(0);
    text.and_then(|t| t.split_once(','))
        .map_or((0, 0), |(a, b)| (number(a), number(b)))
}

pub(super) fn load(fields: &Fields) -> Option<Load> {
    let mut numbers = fields
        .get_str("fennelpin-host-load")?
        .split(',')
        .map(|n| n.trim().parse().ok());
    let mut next = || numbers.next().flatten();
    Some(Load {
        running: next()?,
        waiting: next()?,
        slots: next()?,
    })
}
