//! Gathers what several processes logged of one request, in order of time.

use serde_json::Value;

/// Fields that every line has, or that name the request itself.
const PLAIN_FIELDS: [&str; 4] = ["time_ms", "level", "event", "request"];

/// A line of a log that belongs to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The log that it stands in.
    pub source: String,
    /// The event's name.
    pub event: String,
    /// The event's other fields.
    pub fields: Vec<(String, Value)>,
}

/// Finds the lines of a request in a log. Text that is no JSON object is passed over, also where it
/// stands before one, as some collectors put a time and a machine there.
pub fn find(request: &str, source: &str, log: &str) -> Vec<Line> {
    log.lines().filter_map(|line| read(request, source, line)).collect()
}

/// Orders lines of several logs by time and writes them as a person reads them.
pub fn render(mut lines: Vec<Line>) -> String {
    lines.sort_by_key(|line| line.time_ms);
    let first = lines.first().map_or(0, |line| line.time_ms);
    let mut text = String::new();
    for line in &lines {
        let fields: Vec<String> =
            line.fields.iter().map(|(name, value)| format!("{name}={}", plain(value))).collect();
        let after = line.time_ms - first;
        let (source, event) = (&line.source, &line.event);
        text.push_str(&format!("+{after:>6} ms  {source}  {event}  {}\n", fields.join(" ")));
    }
    text
}

fn read(request: &str, source: &str, line: &str) -> Option<Line> {
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
        .filter(|(name, value)| !PLAIN_FIELDS.contains(&name.as_str()) && !value.is_null());
    Some(Line {
        time_ms: object.get("time_ms")?.as_u64()?,
        source,
        event: object.get("event")?.as_str()?.to_owned(),
        fields: fields.map(|(name, value)| (name.clone(), value.clone())).collect(),
    })
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
