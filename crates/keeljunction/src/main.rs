//! The one binary: entry nodes and the operators' client.

use std::process::ExitCode;

fn main() -> ExitCode {
    keeljunction::command::run(&keeljunction::command::build().get_matches())
}
