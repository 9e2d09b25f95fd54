//! Logging to standard error, as JSON lines.

use std::str::FromStr;

use log::LevelFilter;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::json::JsonEncoder;

const APPENDER: &str = "stderr";

/// Starts logging to standard error, with one JSON object per line.
///
/// An unknown level is treated as `info`. A second call has no effect.
pub fn start(level: &str) {
    let level = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let appender =
        ConsoleAppender::builder().target(Target::Stderr).encoder(Box::new(JsonEncoder::new()));
    let appender = Appender::builder().build(APPENDER, Box::new(appender.build()));
    let root = Root::builder().appender(APPENDER).build(level);
    if let Ok(config) = Config::builder().appender(appender).build(root) {
        let _ = log4rs::init_config(config);
    }
}
