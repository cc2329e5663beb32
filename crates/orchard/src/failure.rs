//! Why a command fails, and with which exit code.

use snafu::Snafu;
use std::path::PathBuf;

/// Why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// The settings file can't be read.
    #[snafu(display("cannot read {}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The settings file says something that can't be.
    #[snafu(display("{}: bad settings", path.display()))]
    Settings {
        /// The file.
        path: PathBuf,
        /// What.
        source: serde_json::Error,
    },
    /// The configuration is invalid.
    #[snafu(display("{}: invalid configuration", path.display()))]
    Configuration {
        /// The file.
        path: PathBuf,
        /// What.
        source: almanac::Invalid,
    },
    /// The runtime can't be had.
    #[snafu(display("cannot start"))]
    Start {
        /// Why.
        source: std::io::Error,
    },
    /// The control plane's member fails.
    #[snafu(display("rootstock"))]
    Rootstock {
        /// Why.
        source: rootstock::shell::Failure,
    },
    /// The agent fails.
    #[snafu(display("hedgerow"))]
    Hedgerow {
        /// Why.
        source: hedgerow::Error,
    },
    /// The proxy fails.
    #[snafu(display("trellis"))]
    Trellis {
        /// Why.
        source: trellis::Error,
    },
    /// A member can't be asked.
    #[snafu(display("cannot ask {control}"))]
    Ask {
        /// The member.
        control: std::net::SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

impl Failure {
    /// The exit code: 2 for what the operator wrote, 1 for what happened.
    pub fn exit(&self) -> u8 {
        use rootstock::shell::Failure as Root;
        match self {
            Failure::Unreadable { .. } | Failure::Settings { .. } | Failure::Configuration { .. } => 2,
            Failure::Rootstock { source: Root::NoControl | Root::NoDisk } => 2,
            _ => 1,
        }
    }

    /// The failure with all that it came from.
    pub fn chain(&self) -> String {
        let causes = std::iter::successors(std::error::Error::source(self), |e| e.source());
        causes.fold(self.to_string(), |text, cause| format!("{text}: {cause}"))
    }
}
