//! Reads the lines that controllers log: a time in UTC, the level, the event, and its fields as `key=value`.

use std::collections::BTreeMap;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// The units of a clock time's parts, in seconds: hours, minutes, seconds.
const CLOCK_UNITS_S: [f64; 3] = [3_600.0, 60.0, 1.0];
/// Precedes the event; other levels say nothing about jobs.
const LEVEL: &str = " INFO ";

/// What may happen to a job.
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
            // Versions differ in the word.
            "cancelled" | "withdrawn" => Some(Self::Cancelled),
            _ => None,
        }
    }
}

/// A line of a controller's log.
#[derive(Debug)]
pub(super) struct LogLine<'a> {
    /// When it was logged, in seconds: the day of the month in days, plus the time of day.
    pub(super) at_s: f64,
    /// What happened to a job, if it is about that.
    pub(super) event: Option<JobEvent>,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> LogLine<'a> {
    /// Reads a line. Whatever precedes the time, such as a prefix of the log's collector, is skipped; `None` if the
    /// line has no time or isn't of level INFO.
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

/// The seconds of `2026-09-30T23:00:55.0Z`, with the day of its month counted as days and the month left out.
fn seconds_of_month(timestamp: &str) -> Option<f64> {
    let (date, clock) = timestamp.strip_suffix('Z')?.split_once('T')?;
    let day: f64 = date.rsplit('-').next()?.parse().ok()?;
    let mut seconds = day * SECONDS_PER_DAY;
    for (part, unit_s) in clock.split(':').zip(CLOCK_UNITS_S) {
        seconds += part.parse::<f64>().ok()? * unit_s;
    }
    Some(seconds)
}
