//! What several clients have sent, and what members answered and published: the reference that answers are checked
//! against. Each answer of each member is checked, whether it reaches its client or not.

use crate::violation::Violation;
use configuration::{Configuration, ResultCode};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// Bytes of padding that one additional service stands for.
const PADDING_PER_SERVICE: usize = 20;

/// What a client learns from a response.
#[derive(Debug)]
pub(super) enum ClientResponse {
    /// The configuration was accepted.
    Acknowledged,
    /// The configuration was rejected for good.
    Rejected,
    /// The version of the configuration in force.
    Read(u64),
}

/// What a client asks for.
#[derive(Clone)]
pub(super) enum ClientRequest {
    /// A pending request, by its number.
    Configure(u64),
    /// A configuration that was acknowledged before, sent again.
    Resend,
    /// The configuration in force, for the client of this number.
    Read(usize),
    /// The drain of a host.
    Drain(String),
}

/// A configuration that was sent. Its index in [`RequestLog::contents`] tells it from others of the same version.
pub(super) struct ConfigurationContent {
    /// Version that it builds on.
    pub(super) base: u64,
    /// Version that it leads to.
    pub(super) version: u64,
    pub(super) body: Arc<Vec<u8>>,
    /// Acknowledged, or seen in force.
    pub(super) accepted: bool,
    pub(super) rejected_with: Option<ResultCode>,
}

/// A configuration request that its client has no definite response to.
pub(super) struct PendingRequest {
    pub(super) content: usize,
    pub(super) client: usize,
    /// When it was sent first.
    pub(super) created_at: Duration,
    /// Whether a member has answered definitely, although the response may have been lost. Also set where no response
    /// is due, as the base may never come into force.
    pub(super) answered: bool,
    /// When it was sent last.
    pub(super) last_attempt_at: Duration,
}

/// A request on its way to a member, or its response on the way back.
pub(super) struct RequestAttempt {
    pub(super) request: ClientRequest,
    pub(super) content: Option<usize>,
    /// Newest acknowledged version when the request was sent.
    pub(super) newest_at_send: u64,
}

/// The replicated state as published under an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PublishedState {
    content: Option<usize>,
    /// Hash of the drained hosts.
    drains: u64,
}

/// What clients have sent, what they were told, and what members published.
#[derive(Default)]
pub(super) struct RequestLog {
    pub(super) contents: Vec<ConfigurationContent>,
    /// Requests without a definite response, by number.
    pub(super) pending: BTreeMap<u64, PendingRequest>,
    /// Attempts by ticket.
    pub(super) attempts: BTreeMap<u64, RequestAttempt>,
    /// Number given out last.
    pub(super) last_number: u64,
    /// The version that each client knows to be in force.
    pub(super) known_versions: BTreeMap<usize, u64>,
    /// Newest version that was acknowledged to anyone.
    pub(super) newest: u64,
    /// When newest versions were acknowledged.
    pub(super) acknowledged_at: VecDeque<(Duration, u64)>,
    /// Acknowledged contents by version.
    acknowledged: BTreeMap<u64, usize>,
    /// Acknowledged contents by base.
    acknowledged_by_base: BTreeMap<u64, usize>,
    /// Contents seen in force, by version.
    in_force: BTreeMap<u64, usize>,
    /// The state after each change that was published.
    published: BTreeMap<u64, PublishedState>,
    /// When the drain of each host was acknowledged.
    pub(super) drained_at: BTreeMap<String, Duration>,
}

