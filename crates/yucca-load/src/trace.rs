//! Traces of requests in JSON Lines format.

use anyhow::{Result, anyhow, bail};
use serde::Deserialize;

/// A request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Time at which the request is sent, in ms from the start of the replay.
    pub at_ms: u64,
    /// Name of the catalogue entry.
    pub entry: String,
    /// Size of the prompt in words; used for chat only.
    #[serde(default)]
    pub prompt_tokens: usize,
    /// Number of tokens to generate; used for chat only.
    #[serde(default)]
    pub output_tokens: usize,
    /// Name of a shared prefix, which makes up the first three quarters of the prompt; used for
    /// chat only.
    #[serde(default)]
    pub prefix: Option<String>,
    /// Idempotency key to send. `None`: an order gets a generated key, other requests get none.
    #[serde(default)]
    pub key: Option<String>,
}

/// Parses a trace and sorts its rows by `at_ms`.
///
/// `is_chat` returns whether the named entry has class chat, or an error message if there is no
/// such entry. Error messages refer to the trace as `name`.
///
/// # Errors
///
/// If a line is invalid or the trace has no request. The message is one line of text and, for an
/// invalid line, contains the line number and the reason.
pub fn parse(
    name: &str,
    text: &str,
    is_chat: &dyn Fn(&str) -> Result<bool, String>,
) -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        if line.trim().is_empty() {
            continue;
        }
        rows.push(
            parse_row(line, is_chat).map_err(|error| anyhow!("{name}: line {number}: {error}"))?,
        );
    }
    if rows.is_empty() {
        bail!("{name}: expected at least one request");
    }
    rows.sort_by_key(|row: &Row| row.at_ms);
    Ok(rows)
}

fn parse_row(line: &str, is_chat: &dyn Fn(&str) -> Result<bool, String>) -> Result<Row, String> {
    // The JSON parser sees a single line, so the line number in its messages is always 1.
    let row: Row = serde_json::from_str(line)
        .map_err(|e| e.to_string().replace(" at line 1 column ", " at column "))?;
    let is_chat = is_chat(&row.entry)?;
    if is_chat && (row.prompt_tokens == 0 || row.output_tokens == 0) {
        return Err("a chat request needs prompt_tokens and output_tokens above 0".to_owned());
    }
    Ok(row)
}
