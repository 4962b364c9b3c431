//! Replays a trace of requests against running entry hosts, checks each response and summarises the
//! results.
//!
//! ```
//! use yucca_load::trace;
//!
//! let line = r#"{"at_ms": 20, "entry": "quote-questions", "prompt_tokens": 300, "output_tokens": 40}"#;
//! let rows = trace::parse("day.jsonl", line, &|entry| match entry {
//!     "quote-questions" => Ok(true),
//!     _ => Err("no such entry".to_owned()),
//! }).expect("valid trace");
//! assert_eq!(rows[0].at_ms, 20);
//! ```

pub mod check;
pub mod connections;
pub mod monitor;
pub mod process_usage;
pub mod prompt;
pub mod replay;
pub mod request;
pub mod summary;
pub mod timeline;
pub mod trace;
