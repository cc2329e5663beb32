//! A program's settings file: read at the start, and its seeds again whenever it changes.

use crate::error::{CliError, InvalidSettingsSnafu, ReadFileSnafu};
use configuration::ProcessSettings;
use snafu::ResultExt;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{interval, MissedTickBehavior};

/// Time between two checks of the file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads a settings file.
///
/// # Errors
/// [`CliError::ReadFile`] where it can't be read, [`CliError::InvalidSettings`] where it is invalid.
pub fn read(path: &Path) -> Result<ProcessSettings, CliError> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    ProcessSettings::read(&text).context(InvalidSettingsSnafu { path })
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(path);
    metadata.and_then(|metadata| metadata.modified()).ok()
}

/// Follows the seeds in the file from now on: after SIGHUP, and whenever its time of modification changes. Runs on a
/// `LocalSet`.
///
/// # Errors
/// Where the handler of SIGHUP can't be installed.
pub fn follow_seeds(
    path: PathBuf,
    settings: &ProcessSettings,
) -> std::io::Result<watch::Receiver<Vec<SocketAddrV4>>> {
    let hangup = signal(SignalKind::hangup())?;
    let (seeds, follower) = watch::channel(settings.seed_nodes.clone());
    tokio::task::spawn_local(watch_file(path, hangup, seeds));
    Ok(follower)
}

async fn watch_file(path: PathBuf, mut hangup: Signal, seeds: watch::Sender<Vec<SocketAddrV4>>) {
    // The first check reads: the file may have changed since the start.
    let mut read_at = None;
    let mut failed_at = None;
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let was_signalled = tokio::select! {
            signalled = hangup.recv() => signalled.is_some(),
            _ = checks.tick() => false,
        };
        let changed_at = modified_at(&path);
        if !was_signalled && changed_at == read_at {
            continue;
        }
        match read(&path) {
            Ok(settings) => {
                read_at = changed_at;
                publish(&seeds, settings.seed_nodes);
            }
            // It may be half written. The next check reads it again.
            Err(error) if failed_at != changed_at => {
                failed_at = changed_at;
                log::warn!("{}", error.chain());
            }
            Err(_) => {}
        }
    }
}

fn publish(seeds: &watch::Sender<Vec<SocketAddrV4>>, new: Vec<SocketAddrV4>) {
    let text: Vec<_> = new.iter().map(ToString::to_string).collect();
    let have_changed = seeds.send_if_modified(|seeds| {
        let have_changed = *seeds != new;
        *seeds = new;
        have_changed
    });
    if have_changed {
        log::info!("seeds: {}", text.join(" "));
    }
}