/// A configuration with one route, whose name holds the content's index, and services up to about `padding` bytes.
fn configuration_body(content: usize, version: u64, padding: usize) -> Vec<u8> {
    let more: String = (0..padding / PADDING_PER_SERVICE)
        .map(|n| format!(r#",{{"name":"s{content}-{n}"}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"o{content}","hostname":"h.example","path_prefix":"/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}{more}],"limits":{{}}}}"#
    )
    .into_bytes()
}

/// The index of the content that a configuration is.
fn content_index(document: &Configuration) -> Option<usize> {
    let route = &document.routes.first()?.value;
    route.name.strip_prefix('o')?.parse().ok()
}

fn hash_of(drains: &[String]) -> u64 {
    let mut sorted: Vec<&String> = drains.iter().collect();
    sorted.sort_unstable();
    let mut hasher = DefaultHasher::new();
    sorted.hash(&mut hasher);
    hasher.finish()
}

impl RequestLog {
    /// The next number of a request or ticket.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a new content with about `padding` bytes of padding; its index.
    pub(super) fn add_content(&mut self, base: u64, version: u64, padding: usize) -> usize {
        let index = self.contents.len();
        self.contents.push(ConfigurationContent {
            base,
            version,
            body: Arc::new(configuration_body(index, version, padding)),
            accepted: false,
            rejected_with: None,
        });
        index
    }

    /// The version that a client knows to be in force.
    pub(super) fn known_version(&self, client: usize) -> u64 {
        self.known_versions.get(&client).copied().unwrap_or(0)
    }

    /// A client learns that a version is in force.
    pub(super) fn learn_version(&mut self, client: usize, version: u64) {
        let known = self.known_versions.entry(client).or_insert(0);
        *known = version.max(*known);
    }

    /// Whether nobody was shown or told that a version is, or was, in force.
    pub(super) fn is_unconfirmed(&self, version: u64) -> bool {
        version != 0
            && !self.acknowledged.contains_key(&version)
            && !self.in_force.contains_key(&version)
    }

    /// Records a configuration that was seen in force.
    ///
    /// # Errors
    /// If nobody sent it, another content of this version was seen or acknowledged, or it was rejected.
    pub(super) fn record_in_force(&mut self, document: &Configuration) -> Result<(), Violation> {
        if document.version == 0 {
            return Ok(());
        }
        let version = document.version;
        let sent = |index: &usize| {
            let content = self.contents.get(*index);
            content.is_some_and(|content| content.version == version)
        };
        let Some(index) = content_index(document).filter(sent) else {
            return violated(format!("{version} is in force, which nobody sent"));
        };
        let other = *self.in_force.entry(version).or_insert(index);
        if other != index {
            return violated(format!("{version} is content {other} and {index}"));
        }
        if self.acknowledged.get(&version).is_some_and(|c| *c != index) {
            return violated(format!(
                "content {index} is in force as {version}, another one was acknowledged"
            ));
        }
        let content = &mut self.contents[index];
        content.accepted = true;
        if let Some(code) = content.rejected_with {
            return violated(format!(
                "content {index} ({version}) is in force, it was rejected with {code:?}"
            ));
        }
        Ok(())
    }

    /// Records the answer to a configuration request. Whether it was definite.
    ///
    /// # Errors
    /// If the answer contradicts what was answered or published before.
    pub(super) fn record_response(
        &mut self,
        now: Duration,
        index: usize,
        code: ResultCode,
    ) -> Result<bool, Violation> {
        match code.status() {
            200 => self.record_acknowledgement(now, index).map(|()| true),
            400..=499 => self.record_rejection(index, code).map(|()| true),
            _ => Ok(false),
        }
    }

    fn record_acknowledgement(&mut self, now: Duration, index: usize) -> Result<(), Violation> {
        let content = &self.contents[index];
        let (base, version) = (content.base, content.version);
        if let Some(code) = content.rejected_with {
            return violated(format!(
                "content {index} ({version}) acknowledged, it was rejected with {code:?}"
            ));
        }
        let other = *self.acknowledged.entry(version).or_insert(index);
        let beside = *self.acknowledged_by_base.entry(base).or_insert(index);
        if other != index || beside != index {
            return violated(format!(
                "contents {index}, {other} and {beside} were acknowledged as {version} on {base}"
            ));
        }
        if self.in_force.get(&version).is_some_and(|i| *i != index) {
            return violated(format!(
                "content {index} acknowledged as {version}, another one is in force"
            ));
        }
        self.contents[index].accepted = true;
        if version > self.newest {
            self.newest = version;
            self.acknowledged_at.push_back((now, version));
        }
        Ok(())
    }

    fn record_rejection(&mut self, index: usize, code: ResultCode) -> Result<(), Violation> {
        let content = &self.contents[index];
        let (base, version) = (content.base, content.version);
        if content.accepted {
            let later = self.in_force.range(version + 1..).count();
            return violated(format!(
                "content {index} ({version}) rejected with {code:?}, it was accepted; {later} seen after it"
            ));
        }
        let newest = self.in_force.keys().next_back().copied().unwrap_or(0);
        if code != ResultCode::OtherBase || newest == base {
            return violated(format!(
                "{version} on {base} rejected with {code:?} while {newest} is in force"
            ));
        }
        self.contents[index].rejected_with = Some(code);
        Ok(())
    }

    /// Records the replicated state that was published under an index.
    ///
    /// # Errors
    /// If another state was published under that index before.
    pub(super) fn record_published(
        &mut self,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) -> Result<(), Violation> {
        let state = PublishedState {
            content: content_index(document),
            drains: hash_of(drains),
        };
        let known = *self.published.entry(index).or_insert(state);
        if known == state {
            return Ok(());
        }
        violated(format!("change {index} is {known:?} and {state:?}"))
    }

    /// Whether a configuration is what was published under an index.
    pub(super) fn was_published(&self, index: u64, document: &Configuration) -> bool {
        let state = self.published.get(&index);
        index == 0 || state.is_some_and(|state| state.content == content_index(document))
    }

    /// The newest version that was acknowledged no later than `until`; 0 if there is none.
    pub(super) fn acknowledged_until(&mut self, until: Duration) -> u64 {
        while self.acknowledged_at.get(1).is_some_and(|a| a.0 <= until) {
            self.acknowledged_at.pop_front();
        }
        let newest = self.acknowledged_at.front().filter(|a| a.0 <= until);
        newest.map_or(0, |a| a.1)
    }

    /// Checks that nothing acknowledged is missing from the chain of bases that led to what is in force.
    ///
    /// # Errors
    /// If an acknowledged version is not in that chain.
    pub(super) fn check_chain(&self) -> Result<(), Violation> {
        let Some((newest, index)) = self.in_force.iter().next_back() else {
            return Ok(());
        };
        let (mut version, mut index) = (*newest, *index);
        let mut chain = vec![version];
        loop {
            version = self.contents[index].base;
            chain.push(version);
            match self.content_of(version) {
                Some(next) => index = next,
                None => break,
            }
        }
        let missing = |v: &&u64| **v > version && !chain.contains(v);
        match self.acknowledged.keys().rev().find(missing) {
            Some(lost) => violated(format!(
                "{lost} was acknowledged and is not among what led to {}",
                chain[0]
            )),
            None => Ok(()),
        }
    }

    /// The content that a version has, where that is known: seen in force, acknowledged, or the only one not rejected.
    fn content_of(&self, version: u64) -> Option<usize> {
        let known = self.in_force.get(&version);
        if let Some(known) = known.or(self.acknowledged.get(&version)) {
            return Some(*known);
        }
        let mut candidates = (0..self.contents.len()).filter(|index| {
            let content = &self.contents[*index];
            content.version == version && content.rejected_with.is_none()
        });
        let only = candidates.next()?;
        candidates.next().is_none().then_some(only)
    }
}

fn violated<T>(description: String) -> Result<T, Violation> {
    Err(Violation::new(description))
}
