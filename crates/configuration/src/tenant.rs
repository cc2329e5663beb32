//! Tenants with their API keys, priorities and rate limits.

use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::collections::HashSet;
use std::fmt;

/// Number of bytes of a key's digest that its fingerprint contains.
const FINGERPRINT_BYTES: usize = 4;

/// First characters of a fingerprint.
const FINGERPRINT_PREFIX: &str = "sha256:";

/// SHA-256 digest of an API key. Keys are looked up and compared by digest, so that timing reveals nothing about a key.
pub type KeyDigest = [u8; 32];

/// An API key. `Debug` and `Display` write a fingerprint, never the key.
///
/// ```
/// let key = configuration::ApiKey::new("banfqasnmgkcuyj8pjbv");
/// assert_eq!(key.to_string(), "sha256:317380b4");
/// assert_eq!(key.digest(), configuration::ApiKey::digest_of(b"banfqasnmgkcuyj8pjbv"));
/// ```
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Digest of the key.
    pub fn digest(&self) -> KeyDigest {
        Self::digest_of(self.0.as_bytes())
    }

    /// Digest of a key as a client sends it.
    pub fn digest_of(key: &[u8]) -> KeyDigest {
        Sha256::digest(key).into()
    }

    /// Whether the text looks like a fingerprint from a masked configuration rather than a key.
    fn is_fingerprint(&self) -> bool {
        self.0.starts_with(FINGERPRINT_PREFIX)
    }

    /// Whether the key has no characters. Such a key is never accepted.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(FINGERPRINT_PREFIX)?;
        for byte in &self.digest()[..FINGERPRINT_BYTES] {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// Unit that a tenant's rate limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Tokens: the sum of the two numbers in `Fennelpin-Token-Counts`.
    TokenFlow,
    /// Requests. Unknown units count requests too.
    #[default]
    #[serde(other)]
    Requests,
}

/// A tenant: the API keys of its requests, their priority and their rate limit.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Tenant {
    /// Name of the tenant, which is sent to hosts.
    pub name: String,
    /// API keys of the tenant. Several are valid at the same time, so that keys can be rotated.
    #[serde(default)]
    pub credentials: Vec<ApiKey>,
    /// Priority, which takes precedence over the route's; 0 is the highest.
    #[serde(default)]
    pub rank: u32,
    /// Unit that the rate limit counts.
    #[serde(default)]
    pub unit: QuotaUnit,
    /// Cost of a request without token counts, in tokens.
    #[serde(default)]
    pub uncached_tokens: f64,
    /// Rate limit in units per second; there is none if this is missing or not above 0.
    #[serde(default)]
    pub rate_per_s: Option<f64>,
    /// Units allowed in a burst in addition to the rate (default 0).
    #[serde(default)]
    pub burst_size: Option<f64>,
}

/// Rate limit of a tenant's requests, over all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units per second; above 0.
    pub rate_per_s: f64,
    /// Units allowed in a burst in addition to the rate; 0 or more.
    pub burst_size: f64,
}

impl Tenant {
    /// Rate limit of this tenant's requests; `None` if there is none.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        let rate_per_s = self.rate_per_s.filter(|rate| *rate > 0.0)?;
        Some(RateLimit {
            rate_per_s,
            burst_size: self.burst_size.unwrap_or(0.0).max(0.0),
        })
    }

    /// Warnings about valid but probably unintended values.
    pub(crate) fn warnings(&self) -> impl Iterator<Item = String> + '_ {
        let mut seen = HashSet::new();
        let empty_name = self.name.is_empty();
        let name_warning = empty_name.then(|| "the name is empty".to_owned());
        let key_warnings = self.credentials.iter().filter_map(move |key| {
            if key.is_empty() {
                Some("an empty key is never accepted".to_owned())
            } else if key.is_fingerprint() {
                Some("a fingerprint is listed in place of a key".to_owned())
            } else if !seen.insert(key.digest()) {
                Some(format!("key {key} is listed twice"))
            } else {
                None
            }
        });
        name_warning.into_iter().chain(key_warnings)
    }

    /// Cost of a request in the tenant's unit. `tokens` is the sum of its token counts, if it has any.
    pub fn request_cost(&self, tokens: Option<f64>) -> f64 {
        match self.unit {
            QuotaUnit::TokenFlow => tokens.unwrap_or(self.uncached_tokens).max(0.0),
            QuotaUnit::Requests => 1.0,
        }
    }
}
