//! Numbered result codes of calls. `docs/result-codes.md` lists them.

/// Result of a call. The number of a result never changes. Callers of the HTTP interfaces get the HTTP status.
///
/// ```
/// use configuration::ResultCode;
/// assert_eq!((ResultCode::OtherBase.number(), ResultCode::OtherBase.status()), (120, 412));
/// assert_eq!(ResultCode::from_number(120), Some(ResultCode::OtherBase));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u16)]
pub enum ResultCode {
    /// The call succeeded.
    Ok = 0,
    /// The body is incomplete or malformed.
    Unreadable = 100,
    /// A route names a service that does not exist.
    UnknownService = 101,
    /// Two routes have the same host name and path prefix.
    SamePlace = 102,
    /// The weights of a route add up to 0, or it has no target.
    NoWeight = 103,
    /// A deadline is not above 0.
    NoDeadline = 104,
    /// The version is not above the current one.
    OldVersion = 105,
    /// Two items have the same name.
    SameName = 106,
    /// A field has an invalid value.
    BadValue = 107,
    /// Two tenants have an API key in common.
    SharedKey = 108,
    /// The base version is not the version in force.
    OtherBase = 120,
    /// The base version is missing or not a number.
    NoBase = 121,
    /// No configuration has been applied yet.
    NoConfiguration = 122,
    /// The base version is older than all remembered requests, so that it is unknown whether this one was applied.
    OrderForgotten = 123,
    /// The base version is above the version in force. This is not a rejection: the request may still be applied.
    BaseNotInForce = 124,
    /// No primary is known. The call can be retried.
    NoPrimary = 200,
    /// The primary did not respond in time; the outcome is unknown.
    Unclear = 201,
    /// The disk rejects writes.
    DiskFull = 202,
    /// The process is shutting down.
    Leaving = 203,
    /// The disk has not responded yet, so that the member does not know its ID.
    Opening = 204,
    /// No definite response came in time; the call may have taken effect or may still do so.
    OutcomeUnknown = 205,
    /// The API has no such call.
    NoSuchCall = 300,
    /// The call requires another HTTP method.
    OtherMethod = 301,
    /// The body is too large.
    TooLarge = 302,
    /// This version of the configuration is not stored here.
    NoSuchVersion = 303,
    /// No route matches the host name and path.
    NoRoute = 400,
    /// No host can accept the request now.
    NoHost = 401,
    /// The retry budget is exhausted.
    BudgetSpent = 402,
    /// The deadline has expired, and the request has not run.
    LateNotRun = 403,
    /// The deadline has expired, and the request may have run.
    LateMayHaveRun = 404,
    /// The host ended the exchange early, and the request may have run.
    HostBroke = 405,
    /// The request is malformed.
    BadRequest = 406,
    /// The head of the request is too large.
    HeadTooLarge = 407,
    /// The client did not send its request in time.
    SlowClient = 408,
    /// This process has too many requests or connections open.
    Crowded = 409,
    /// The request carries no API key, or one that no tenant has.
    UnknownKey = 410,
    /// The tenant has used up its quota.
    QuotaExceeded = 411,
    /// This process has had no contact with the control plane for so long that the API key may have been removed.
    KeysOutdated = 412,
    /// The hosts are overloaded: this request, or another one that it displaces, would be answered too late.
    HostsOverloaded = 413,
    /// Another holder has the lock.
    LockHeld = 500,
    /// The caller no longer holds the lock.
    LockLost = 501,
    /// The cell's revision differs from the expected one.
    RevisionConflict = 502,
    /// The cell doesn't exist.
    NoCell = 503,
    /// The puts that a watch asks for are no longer stored.
    HistoryGone = 504,
    /// The memory for locks, numbers and cells is used up.
    CoordinationFull = 505,
}

/// HTTP status and text of a result code.
struct Details {
    /// HTTP status code.
    status: u16,
    /// Meaning in a few words, which callers are sent.
    text: &'static str,
}

