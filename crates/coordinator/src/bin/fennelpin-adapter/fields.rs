//! Parsing of an input line: a message type and its values, separated by spaces. `-` stands for an
//! absent value.

use crate::error::WireError;
use std::str::FromStr;

/// The message type of one line, and its values, read in order.
pub struct Fields<'a> {
    message_type: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits the message type off a line.
    pub fn new(line: &'a str) -> Self {
        let (message_type, rest) = line
            .split_once(' ')
            .map_or((line, None), |(message_type, rest)| {
                (message_type, Some(rest))
            });
        Self { message_type, rest }
    }

    /// Returns the message type.
    pub fn message_type(&self) -> &'a str {
        self.message_type
    }

    /// Reads the next value as text; `None` if it is absent.
    pub fn optional(&mut self) -> Option<&'a str> {
        let line = self.rest?;
        let (value, rest) = line
            .split_once(' ')
            .map_or((line, None), |(value, rest)| (value, Some(rest)));
        self.rest = rest;
        (value != "-").then_some(value)
    }

    /// Skips the next value.
    pub fn skip(&mut self) {
        self.optional();
    }

    /// Reads the next value as text.
    ///
    /// # Errors
    /// If it is absent.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        match self.optional() {
            Some(text) => Ok(text),
            None => Err(self.missing(field)),
        }
    }

    /// Reads and parses the next value.
    ///
    /// # Errors
    /// If it is absent or can't be parsed.
    pub fn value<T: FromStr>(&mut self, field: &'static str) -> Result<T, WireError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| WireError::Unreadable {
            message: self.message_type.to_owned(),
            field,
            text: text.to_owned(),
        })
    }

    /// Reads the next value as a finite number.
    ///
    /// # Errors
    /// If it is absent, not a number or not finite.
    pub fn number(&mut self, field: &'static str) -> Result<f64, WireError> {
        let number: f64 = self.value(field)?;
        if !number.is_finite() {
            return Err(WireError::NotFinite {
                message: self.message_type.to_owned(),
                field,
            });
        }
        Ok(number)
    }

    /// Reads the rest of the line.
    ///
    /// # Errors
    /// If nothing is left.
    pub fn tail(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        self.rest.take().ok_or_else(|| self.missing(field))
    }

    fn missing(&self, field: &'static str) -> WireError {
        WireError::Missing {
            message: self.message_type.to_owned(),
            field,
        }
    }
}
