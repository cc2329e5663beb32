//! The settings file: read at the start, its seeds again when it changes.

use crate::failure::{Failure, SettingsSnafu, UnreadableSnafu};
use configuration::ProcessSettings;
use snafu::ResultExt;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{interval, MissedTickBehavior};

/// How often the file is looked at: it may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Reads a settings file.
///
/// # Errors
/// Where it can't be read, or says what can't be.
pub fn read(path: &Path) -> Result<ProcessSettings, Failure> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    ProcessSettings::read(&text).context(SettingsSnafu { path })
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Follows the file's seeds from now on. Runs on a `LocalSet`.
///
/// # Errors
/// Where signals can't be had.
pub fn follow_seeds(
    path: PathBuf,
    boot: &ProcessSettings,
) -> std::io::Result<watch::Receiver<Vec<SocketAddrV4>>> {
    let hangup = signal(SignalKind::hangup())?;
    let (seeds, follower) = watch::channel(boot.seed_nodes.clone());
    tokio::task::spawn_local(look(path, hangup, seeds));
    Ok(follower)
}

async fn look(path: PathBuf, mut hangup: Signal, seeds: watch::Sender<Vec<SocketAddrV4>>) {
    // The first look reads: the file may have changed since the start.
    let (mut seen, mut failed) = (None, None);
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let told = tokio::select! {
            told = hangup.recv() => told.is_some(),
            _ = looks.tick() => false,
        };
        let now = changed_at(&path);
        if !told && now == seen {
            continue;
        }
        match read(&path) {
            Ok(boot) => {
                seen = now;
                let new = seeds.send_if_modified(|seeds| {
                    let new = *seeds != boot.seed_nodes;
                    *seeds = boot.seed_nodes;
                    new
                });
                if new {
                    let now: Vec<_> = seeds.borrow().iter().map(ToString::to_string).collect();
                    log::info!("seeds: {}", now.join(" "));
                }
            }
            // Half written, perhaps: the next look reads it again.
            Err(e) if failed != now => {
                failed = now;
                log::warn!("{}", e.chain());
            }
            Err(_) => {}
        }
    }
}
