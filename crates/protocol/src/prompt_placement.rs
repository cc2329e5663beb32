//! What proxies tell each other about the prompt prefixes that hosts have cached.

use crate::codec::{read_list, read_string, write_list, write_string};
use binrw::binrw;

/// One part of a prompt's prefix, as a host's KV cache holds it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct PromptPart {
    /// Identifies the content: equal parts have equal ids.
    pub id: u64,
    /// Number of its tokens.
    pub tokens: u32,
}

/// A prompt that a host was sent, so that its cache holds the parts.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct PromptPlacement {
    /// The host's id.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub host: String,
    /// The parts that other prompts may share, in the prompt's order.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub parts: Vec<PromptPart>,
}
