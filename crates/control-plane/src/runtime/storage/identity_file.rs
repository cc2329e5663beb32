//! The identity's file, and in which order it and the log come to be.

use crate::runtime::identity::{Identity, LogOwner, StoredLog};
use append_log::AppendLog;

/// Records after which the identity's file is rewritten.
const MAX_IDENTITY_RECORDS: usize = 64;

/// Stores the identity before anything else is written.
pub(super) struct IdentityFile {
    file: AppendLog,
    record_count: usize,
    is_stored: bool,
    /// Whether the log names its owner, or is of an earlier release and so can't yet.
    log_has_owner: bool,
}

impl IdentityFile {
    /// The open `file`, which holds `record_count` records.
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

    /// Stores the identity once: in the log first, as an identity without a log is never used again.
    ///
    /// # Errors
    /// If the disk refuses a write; the next call tries again.
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

/// The first record of a log.
pub(super) fn owner_record(identity: &Identity) -> Vec<u8> {
    protocol::encode_record(&LogOwner {
        identity: identity.clone(),
    })
}
