//! The operators' commands about a member's files.

use crate::failure::{Failure, StoreSnafu};
use append_log::AppendLog;
use snafu::ResultExt;
use std::path::Path;

/// The files in a member's folder. The last may not be there: nothing rests on it.
const FILES: [&str; 3] = ["identity", "ledger", ROSTER];
const ROSTER: &str = "roster";

/// The files that are there, or should be.
fn files(dir: &Path) -> impl Iterator<Item = &'static str> + use<'_> {
    FILES.into_iter().filter(|name| *name != ROSTER || dir.join(name).exists())
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
        Some(name) => Err(Failure::Damaged { name: name.to_owned() }),
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
        println!("{name}: {} records, {} bytes, before {}", all.len(), file.len(), before.length);
    }
    Ok(())
}
