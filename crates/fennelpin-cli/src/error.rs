//! Why a command fails, and with which exit code.

use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit code of a failure that is none of the others.
const EXIT_FAILED: u8 = 1;
/// Exit code of wrong input: on the command line, in a file or in the environment.
pub const EXIT_WRONG_INPUT: u8 = 2;
/// Exit code of a request that the control plane, or the state of a store, rejects.
const EXIT_REJECTED: u8 = 3;

/// Why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CliError {
    /// A file can't be read.
    #[snafu(display("cannot read {}", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A program's settings file is invalid.
    #[snafu(display("{}: bad settings", path.display()))]
    InvalidSettings {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The operator's file or the environment has an unknown key or an invalid value.
    #[snafu(display("{place}: key \"{key}\": {detail}"))]
    InvalidOperatorSetting {
        /// The file, or the environment.
        place: String,
        /// The key.
        key: String,
        /// What is wrong.
        detail: String,
    },
    /// A configuration is invalid.
    #[snafu(display("{}: invalid configuration", path.display()))]
    InvalidConfiguration {
        /// The file, or where the configuration comes from.
        path: PathBuf,
        /// What is wrong.
        source: configuration::InvalidConfiguration,
    },
    /// There is no completion for this shell.
    #[snafu(display("no completion for {shell}: bash, zsh, fish and elvish have one"))]
    UnknownShell {
        /// The shell.
        shell: String,
    },
    /// The process lacks something that it needs to start: the runtime, a signal handler, a thread or a socket.
    #[snafu(display("cannot start"))]
    Startup {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The control plane's member failed.
    #[snafu(display("control-plane"))]
    ControlPlane {
        /// Its error.
        source: control_plane::runtime::RuntimeError,
    },
    /// The agent failed.
    #[snafu(display("agent"))]
    Agent {
        /// Its error.
        source: agent::Error,
    },
    /// The proxy failed.
    #[snafu(display("proxy"))]
    Proxy {
        /// Its error.
        source: proxy::Error,
    },
    /// No member answered.
    #[snafu(display("cannot ask {control}"))]
    MemberUnreachable {
        /// The member that was asked last.
        control: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The control plane rejected the request.
    #[snafu(display("refused with code {code}: {reason}"))]
    Rejected {
        /// The result code, or the HTTP status where the answer has none.
        code: u16,
        /// The code's text, with the detail.
        reason: String,
    },
    /// No member gave a conclusive answer in time: the change may be in force or not.
    #[snafu(display(
        "no clear answer (code {code}: {reason}): the change may be in force; the same call again tells"
    ))]
    Inconclusive {
        /// The result code of the latest answer; 0 where there was none.
        code: u16,
        /// The code's text.
        reason: String,
    },
    /// A member's answer can't be parsed.
    #[snafu(display("{control} answered what no member would"))]
    MalformedAnswer {
        /// The member.
        control: SocketAddr,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// No member keeps this version of the configuration.
    #[snafu(display(
        "version {version} is kept at no member that answers; give its file with --file"
    ))]
    VersionNotKept {
        /// The version.
        version: u64,
    },
    /// A file of the store can't be read or written.
    #[snafu(display("store"))]
    Store {
        /// The store's error.
        source: append_log::Error,
    },
    /// A file of the store is corrupt.
    #[snafu(display("'{name}' doesn't open: see above"))]
    CorruptFile {
        /// Name of the file.
        name: String,
    },
    /// A member can't be recovered from a store.
    #[snafu(display("not recovered, nothing is changed"))]
    RecoveryRefused {
        /// The reason.
        source: control_plane::recovery::RecoveryError,
    },
    /// Another disk has a newer membership configuration than the one that was to be recovered from.
    #[snafu(display(
        "{} knows a later view (epoch {later}) than {} (epoch {epoch}): recover from a replica of that one",
        other.display(), dir.display()
    ))]
    NewerMembership {
        /// The folder with the newer one.
        other: PathBuf,
        /// Its epoch.
        later: u64,
        /// The folder that was to be recovered from.
        dir: PathBuf,
        /// Its epoch.
        epoch: u64,
    },
    /// The backup of a file can't be written.
    #[snafu(display("cannot keep a copy as {}", path.display()))]
    BackupFailed {
        /// The backup.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The operating system gives no random numbers.
    #[snafu(display("no random numbers: {detail}"))]
    RandomUnavailable {
        /// The error.
        detail: String,
    },
    /// The system can't run on this machine.
    #[snafu(display("{what}"))]
    LocalRun {
        /// What didn't work.
        what: String,
    },
}

impl CliError {
    /// The exit code: 2 for wrong input, 3 for what the control plane rejected, 1 for all else.
    pub fn exit_code(&self) -> u8 {
        use control_plane::runtime::RuntimeError;
        match self {
            CliError::ReadFile { .. }
            | CliError::InvalidSettings { .. }
            | CliError::InvalidOperatorSetting { .. }
            | CliError::UnknownShell { .. }
            | CliError::InvalidConfiguration { .. }
            | CliError::ControlPlane {
                source: RuntimeError::NoControl | RuntimeError::NoStateDir,
            } => EXIT_WRONG_INPUT,
            CliError::Rejected { .. }
            | CliError::RecoveryRefused { .. }
            | CliError::NewerMembership { .. } => EXIT_REJECTED,
            _ => EXIT_FAILED,
        }
    }

    /// The error and all its causes, in one line.
    pub fn chain(&self) -> String {
        let causes = std::iter::successors(std::error::Error::source(self), |e| e.source());
        causes.fold(self.to_string(), |text, cause| format!("{text}: {cause}"))
    }
}
