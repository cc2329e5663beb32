//! Why a command fails, and with which exit code.

use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Failure {
    /// A file can't be read.
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
    /// The operator's file or environment has an unknown key or a wrong value.
    #[snafu(display("{place}: key \"{key}\": {detail}"))]
    Operator {
        /// File or environment.
        place: String,
        /// The key.
        key: String,
        /// What is wrong.
        detail: String,
    },
    /// The configuration is invalid.
    #[snafu(display("{}: invalid configuration", path.display()))]
    Configuration {
        /// The file.
        path: PathBuf,
        /// What.
        source: configuration::InvalidConfiguration,
    },
    /// No such shell.
    #[snafu(display("no completion for {shell}: bash, zsh, fish and elvish have one"))]
    NoCompletion {
        /// The shell.
        shell: String,
    },
    /// The runtime can't be had.
    #[snafu(display("cannot start"))]
    Start {
        /// Why.
        source: std::io::Error,
    },
    /// The control plane's member fails.
    #[snafu(display("control-plane"))]
    ControlPlane {
        /// Why.
        source: control_plane::runtime::RuntimeError,
    },
    /// The agent fails.
    #[snafu(display("agent"))]
    Agent {
        /// Why.
        source: agent::Error,
    },
    /// The proxy fails.
    #[snafu(display("proxy"))]
    Proxy {
        /// Why.
        source: proxy::Error,
    },
    /// No member gave an answer.
    #[snafu(display("cannot ask {control}"))]
    Ask {
        /// The member that was asked last.
        control: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The control plane says no.
    #[snafu(display("refused with code {code}: {reason}"))]
    Refused {
        /// The result code, or the HTTP status where there is none.
        code: u16,
        /// What it means, with the detail.
        reason: String,
    },
    /// No member gave a clear answer in time: the change may be in force or not.
    #[snafu(display(
        "no clear answer (code {code}: {reason}): the change may be in force; the same call again tells"
    ))]
    Unclear {
        /// The last result code.
        code: u16,
        /// What it means.
        reason: String,
    },
    /// An answer can't be understood.
    #[snafu(display("{control} answered what no member would"))]
    Strange {
        /// Who.
        control: SocketAddr,
        /// What.
        source: serde_json::Error,
    },
    /// A version that is asked for is kept nowhere.
    #[snafu(display(
        "version {version} is kept at no member that answers; give its file with --file"
    ))]
    NotKept {
        /// The version.
        version: u64,
    },
    /// A file of the store fails.
    #[snafu(display("store"))]
    Store {
        /// Why.
        source: append_log::Error,
    },
    /// A file of the store is damaged.
    #[snafu(display("'{name}' doesn't open: see above"))]
    Damaged {
        /// The file.
        name: String,
    },
    /// A folder can't be recovered from.
    #[snafu(display("not recovered, nothing is changed"))]
    NotRecovered {
        /// Why.
        source: control_plane::recovery::RecoveryError,
    },
    /// Another disk knows a later view than the one that was to be recovered from.
    #[snafu(display(
        "{} knows a later view (epoch {later}) than {} (epoch {epoch}): recover from a replica of that one",
        other.display(), dir.display()
    ))]
    LaterView {
        /// The folder that knows more.
        other: PathBuf,
        /// Its view's epoch.
        later: u64,
        /// The folder that was to be recovered from.
        dir: PathBuf,
        /// Its view's epoch.
        epoch: u64,
    },
    /// A file can't be copied.
    #[snafu(display("cannot keep a copy as {}", path.display()))]
    NoCopy {
        /// The copy.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// There are no random numbers.
    #[snafu(display("no random numbers: {detail}"))]
    NoRandom {
        /// Why.
        detail: String,
    },
    /// The system on this machine can't be run.
    #[snafu(display("{what}"))]
    Local {
        /// What didn't work.
        what: String,
    },
}

impl Failure {
    /// The exit code: 2 for what the operator wrote, 3 for what the control plane refused, 1 for what happened.
    pub fn exit(&self) -> u8 {
        use control_plane::runtime::RuntimeError as Root;
        match self {
            Failure::Unreadable { .. }
            | Failure::Settings { .. }
            | Failure::Operator { .. }
            | Failure::NoCompletion { .. }
            | Failure::Configuration { .. } => 2,
            Failure::ControlPlane {
                source: Root::NoControl | Root::NoDisk,
            } => 2,
            Failure::Refused { .. } | Failure::NotRecovered { .. } | Failure::LaterView { .. } => 3,
            _ => 1,
        }
    }

    /// The failure with all that it came from.
    pub fn chain(&self) -> String {
        let causes = std::iter::successors(std::error::Error::source(self), |e| e.source());
        causes.fold(self.to_string(), |text, cause| format!("{text}: {cause}"))
    }
}
