//! Error reports of the command line.

use std::fmt;
use std::process::ExitCode;

use keeljunction_core::error::Context;
use keeljunction_core::{Error, ErrorKind};
use miette::Diagnostic;

const FAILED: u8 = 1;
const USAGE: u8 = 2;
const CONFLICT: u8 = 3;

/// A failure of a subcommand.
#[derive(Debug)]
pub struct Failure {
    error: Error,
    help: Option<String>,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let help = error.get_tip().map(str::to_owned);
        Self { error, help }
    }
}

impl From<std::io::Error> for Failure {
    fn from(error: std::io::Error) -> Self {
        Error::new(ErrorKind::Unavailable, error.to_string()).into()
    }
}

impl Failure {
    /// Prints the failure to standard error, and returns its exit status.
    pub fn print(self) -> ExitCode {
        let status = match self.error.get_kind() {
            ErrorKind::InvalidValue | ErrorKind::MissingKey | ErrorKind::Malformed => USAGE,
            ErrorKind::Conflict => CONFLICT,
            _ => FAILED,
        };
        eprintln!("{:?}", miette::Report::new(self));
        ExitCode::from(status)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.error.get_kind().as_str(), self.error.get_message())?;
        for context in self.error.get_context() {
            match context {
                Context::Key(key) => write!(f, "\n  key:     {key}")?,
                Context::Value(value) => write!(f, "\n  value:   {value}")?,
                Context::Allowed(allowed) => write!(f, "\n  allowed: {allowed}")?,
                _ => {}
            }
        }
        Ok(())
    }
}

impl std::error::Error for Failure {}

impl Diagnostic for Failure {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.help.as_ref().map(|help| Box::new(help) as Box<dyn fmt::Display>)
    }
}
