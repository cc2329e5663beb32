//! Header fields that the proxy reads and writes. Names compare without case; they are written as given here.

use http1::Fields;

/// Identifies a client's attempt; a host repeats it in its response.
pub(crate) const ATTEMPT_ID: &str = "Fennelpin-Attempt-Id";
/// Proves that a host made a response.
pub(crate) const HOST_SEAL: &str = "Fennelpin-Host-Seal";
/// A host says that it did not run the request.
pub(crate) const NOT_EXECUTED: &str = "Fennelpin-Not-Executed";
/// A host's load: requests running and waiting, and slots.
pub(crate) const HOST_LOAD: &str = "Fennelpin-Host-Load";
/// Id of the host that a request is meant for.
pub(crate) const EXPECTED_HOST: &str = "Fennelpin-Expected-Host";
/// Time that is left for a request, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "Fennelpin-Deadline-Ms";
/// Parts of a request's prompt, with their tokens.
pub(crate) const PROMPT_PREFIX: &str = "Fennelpin-Prompt-Prefix";
/// Tokens of a prompt and of the longest response.
pub(crate) const TOKEN_COUNTS: &str = "Fennelpin-Token-Counts";
/// The client's API key. No host is shown it.
pub(crate) const API_KEY: &str = "Fennelpin-Key";
/// Name of the tenant whose request it is, for hosts.
pub(crate) const TENANT: &str = "Fennelpin-Tenant";
/// The host version that a client expects.
pub(crate) const EXPECT_VERSION: &str = "Expect-Version";
/// Id of the last event of a stream that the client has.
pub(crate) const LAST_EVENT_ID: &str = "Last-Event-Id";
/// Scheduling priority at the host.
pub(crate) const PRIORITY: &str = "Priority";
/// Length of a body in bytes.
pub(crate) const CONTENT_LENGTH: &str = "Content-Length";

/// Fields that tie a response to its request and to its host. They are forwarded even if `Connection` lists them.
const ALWAYS_FORWARDED: [&str; 2] = [ATTEMPT_ID, HOST_SEAL];

/// Whether a field of this name is forwarded from one connection to another.
pub(crate) fn is_forwarded(fields: &Fields, name: &[u8]) -> bool {
    let always = ALWAYS_FORWARDED
        .iter()
        .any(|known| name.eq_ignore_ascii_case(known.as_bytes()));
    always || !fields.is_hop_by_hop(name)
}

/// Appends a field line to a head.
pub(crate) fn push_field(head: &mut Vec<u8>, name: impl AsRef<[u8]>, value: impl AsRef<[u8]>) {
    head.extend_from_slice(name.as_ref());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value.as_ref());
    head.extend_from_slice(b"\r\n");
}
