//! What a puller has and wants, according to the version vector that it sends.

use protocol::OriginVersion;
use std::collections::HashMap;

/// Sequence number in a version vector by which a process asks for no more records of this incarnation or earlier ones.
pub(super) const NO_MORE_RECORDS: u64 = u64::MAX;

/// Records that a puller has, according to its version vector.
pub(super) struct KnownVersions {
    /// Sequence number by member id and incarnation.
    sequences: HashMap<(u64, u64), u64>,
    /// Incarnation, by member id, up to which the puller wants no more records.
    dropped: HashMap<u64, u64>,
}

impl KnownVersions {
    pub(super) fn of(version_vector: &[OriginVersion]) -> Self {
        let mut known = KnownVersions {
            sequences: HashMap::new(),
            dropped: HashMap::new(),
        };
        for version in version_vector {
            if version.sequence == NO_MORE_RECORDS {
                let up_to = known.dropped.entry(version.member_id).or_default();
                *up_to = (*up_to).max(version.incarnation);
            } else {
                let key = (version.member_id, version.incarnation);
                known.sequences.insert(key, version.sequence);
            }
        }
        known
    }

    pub(super) fn sequence(&self, version: OriginVersion) -> Option<u64> {
        let key = (version.member_id, version.incarnation);
        self.sequences.get(&key).copied()
    }

    /// Whether the puller lacks records of this version. It doesn't if it has them, or if it has dropped this
    /// incarnation or a later one and has no records of this one.
    pub(super) fn lacks(&self, version: OriginVersion) -> bool {
        match self.sequence(version) {
            Some(sequence) => sequence < version.sequence,
            None => self
                .dropped
                .get(&version.member_id)
                .is_none_or(|up_to| version.incarnation > *up_to),
        }
    }

    /// Whether the puller has records of an origin that was removed up to this incarnation, and doesn't know of the
    /// removal.
    pub(super) fn lacks_removal(&self, member_id: u64, removed_up_to: u64) -> bool {
        let latest = self
            .sequences
            .keys()
            .filter(|(id, _)| *id == member_id)
            .map(|(_, incarnation)| *incarnation)
            .max();
        latest.is_some_and(|incarnation| incarnation <= removed_up_to)
            && self
                .dropped
                .get(&member_id)
                .is_none_or(|dropped| *dropped < removed_up_to)
    }
}
