//! The values of one line of the input, separated by spaces; `-` stands for an absent one.

use crate::error::WireError;
use std::str::FromStr;

/// The values of one line, read in order.
pub struct Fields<'a> {
    word: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// Splits the message's word off a line.
    pub fn new(line: &'a str) -> Self {
        let (word, rest) = line
            .split_once(' ')
            .map_or((line, None), |(word, rest)| (word, Some(rest)));
        Self { word, rest }
    }

    /// The message's word.
    pub fn word(&self) -> &'a str {
        self.word
    }

    /// The next value as text; `None` if it is absent.
    pub fn optional(&mut self) -> Option<&'a str> {
        let line = self.rest?;
        let (value, rest) = line
            .split_once(' ')
            .map_or((line, None), |(value, rest)| (value, Some(rest)));
        self.rest = rest;
        (value != "-").then_some(value)
    }

    /// Skips a value.
    pub fn skip(&mut self) {
        self.optional();
    }

    /// The next value as text.
    ///
    /// # Errors
    /// If it is absent.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        match self.optional() {
            Some(text) => Ok(text),
            None => Err(self.missing(field)),
        }
    }

    /// The next value, parsed.
    ///
    /// # Errors
    /// If it is absent or can't be parsed.
    pub fn value<T: FromStr>(&mut self, field: &'static str) -> Result<T, WireError> {
        let text = self.text(field)?;
        text.parse().map_err(|_| WireError::Unreadable {
            message: self.word.to_owned(),
            field,
            text: text.to_owned(),
        })
    }

    /// The next value, a finite number.
    ///
    /// # Errors
    /// If it is absent, no number or not finite.
    pub fn number(&mut self, field: &'static str) -> Result<f64, WireError> {
        let number: f64 = self.value(field)?;
        if !number.is_finite() {
            return Err(WireError::NotFinite {
                message: self.word.to_owned(),
                field,
            });
        }
        Ok(number)
    }

    /// All that is left of the line.
    ///
    /// # Errors
    /// If nothing is left.
    pub fn tail(&mut self, field: &'static str) -> Result<&'a str, WireError> {
        self.rest.take().ok_or_else(|| self.missing(field))
    }

    fn missing(&self, field: &'static str) -> WireError {
        WireError::Missing {
            message: self.word.to_owned(),
            field,
        }
    }
}
