//! Routing: which backend server is expected to respond first.

mod choice;
mod prefix;
mod server;

pub use choice::{
    Choice, LONG_PROMPT_TOKENS, Policy, Request, choose, choose_less_loaded, choose_round_robin,
};
pub use prefix::{BLOCK_TOKENS, PrefixIndex, count_tokens, hash_blocks};
pub use server::{LoadReport, Server};
