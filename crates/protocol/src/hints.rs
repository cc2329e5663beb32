//! What proxies tell each other of prompts that hosts keep.

use crate::wire::{list, put_list, put_text, text};
use binrw::binrw;

/// A part of a prompt.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Part {
    /// Its identity.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// What a host was sent and so keeps.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Placement {
    /// The host.
    #[br(parse_with = text)]
    #[bw(write_with = put_text)]
    pub host: String,
    /// Parts of prompts that others may ask for too, in order.
    #[br(parse_with = list)]
    #[bw(write_with = put_list)]
    pub parts: Vec<Part>,
}
