//! The identity file, and the order in which it and the log are created.

use crate::runtime::identity::{Identity, LogOwner, StoredLog};
use append_log::AppendLog;

/// Number of records after which the identity file is rewritten with the latest one.
const MAX_IDENTITY_RECORDS: usize = 64;

/// The identity file. Stores the identity before any other write to the log.
pub(super) struct IdentityFile {
    file: AppendLog,
    record_count: usize,
    is_stored: bool,
    /// Whether the log needs no owner record: it has one, or it was written by an earlier release.
    log_has_owner: bool,
}

impl IdentityFile {
    /// Wraps the open `file`, which holds `record_count` records.
    pub(super) fn new(
        file: AppendLog,
        record_count: usize,
        identity: &Identity,
        stored_log: &StoredLog,
    ) -> Self {
        let is_own_log = stored_log
            .owner
            .as_ref()
            .is_some_and(|owner| owner.id == identity.id);
        Self {
            file,
            record_count,
            is_stored: false,
            log_has_owner: is_own_log || !stored_log.records.is_empty(),
        }
    }

    /// Stores the identity if that hasn't been done yet: first in the log, as an identity without a log is never used
    /// again.
    ///
    /// # Errors
    /// Returns an error if a write fails; the next call retries.
    pub(super) fn store(
        &mut self,
        identity: &Identity,
        log: &mut AppendLog,
    ) -> Result<(), append_log::Error> {
        if self.is_stored {
            return Ok(());
        }
        if !self.log_has_owner {
            log.rewrite(&[&owner_record(identity)])?;
            self.log_has_owner = true;
        }
        let record = protocol::encode_record(identity);
        if self.record_count < MAX_IDENTITY_RECORDS {
            self.file.append(&[&record])?;
        } else {
            self.file.rewrite(&[&record])?;
        }
        self.is_stored = true;
        Ok(())
    }
}

/// Returns the first record of a log, which names its owner.
pub(super) fn owner_record(identity: &Identity) -> Vec<u8> {
    protocol::encode_record(&LogOwner {
        identity: identity.clone(),
    })
}
