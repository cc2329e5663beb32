//! The fields of a head, kept as spans of its bytes.

use bytes::Bytes;

/// Hop-by-hop fields (RFC 9110, section 7.6.1) whatever `Connection` lists.
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

/// Where a part stands in the bytes of a head.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    offset: usize,
    length: usize,
}

impl Span {
    /// The span of `part`, which has to be a slice of `head`.
    pub(crate) fn within(head: &[u8], part: &[u8]) -> Self {
        // An empty part may point elsewhere; its offset doesn't matter.
        Self {
            offset: (part.as_ptr() as usize).saturating_sub(head.as_ptr() as usize),
            length: part.len(),
        }
    }
}

/// Name and value of a field.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldSpan {
    name: Span,
    value: Span,
}

/// The spans of parsed fields within the head that they were parsed from.
pub(crate) fn field_spans(head: &[u8], fields: &[httparse::Header]) -> Vec<FieldSpan> {
    fields
        .iter()
        .map(|field| FieldSpan {
            name: Span::within(head, field.name.as_bytes()),
            value: Span::within(head, field.value),
        })
        .collect()
}

/// The fields of a head (RFC 9110, section 5), in their order and with the case of their names.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    pub(crate) head: Bytes,
    pub(crate) spans: Vec<FieldSpan>,
}

impl Fields {
    /// The bytes of a span of the head.
    pub(crate) fn slice(&self, span: Span) -> &[u8] {
        self.head
            .get(span.offset..span.offset + span.length)
            .unwrap_or_default()
    }

    /// All fields, as names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans
            .iter()
            .map(|field| (self.slice(field.name), self.slice(field.value)))
    }

    /// The value of the first field of this name. Names compare without case, here and below.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// The value of the first field of this name, without white space around it; `None` if it isn't UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }

    /// The values of all fields of this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Whether the comma-separated lists in the fields of this name contain a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(|byte| *byte == b','))
            .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Whether a field of this name concerns only the connection it came on and must not be forwarded.
    pub fn is_hop_by_hop(&self, name: &[u8]) -> bool {
        HOP_BY_HOP
            .iter()
            .any(|known| name.eq_ignore_ascii_case(known.as_bytes()))
            || std::str::from_utf8(name).is_ok_and(|name| self.has_token("connection", name))
    }
}
