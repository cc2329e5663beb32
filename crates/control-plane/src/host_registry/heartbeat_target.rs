//! Spreads hosts over the members that take their heartbeats.

use protocol::MemberInfo;

/// The member that a host's later heartbeats should go to; `None` if that is the member `own_id` itself.
///
/// Rendezvous hashing over the members that can be reached: when one leaves, only its hosts move.
pub fn heartbeat_target<'a>(
    host: &str,
    own_id: u64,
    reachable: &'a [MemberInfo],
) -> Option<&'a MemberInfo> {
    let best = reachable.iter().max_by_key(|member| {
        (
            replication::rendezvous_weight(host, &member.id.to_be_bytes()),
            member.id,
        )
    })?;
    (best.id != own_id).then_some(best)
}
