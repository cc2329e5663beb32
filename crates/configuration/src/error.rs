//! The error for an invalid configuration.

use crate::result_code::ResultCode;
use snafu::Snafu;

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{} ({}): {detail}", code.text(), code.number()))]
pub struct InvalidConfiguration {
    /// Numbered reason.
    pub code: ResultCode,
    /// Item or field that is invalid, or the parser's message.
    pub detail: String,
}

/// Returns an [`InvalidConfiguration`] error.
pub(crate) fn invalid<T>(
    code: ResultCode,
    detail: impl Into<String>,
) -> Result<T, InvalidConfiguration> {
    InvalidConfigurationSnafu { code, detail }.fail()
}