impl ResultCode {
    /// All result codes in the order of their numbers.
    pub const ALL: &'static [ResultCode] = &[
        Self::Ok,
        Self::Unreadable,
        Self::UnknownService,
        Self::SamePlace,
        Self::NoWeight,
        Self::NoDeadline,
        Self::OldVersion,
        Self::SameName,
        Self::BadValue,
        Self::SharedKey,
        Self::OtherBase,
        Self::NoBase,
        Self::NoConfiguration,
        Self::OrderForgotten,
        Self::BaseNotInForce,
        Self::NoPrimary,
        Self::Unclear,
        Self::DiskFull,
        Self::Leaving,
        Self::Opening,
        Self::OutcomeUnknown,
        Self::NoSuchCall,
        Self::OtherMethod,
        Self::TooLarge,
        Self::NoSuchVersion,
        Self::NoRoute,
        Self::NoHost,
        Self::BudgetSpent,
        Self::LateNotRun,
        Self::LateMayHaveRun,
        Self::HostBroke,
        Self::BadRequest,
        Self::HeadTooLarge,
        Self::SlowClient,
        Self::Crowded,
        Self::UnknownKey,
        Self::QuotaExceeded,
        Self::KeysOutdated,
        Self::HostsOverloaded,
        Self::LockHeld,
        Self::LockLost,
        Self::RevisionConflict,
        Self::NoCell,
        Self::HistoryGone,
        Self::CoordinationFull,
    ];

    /// Stable number of this result.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// HTTP status code of a response with this result.
    pub fn status(self) -> u16 {
        self.details().status
    }

    /// Meaning of this result in a few words, which callers are sent.
    pub fn text(self) -> &'static str {
        self.details().text
    }

    /// The result code with this number; `None` if there is none.
    pub fn from_number(number: u16) -> Option<ResultCode> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }

    fn details(self) -> Details {
        let (status, text) = match self {
            Self::Ok => (200, "done"),
            Self::Unreadable => (400, "the body can't be read whole"),
            Self::UnknownService => (400, "a route names an unknown service"),
            Self::SamePlace => (400, "two routes share host and prefix"),
            Self::NoWeight => (400, "a route's weights add up to 0"),
            Self::NoDeadline => (400, "a deadline is 0"),
            Self::OldVersion => (400, "the version is not above the current one"),
            Self::SameName => (400, "two items share a name"),
            Self::BadValue => (400, "a field has a value that it can't have"),
            Self::SharedKey => (422, "two tenants share a key"),
            Self::OtherBase => (412, "another version is in force"),
            Self::NoBase => (400, "the base version is missing or no number"),
            Self::NoConfiguration => (503, "no configuration has been taken yet"),
            Self::OrderForgotten => (503, "too old to tell whether it was taken"),
            Self::BaseNotInForce => (503, "the base version is not in force yet"),
            Self::NoPrimary => (503, "no primary is known here"),
            Self::Unclear => (503, "no clear answer in time"),
            Self::DiskFull => (503, "the disk refuses writes"),
            Self::Leaving => (503, "this process is leaving"),
            Self::Opening => (503, "the disk has not answered yet"),
            Self::OutcomeUnknown => (504, "no clear answer in time; it may take effect"),
            Self::NoSuchCall => (404, "no such call"),
            Self::OtherMethod => (405, "another method"),
            Self::TooLarge => (413, "the body is too large"),
            Self::NoSuchVersion => (404, "the configuration of this version is not kept here"),
            Self::NoRoute => (404, "no route fits"),
            Self::NoHost => (503, "no host can take the request now"),
            Self::BudgetSpent => (503, "the budget for further tries is spent"),
            Self::LateNotRun => (503, "its time is over; it has not run"),
            Self::LateMayHaveRun => (504, "its time is over; it may have run"),
            Self::HostBroke => (502, "the host broke off; it may have run"),
            Self::BadRequest => (400, "the request is malformed"),
            Self::HeadTooLarge => (431, "the head is too large"),
            Self::SlowClient => (408, "the request did not come whole in time"),
            Self::Crowded => (503, "too much is open here"),
            Self::UnknownKey => (401, "the key is missing or unknown"),
            Self::QuotaExceeded => (429, "the tenant's quota is used up"),
            Self::KeysOutdated => (503, "which keys hold isn't known here now"),
            Self::HostsOverloaded => (503, "the hosts are overloaded"),
            Self::LockHeld => (409, "another holder has the lock"),
            Self::LockLost => (409, "the lock is not the caller's any more"),
            Self::RevisionConflict => (412, "the cell has another revision"),
            Self::NoCell => (404, "no such cell"),
            Self::HistoryGone => (410, "the puts after this revision are not kept any more"),
            Self::CoordinationFull => (429, "locks, numbers and cells have used up their memory"),
        };
        Details { status, text }
    }
}
