//! Decodes coordination requests from path, query and body: the locks, numbers, cells and watches of applications, and
//! the requests with which operators list locks and cells and free locks.

use bytes::Bytes;
use configuration::ResultCode;
use coordination::{
    check_group_name, check_hold_ms, check_name, check_value, InvalidField, MAX_WAIT_MS,
};
use protocol::CoordinationRequest;
use serde::Deserialize;

/// A coordination operation, as decoded from the path and the query before the body is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoordinationEndpoint {
    /// Acquires the lock of this name.
    AcquireLock(String),
    /// Extends the hold time of the lock of this name.
    RenewLock(String),
    /// Releases the lock of this name.
    ReleaseLock(String),
    /// Takes the next number of the counter of this name.
    NextNumber(String),
    /// Writes a value to the cell of this name.
    PutCell(String),
    /// Reads the cell of this name.
    ReadCell(String),
    /// Waits for writes to a group of cells.
    Watch {
        /// The group's name.
        group: String,
        /// The query string with the parameters `after` (a revision) and `wait_ms`.
        query: String,
    },
    /// Lists all locks, for operators.
    ListLocks,
    /// Lists the groups of cells if the name is empty, else the cells of the group of this name; for operators.
    ListCells(String),
    /// Frees the lock of this name, whoever holds it; for operators.
    FreeLock(String),
}

#[derive(Deserialize)]
struct AcquireBody {
    holder: String,
    hold_ms: f64,
}

#[derive(Deserialize)]
struct RenewBody {
    holder: String,
    fence: u64,
    hold_ms: f64,
}

#[derive(Deserialize)]
struct ReleaseBody {
    holder: String,
    fence: u64,
}

#[derive(Deserialize)]
struct PutBody {
    value: String,
    /// The revision that the cell must have; `None` accepts any revision.
    #[serde(rename = "enabled")]
    expected_revision: Option<u64>,
}

impl CoordinationEndpoint {
    /// Decodes an operation, which is the path after `/fennelpin/`, and its query.
    ///
    /// # Errors
    /// [`ResultCode::NoSuchCall`] for an unknown operation, [`ResultCode::BadValue`] for an invalid name.
    pub fn from_operation(operation: &str, query: &str) -> Result<Self, ResultCode> {
        let (call, name) = operation.split_once('/').unwrap_or((operation, ""));
        let endpoint = match call {
            "Locks.Begin" => Self::AcquireLock(name.into()),
            "Locks.Heartbeat" => Self::RenewLock(name.into()),
            "Locks.Finish" => Self::ReleaseLock(name.into()),
            "Locks.Free" => Self::FreeLock(name.into()),
            "numbers" => Self::NextNumber(name.into()),
            "Cells.Replace" => Self::PutCell(name.into()),
            "Cells.Read" => Self::ReadCell(name.into()),
            "watch" => Self::Watch {
                group: name.into(),
                query: query.into(),
            },
            "Locks.List" if name.is_empty() => return Ok(Self::ListLocks),
            "Cells.List" if name.is_empty() => return Ok(Self::ListCells(String::new())),
            "Cells.List" => Self::ListCells(name.into()),
            _ => return Err(ResultCode::NoSuchCall),
        };
        let is_group = matches!(endpoint, Self::Watch { .. });
        let checked = if is_group {
            check_group_name(name)
        } else {
            check_name("the name", name)
        };
        checked.map_err(|error| bad_value(&error))?;
        if name.contains('/') {
            return Err(ResultCode::BadValue);
        }
        Ok(endpoint)
    }

    /// Whether the operation only reads; such operations use the method GET.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Self::ReadCell(_) | Self::Watch { .. } | Self::ListLocks | Self::ListCells(_)
        )
    }

    /// Completes the request with its body. `attempt` is a number that is unique to this request.
    ///
    /// # Errors
    /// [`ResultCode::Unreadable`] if the body can't be parsed or a field is missing, [`ResultCode::BadValue`] for a
    /// value that is out of bounds.
    pub fn into_request(
        self,
        body: &Bytes,
        attempt: u64,
    ) -> Result<CoordinationRequest, ResultCode> {
        Ok(match self {
            Self::AcquireLock(name) => {
                let body: AcquireBody = read_body(body)?;
                CoordinationRequest::AcquireLock {
                    name,
                    holder: checked_holder(body.holder)?,
                    hold_ms: checked_hold_ms(body.hold_ms)?,
                    attempt,
                }
            }
            Self::RenewLock(name) => {
                let body: RenewBody = read_body(body)?;
                CoordinationRequest::RenewLock {
                    name,
                    holder: checked_holder(body.holder)?,
                    fence: body.fence,
                    hold_ms: checked_hold_ms(body.hold_ms)?,
                }
            }
            Self::ReleaseLock(name) => {
                let body: ReleaseBody = read_body(body)?;
                CoordinationRequest::ReleaseLock {
                    name,
                    holder: checked_holder(body.holder)?,
                    fence: body.fence,
                }
            }
            Self::NextNumber(name) => CoordinationRequest::NextNumber { name },
            Self::PutCell(name) => {
                let body: PutBody = read_body(body)?;
                check_value(&body.value).map_err(|error| bad_value(&error))?;
                CoordinationRequest::PutCell {
                    name,
                    value: body.value,
                    expected_revision: body.expected_revision,
                }
            }
            Self::ReadCell(name) => CoordinationRequest::ReadCell { name },
            Self::Watch { group, query } => watch_request(group, &query)?,
            Self::ListLocks => CoordinationRequest::ListLocks { reserved: 0 },
            Self::ListCells(group) => CoordinationRequest::ListCells { group },
            Self::FreeLock(name) => CoordinationRequest::FreeLock { name },
        })
    }
}

fn read_body<'b, T: Deserialize<'b>>(body: &'b Bytes) -> Result<T, ResultCode> {
    serde_json::from_slice(body).map_err(|_| ResultCode::Unreadable)
}

fn checked_holder(holder: String) -> Result<String, ResultCode> {
    check_name("the holder", &holder).map_err(|error| bad_value(&error))?;
    Ok(holder)
}

fn checked_hold_ms(hold_ms: f64) -> Result<u32, ResultCode> {
    check_hold_ms(hold_ms).map_err(|error| bad_value(&error))
}

fn bad_value(error: &InvalidField) -> ResultCode {
    log::debug!(error:%; "rejecting a coordination request with an invalid field");
    ResultCode::BadValue
}

fn watch_request(group: String, query: &str) -> Result<CoordinationRequest, ResultCode> {
    let value = |name: &str| {
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let mut values = fields.filter(|field| field.0 == name).map(|field| field.1);
        values.next()
    };
    let after = value("after").and_then(|text| text.parse().ok());
    let wait_ms: Option<f64> = value("wait_ms").map_or(Some(0.0), |text| text.parse().ok());
    let wait_ms = wait_ms.filter(|wait| *wait >= 0.0);
    Ok(CoordinationRequest::Watch {
        group,
        after: after.ok_or(ResultCode::BadValue)?,
        wait_ms: wait_ms
            .ok_or(ResultCode::BadValue)?
            .min(f64::from(MAX_WAIT_MS)) as u32,
    })
}
