//! The `keeljunction` binary: the entry node and the operator commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    keeljunction::command::run(&keeljunction::command::build().get_matches())
}
