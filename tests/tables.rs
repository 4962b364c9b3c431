//! The tables in the documentation list exactly the codes and events defined in the source.

use yuccacove::code::Code;
use yuccacove::event::Event;

const CODES: &str = include_str!("../docs/codes.md");
const EVENTS: &str = include_str!("../docs/events.md");

fn rows(document: &str) -> Vec<&str> {
    document
        .lines()
        .filter(|line| {
            line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
        })
        .collect()
}

/// Guards against codes that are missing from the documentation, and against documented codes that
/// do not exist.
#[test]
fn codes_match_document() {
    let expected: Vec<String> = Code::ALL
        .iter()
        .map(|code| {
            let status = match code.http_status() {
                0 => "-".to_owned(),
                status => status.to_string(),
            };
            let (number, name) = (code.number(), code.name());
            let (outcome, title) = (code.outcome().name(), code.title());
            format!("| {number} | `{name}` | {status} | `{outcome}` | {title} |")
        })
        .collect();
    assert_eq!(rows(CODES), expected);
}

/// Guards against log events that are missing from the documentation, and against documented events
/// that do not exist.
#[test]
fn events_match_document() {
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            format!(
                "| {} | `{}` | {} |",
                event.number(),
                event.name(),
                event.text()
            )
        })
        .collect();
    assert_eq!(rows(EVENTS), expected);
}

/// Guards against codes or events that have the same number or are not in ascending order.
#[test]
fn numbers_ascend() {
    assert!(Code::ALL.is_sorted_by(|a, b| a.number() < b.number()));
    assert!(Event::ALL.is_sorted_by(|a, b| a.number() < b.number()));
}
