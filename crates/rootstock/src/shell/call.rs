//! Calls of hosts and operators: each is decoded into a [`Call`], which is run elsewhere.

use almanac::Code;
use bytes::Bytes;
use hyper::Method;

/// Longest identity of a host in bytes.
const LONGEST_ID: usize = 256;

/// What a path asks for, before the body is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Head {
    /// Takes a whole configuration.
    Replace,
    /// Takes changes to the configuration.
    Amend,
    /// Asks for the configuration.
    Read,
    /// A host's heartbeat.
    Heartbeat(String),
    /// A host's goodbye.
    Depart(String),
    /// Asks how this member is.
    Status,
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Takes a configuration.
    Configure {
        /// The version it builds on.
        base: u64,
        /// Whether it amends; else it replaces.
        amend: bool,
        /// The body as sent.
        body: Bytes,
    },
    /// Asks for the configuration.
    Read,
    /// A host's heartbeat.
    Heartbeat {
        /// The host.
        host: String,
        /// What it says.
        body: Bytes,
    },
    /// A host's goodbye.
    Depart {
        /// The host.
        host: String,
        /// What it says.
        body: Bytes,
    },
    /// Asks how this member is.
    Status,
}

impl Head {
    /// What method and path ask for.
    ///
    /// # Errors
    /// [`Code::NoSuchCall`] and [`Code::OtherMethod`].
    pub fn read(method: &Method, path: &str) -> Result<Head, Code> {
        let call = path.strip_prefix("/fennelpin/").ok_or(Code::NoSuchCall)?;
        let (name, argument) = call.split_once('/').map_or((call, None), |(name, rest)| (name, Some(rest)));
        let host = argument.filter(|id| !id.is_empty() && id.len() <= LONGEST_ID && !id.contains('/'));
        let head = match (name, argument, host) {
            ("Configuration.Replace", None, _) => Head::Replace,
            ("Configuration.Amend", None, _) => Head::Amend,
            ("Configuration.Read", None, _) => Head::Read,
            ("status", None, _) => Head::Status,
            ("Hosts.Heartbeat", _, Some(id)) => Head::Heartbeat(id.into()),
            ("Hosts.Depart", _, Some(id)) => Head::Depart(id.into()),
            _ => return Err(Code::NoSuchCall),
        };
        let wanted = if head.asks() { Method::GET } else { Method::POST };
        if *method == wanted {
            Ok(head)
        } else {
            Err(Code::OtherMethod)
        }
    }

    /// Whether it only asks.
    pub fn asks(&self) -> bool {
        matches!(self, Head::Read | Head::Status)
    }

    /// Whether its body may be long.
    pub fn heavy(&self) -> bool {
        matches!(self, Head::Replace | Head::Amend)
    }

    /// The call, with its body and the text of `Fennelpin-Base-Version`.
    ///
    /// # Errors
    /// [`Code::NoBase`].
    pub fn with(self, base: Option<&str>, body: Bytes) -> Result<Call, Code> {
        let amend = self == Head::Amend;
        Ok(match self {
            Head::Replace | Head::Amend => {
                let base = base.and_then(|b| b.trim().parse().ok()).ok_or(Code::NoBase)?;
                Call::Configure { base, amend, body }
            }
            Head::Read => Call::Read,
            Head::Status => Call::Status,
            Head::Heartbeat(host) => Call::Heartbeat { host, body },
            Head::Depart(host) => Call::Depart { host, body },
        })
    }
}
