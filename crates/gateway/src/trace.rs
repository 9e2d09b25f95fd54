//! Collects the log lines of one request from the logs of several processes, ordered by time.

use serde_json::Value;

/// Fields common to all lines of a request, which are not rendered as fields.
const COMMON_FIELDS: [&str; 4] = ["time_ms", "level", "event", "request"];

/// A log line that belongs to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of the line, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The source of the line: the name of the log, or a prefix added by a log collector.
    pub source: String,
    /// The event's name.
    pub event: String,
    /// The event's other fields.
    pub fields: Vec<(String, Value)>,
}

/// Returns the lines of a request in a log.
///
/// Lines that are not JSON objects are skipped. Text before the object, such as the time and host that
/// some log collectors add, is taken as the source of the line.
pub fn find(request: &str, source: &str, log: &str) -> Vec<Line> {
    log.lines().filter_map(|line| parse_line(request, source, line)).collect()
}

/// Sorts lines of several logs by time and formats them for reading.
pub fn render(mut lines: Vec<Line>) -> String {
    lines.sort_by_key(|line| line.time_ms);
    let first = lines.first().map_or(0, |line| line.time_ms);
    let mut text = String::new();
    for line in &lines {
        let fields: Vec<String> = line
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={}", format_value(value)))
            .collect();
        let after = line.time_ms - first;
        let (source, event) = (&line.source, &line.event);
        text.push_str(&format!("+{after:>6} ms  {source}  {event}  {}\n", fields.join(" ")));
    }
    text
}

fn parse_line(request: &str, source: &str, line: &str) -> Option<Line> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[start..]).ok()?;
    let object = value.as_object()?;
    if object.get("request")?.as_str()? != request {
        return None;
    }
    let prefix = line[..start].trim();
    let source = if prefix.is_empty() { source.to_owned() } else { prefix.to_owned() };
    let fields = object
        .iter()
        .filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null());
    Some(Line {
        time_ms: object.get("time_ms")?.as_u64()?,
        source,
        event: object.get("event")?.as_str()?.to_owned(),
        fields: fields.map(|(name, value)| (name.clone(), value.clone())).collect(),
    })
}

fn format_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
