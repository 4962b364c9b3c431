//! Generated prompts of a given size with shared prefixes.

use crate::trace::Row;

/// Generates the prompt of row number `index`. Rows with the same prefix name share the first three
/// quarters of their words, up to the length of the shorter prefix; all other words are unique to
/// the row.
pub fn prompt(row: &Row, index: usize) -> String {
    let shared = match &row.prefix {
        Some(_) => row.prompt_tokens * 3 / 4,
        None => 0,
    };
    let prefix = row.prefix.as_deref().unwrap_or_default();
    // White space in the prefix name would add words to the prompt.
    let prefix: String = prefix.split_whitespace().collect();
    let words = (0..row.prompt_tokens).map(|word| match word < shared {
        true => format!("{prefix}-{word}"),
        false => format!("r{index}-{word}"),
    });
    words.collect::<Vec<_>>().join(" ")
}
