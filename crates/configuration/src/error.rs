//! Why a configuration is rejected.

use crate::result_code::ResultCode;
use snafu::Snafu;

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{} ({}): {detail}", code.text(), code.number()))]
pub struct InvalidConfiguration {
    /// The numbered reason.
    pub code: ResultCode,
    /// The item or field that is invalid.
    pub detail: String,
}

/// Fails with a reason.
pub(crate) fn invalid<T>(
    code: ResultCode,
    detail: impl Into<String>,
) -> Result<T, InvalidConfiguration> {
    InvalidConfigurationSnafu { code, detail }.fail()
}
