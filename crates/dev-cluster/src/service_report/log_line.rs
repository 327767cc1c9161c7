//! Parses the log lines of controllers: a time in UTC, the level, the event, and its fields as `key=value`.

use std::collections::BTreeMap;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Seconds per hour, minute and second: the units of the parts of a time of day.
const CLOCK_UNITS_S: [f64; 3] = [3_600.0, 60.0, 1.0];
/// The level that precedes the event. Events of jobs are logged at this level only.
const LEVEL: &str = " INFO ";

/// An event in the life cycle of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobEvent {
    Accepted,
    Started,
    Done,
    Cancelled,
}

impl JobEvent {
    fn parse(word: &str) -> Option<Self> {
        match word {
            "accepted" => Some(Self::Accepted),
            "started" => Some(Self::Started),
            "done" => Some(Self::Done),
            // The event is named differently by different versions of pearford.
            "cancelled" | "withdrawn" => Some(Self::Cancelled),
            _ => None,
        }
    }
}

/// A line of a controller's log.
#[derive(Debug)]
pub(super) struct LogLine<'a> {
    /// When it was logged, in seconds: the day of the month times 86,400, plus the time of day.
    pub(super) at_s: f64,
    /// The job's event, if the line is about a job.
    pub(super) event: Option<JobEvent>,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// Parses a line. Skips everything before the time, such as the prefix of a log collector. Returns `None`
    /// if the line has no time or isn't of level INFO.
    pub(super) fn parse(line: &'a str) -> Option<Self> {
        let at_s = line.split_whitespace().find(|word| is_timestamp(word)).and_then(seconds_of_month)?;
        let event = &line[line.find(LEVEL)? + LEVEL.len()..];
        let mut words = event.split_whitespace();
        let event = JobEvent::parse(words.next()?);
        Some(Self { at_s, event, fields: words.filter_map(|word| word.split_once('=')).collect() })
    }

    /// The value of a field.
    pub(super) fn field(&self, key: &str) -> Option<&'a str> {
        self.fields.get(key).copied()
    }
}

fn is_timestamp(word: &str) -> bool {
    word.ends_with('Z') && word.contains('T')
}

/// The seconds since the beginning of the day before the month, for a time such as `2026-09-30T23:00:55.0Z`.
/// Year and month are ignored.
fn seconds_of_month(timestamp: &str) -> Option<f64> {
    let (date, clock) = timestamp.strip_suffix('Z')?.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut seconds = day * SECONDS_PER_DAY;
    for (part, unit_s) in clock.split(':').zip(CLOCK_UNITS_S) {
        seconds += part.parse::<f64>().ok()? * unit_s;
    }
    Some(seconds)
}
