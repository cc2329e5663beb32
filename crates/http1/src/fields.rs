//! Header fields of a message, stored as spans of the head's bytes.

use bytes::Bytes;

/// Fields that are always hop-by-hop (RFC 9110, section 7.6.1), in addition to those that `Connection` lists.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a line, without its line ending, is a field (RFC 9110, sections 5.1 and 5.5): a token, a colon, and a
/// value without control bytes other than tabs.
pub(crate) fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return false;
    };
    let (name, value) = line.split_at(colon);
    let has_control = value
        .iter()
        .any(|byte| byte.is_ascii_control() && *byte != b'\t');
    !name.is_empty() && name.iter().all(|byte| is_token_byte(*byte)) && !has_control
}

/// Returns whether a token may contain this byte (RFC 9110, section 5.6.2).
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Byte range of a part within a head.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    offset: usize,
    length: usize,
}

impl Span {
    /// Returns the span of `part`, which has to be a slice of `head`.
    pub(crate) fn within(head: &[u8], part: &[u8]) -> Self {
        // An empty part may point outside the head; its offset is irrelevant.
        Self {
            offset: (part.as_ptr() as usize).saturating_sub(head.as_ptr() as usize),
            length: part.len(),
        }
    }
}

/// Spans of a field's name and value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldSpan {
    name: Span,
    value: Span,
}

/// Returns the spans of parsed fields within the head that they were parsed from.
pub(crate) fn field_spans(head: &[u8], fields: &[httparse::Header]) -> Vec<FieldSpan> {
    fields
        .iter()
        .map(|field| FieldSpan {
            name: Span::within(head, field.name.as_bytes()),
            value: Span::within(head, field.value),
        })
        .collect()
}

/// Header fields of a message (RFC 9110, section 5), in the order received and with the original case of their names.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    pub(crate) head: Bytes,
    pub(crate) spans: Vec<FieldSpan>,
}

impl Fields {
    /// Returns the bytes of a span of the head.
    pub(crate) fn slice(&self, span: Span) -> &[u8] {
        self.head
            .get(span.offset..span.offset + span.length)
            .unwrap_or_default()
    }

    /// Iterates over the names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans
            .iter()
            .map(|field| (self.slice(field.name), self.slice(field.value)))
    }

    /// Returns the value of the first field with this name. All methods compare names case-insensitively.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first field with this name, trimmed; `None` if there is none or it isn't UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// Iterates over the values of all fields with this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns whether the comma-separated lists in the fields with this name contain a token, compared
    /// case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Returns whether a field with this name applies only to the connection that it was received on and must not be
    /// forwarded.
    pub fn is_hop_by_hop(&self, name: &[u8]) -> bool {
        HOP_BY_HOP
            .iter()
            .any(|known| name.eq_ignore_ascii_case(known.as_bytes()))
            || std::str::from_utf8(name).is_ok_and(|name| self.has_token("connection", name))
    }
}
