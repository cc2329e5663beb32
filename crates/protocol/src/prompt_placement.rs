//! Prompt placements: which prompt prefixes hosts have cached, as shared between proxies.

use crate::codec::{read_list, read_string, write_list, write_string};
use binrw::binrw;

/// Part of a prompt prefix, as held in a host's KV cache.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct PromptPart {
    /// Content id: equal parts have equal ids.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// Prompt that was sent to a host, so that the host's cache holds its parts.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Default)]
pub struct PromptPlacement {
    /// Id of the host.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub host: String,
    /// Parts that other prompts may share, in the order of the prompt.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub parts: Vec<PromptPart>,
}
