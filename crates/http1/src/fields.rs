//! The fields of a head, kept as places in its bytes.

use bytes::Bytes;

/// Place of a part in the bytes of a head.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Span {
    at: usize,
    len: usize,
}

impl Span {
    /// The place of `part` in `base`, which it was cut from.
    pub(crate) fn of(base: &[u8], part: &[u8]) -> Span {
        // Both come from one buffer; for an empty part the place does not matter.
        Span {
            at: (part.as_ptr() as usize).saturating_sub(base.as_ptr() as usize),
            len: part.len(),
        }
    }
}

/// The places of names and values of parsed fields.
pub(crate) fn spans(base: &[u8], headers: &[httparse::Header]) -> Vec<(Span, Span)> {
    headers
        .iter()
        .map(|h| (Span::of(base, h.name.as_bytes()), Span::of(base, h.value)))
        .collect()
}

/// The fields of a head, in order and in their own case.
#[derive(Clone, Debug, Default)]
pub struct Fields {
    pub(crate) raw: Bytes,
    pub(crate) spans: Vec<(Span, Span)>,
}

impl Fields {
    /// The bytes at a place in the head.
    pub(crate) fn span(&self, span: Span) -> &[u8] {
        self.raw
            .get(span.at..span.at + span.len)
            .unwrap_or_default()
    }

    /// All fields: names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans
            .iter()
            .map(|(n, v)| (self.span(*n), self.span(*v)))
    }

    /// The value of the first field of this name, in any case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, v)| v)
    }

    /// The value of the first field of this name as text.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        self.get(name)
            .and_then(|v| std::str::from_utf8(v).ok())
            .map(str::trim)
    }

    /// The values of all fields of this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, v)| v)
    }

    /// Whether a list field of this name holds the token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|v| v.split(|b| *b == b','))
            .any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Whether a field concerns only the connection that it came on.
    pub fn is_hop_by_hop(&self, name: &[u8]) -> bool {
        const NAMES: [&str; 9] = [
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
        NAMES
            .iter()
            .any(|n| name.eq_ignore_ascii_case(n.as_bytes()))
            || std::str::from_utf8(name).is_ok_and(|n| self.has_token("connection", n))
    }
}
