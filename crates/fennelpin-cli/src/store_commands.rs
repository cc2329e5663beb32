//! The operators' commands about a member's files.

use crate::error::{
    BackupFailedSnafu, CliError, CorruptFileSnafu, NewerMembershipSnafu, RandomUnavailableSnafu,
    RecoveryRefusedSnafu, StoreSnafu,
};
use append_log::AppendLog;
use control_plane::recovery::{latest_epoch, SurvivingReplica};
use snafu::{ensure, ResultExt};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// Names of the files in a member's folder.
const IDENTITY_FILE: &str = "identity";
const STATE_FILE: &str = "ledger";
/// The host registry. This file may be missing: the hosts' heartbeats bring its content again.
const HOSTS_FILE: &str = "roster";
/// Extension of the backups that a recovery keeps of the files that it writes anew.
const BACKUP_EXTENSION: &str = "before-recovery";

/// The files that are there, or have to be.
fn file_names(dir: &Path) -> impl Iterator<Item = &'static str> + use<'_> {
    [IDENTITY_FILE, STATE_FILE, HOSTS_FILE]
        .into_iter()
        .filter(|name| *name != HOSTS_FILE || dir.join(name).exists())
}

/// Prints what the files hold. The member may run.
///
/// # Errors
/// Where a file can't be read.
pub fn inspect(dir: &Path) -> Result<(), CliError> {
    for name in file_names(dir) {
        println!("{}", append_log::inspect(dir, name).context(StoreSnafu)?);
    }
    Ok(())
}

/// Checks each record of the files. The member may run.
///
/// # Errors
/// Where a file can't be read, or a member couldn't start with it.
pub fn verify(dir: &Path) -> Result<(), CliError> {
    let mut corrupt = None;
    for name in file_names(dir) {
        let report = append_log::verify(dir, name).context(StoreSnafu)?;
        println!("{report}");
        if !report.summary.opens() {
            corrupt = Some(name);
        }
    }
    match corrupt {
        Some(name) => CorruptFileSnafu { name }.fail(),
        None => Ok(()),
    }
}

/// Writes the files anew with the records that they hold, without what a torn write has left. The member must not run.
///
/// # Errors
/// Where a file can't be opened or written.
pub fn rewrite(dir: &Path) -> Result<(), CliError> {
    for name in file_names(dir) {
        let before = append_log::inspect(dir, name).context(StoreSnafu)?;
        let (mut file, records) = AppendLog::open(dir, name).context(StoreSnafu)?;
        replace_records(&mut file, &records)?;
        println!(
            "{name}: {} records, {} bytes, before {}",
            records.len(),
            file.len(),
            before.length
        );
    }
    Ok(())
}

/// Makes a stopped replica the only voter, where a majority of the voters is lost for good. Backups are kept of the
/// files that are written anew.
///
/// # Errors
/// Where a file is corrupt or not a replica's, `lost` doesn't name all other voters, one of `others` has a newer
/// membership configuration, or the disk can't be written. Nothing is changed then but, in the last case, backups and
/// files that were written before.
pub fn recover(dir: &Path, lost: &[String], others: &[PathBuf]) -> Result<(), CliError> {
    let identity = read_records(dir, IDENTITY_FILE)?;
    let state = read_records(dir, STATE_FILE)?;
    let survivor = SurvivingReplica::read(&identity, &state).context(RecoveryRefusedSnafu)?;
    for other in others {
        ensure_not_newer(other, dir, survivor.epoch())?;
    }
    print_survivor(&survivor);
    let id = new_member_id()?;
    let recovered = survivor.recover(lost, id).context(RecoveryRefusedSnafu)?;
    for name in [IDENTITY_FILE, STATE_FILE] {
        back_up(dir, name)?;
    }
    write_records(dir, STATE_FILE, &recovered.log)?;
    write_records(dir, IDENTITY_FILE, &[recovered.identity])?;
    println!(
        "goes on as {id:016x}, the only voter; the files as they were end in .{BACKUP_EXTENSION}"
    );
    Ok(())
}

/// Checks that another member's membership configuration isn't newer than that of `epoch` in `dir`.
fn ensure_not_newer(other: &Path, dir: &Path, epoch: u64) -> Result<(), CliError> {
    let later = latest_epoch(&read_records(other, STATE_FILE)?);
    ensure!(
        later <= epoch,
        NewerMembershipSnafu {
            other,
            later,
            dir,
            epoch
        }
    );
    Ok(())
}

fn print_survivor(survivor: &SurvivingReplica) {
    println!(
        "view of epoch {}, configuration of version {}",
        survivor.epoch(),
        survivor.configuration_version()
    );
    println!(
        "changes up to {} are kept; up to {} they are known to have been acknowledged",
        survivor.last_index(),
        survivor.commit_index()
    );
    for member in survivor.other_voters() {
        println!(
            "given up: {} {:016x} {}",
            member.name,
            member.id,
            SocketAddrV4::from(&member.addr)
        );
    }
}

/// A random id, never 0.
fn new_member_id() -> Result<u64, CliError> {
    match getrandom::u64() {
        Ok(id) => Ok(id.max(1)),
        Err(error) => RandomUnavailableSnafu {
            detail: error.to_string(),
        }
        .fail(),
    }
}

fn back_up(dir: &Path, name: &str) -> Result<(), CliError> {
    let path = dir.join(format!("{name}.{BACKUP_EXTENSION}"));
    std::fs::copy(dir.join(name), &path).context(BackupFailedSnafu { path })?;
    Ok(())
}

/// The records of a file, which has to be sound.
fn read_records(dir: &Path, name: &str) -> Result<Vec<Vec<u8>>, CliError> {
    let report = append_log::verify(dir, name).context(StoreSnafu)?;
    ensure!(report.summary.opens(), CorruptFileSnafu { name });
    let (_, records) = AppendLog::open(dir, name).context(StoreSnafu)?;
    Ok(records)
}

fn write_records(dir: &Path, name: &str, records: &[Vec<u8>]) -> Result<(), CliError> {
    let (mut file, _) = AppendLog::open(dir, name).context(StoreSnafu)?;
    replace_records(&mut file, records)
}

fn replace_records(file: &mut AppendLog, records: &[Vec<u8>]) -> Result<(), CliError> {
    let records: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
    file.rewrite(&records).context(StoreSnafu)
}
