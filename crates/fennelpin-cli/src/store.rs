//! The operators' commands about a member's files.

use crate::failure::{
    DamagedSnafu, Failure, LaterViewSnafu, NoCopySnafu, NoRandomSnafu, NotRecoveredSnafu,
    StoreSnafu,
};
use append_log::AppendLog;
use control_plane::recovery::{latest_epoch, SurvivingReplica};
use snafu::{ensure, ResultExt};
use std::path::{Path, PathBuf};

/// The files in a member's folder. The last may not be there: nothing rests on it.
const FILES: [&str; 3] = ["identity", "ledger", ROSTER];
const ROSTER: &str = "roster";
/// What the copies are called that a recovery keeps of the files it writes anew.
const KEPT: &str = "before-recovery";

/// The files that are there, or should be.
fn files(dir: &Path) -> impl Iterator<Item = &'static str> + use<'_> {
    FILES
        .into_iter()
        .filter(|name| *name != ROSTER || dir.join(name).exists())
}

/// Tells what they hold. They may be in use.
///
/// # Errors
/// Where one can't be read.
pub fn inspect(dir: &Path) -> Result<(), Failure> {
    for name in files(dir) {
        println!("{}", append_log::inspect(dir, name).context(StoreSnafu)?);
    }
    Ok(())
}

/// Looks at each record. They may be in use.
///
/// # Errors
/// Where one can't be read, or wouldn't open at a start.
pub fn verify(dir: &Path) -> Result<(), Failure> {
    let mut bad = None;
    for name in files(dir) {
        let found = append_log::verify(dir, name).context(StoreSnafu)?;
        println!("{found}");
        if !found.summary.opens() {
            bad = Some(name);
        }
    }
    match bad {
        Some(name) => Err(Failure::Damaged {
            name: name.to_owned(),
        }),
        None => Ok(()),
    }
}

/// Writes them anew with the records that they hold: what a torn write left goes. The member must not run.
///
/// # Errors
/// Where one doesn't open or the disk refuses.
pub fn rewrite(dir: &Path) -> Result<(), Failure> {
    for name in files(dir) {
        let before = append_log::inspect(dir, name).context(StoreSnafu)?;
        let (mut file, records) = AppendLog::open(dir, name).context(StoreSnafu)?;
        let all: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
        file.rewrite(&all).context(StoreSnafu)?;
        println!(
            "{name}: {} records, {} bytes, before {}",
            all.len(),
            file.len(),
            before.length
        );
    }
    Ok(())
}

/// Has a stopped replica go on alone, where a majority of the voters is lost for good. What it writes anew is kept
/// beside it.
///
/// # Errors
/// Where a file is damaged or isn't a replica's, `lost` doesn't name all that are given up, another disk knows a later
/// view, or the disk refuses.
pub fn recover(dir: &Path, lost: &[String], others: &[PathBuf]) -> Result<(), Failure> {
    let (identity, records) = (read(dir, "identity")?, read(dir, "ledger")?);
    let survivor = SurvivingReplica::read(&identity, &records).context(NotRecoveredSnafu)?;
    for other in others {
        let later = latest_epoch(&read(other, "ledger")?);
        let epoch = survivor.epoch();
        ensure!(
            later <= epoch,
            LaterViewSnafu {
                other,
                later,
                dir,
                epoch
            }
        );
    }
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
            std::net::SocketAddrV4::from(&member.addr)
        );
    }
    let id = getrandom::u64()
        .map_err(|e| {
            NoRandomSnafu {
                detail: e.to_string(),
            }
            .build()
        })?
        .max(1);
    let recovered = survivor.recover(lost, id).context(NotRecoveredSnafu)?;
    for name in ["identity", "ledger"] {
        let path = dir.join(format!("{name}.{KEPT}"));
        std::fs::copy(dir.join(name), &path).context(NoCopySnafu { path: &path })?;
    }
    write(dir, "ledger", &recovered.log)?;
    write(dir, "identity", &[recovered.identity])?;
    println!("goes on as {id:016x}, the only voter; the files as they were end in .{KEPT}");
    Ok(())
}

/// The records of a file that is whole.
fn read(dir: &Path, name: &str) -> Result<Vec<Vec<u8>>, Failure> {
    let found = append_log::verify(dir, name).context(StoreSnafu)?;
    ensure!(found.summary.opens(), DamagedSnafu { name });
    let (_, records) = AppendLog::open(dir, name).context(StoreSnafu)?;
    Ok(records)
}

fn write(dir: &Path, name: &str, records: &[Vec<u8>]) -> Result<(), Failure> {
    let (mut file, _) = AppendLog::open(dir, name).context(StoreSnafu)?;
    let all: Vec<&[u8]> = records.iter().map(Vec::as_slice).collect();
    file.rewrite(&all).context(StoreSnafu)
}
