//! The latest decisions of a host about requests, kept for explanations.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use serde_json::Value;

/// Largest number of decisions kept; the oldest ones are dropped.
const MAX_DECISIONS: usize = 10_000;

struct Decision {
    request_id: String,
    content: Value,
}

/// A bounded log of decisions.
#[derive(Default)]
pub struct Decisions {
    latest: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Records a decision about the request with `request_id`.
    pub fn record(&self, request_id: &str, content: Value) {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        if latest.len() == MAX_DECISIONS {
            latest.pop_front();
        }
        latest.push_back(Decision {
            request_id: request_id.to_owned(),
            content,
        });
    }

    /// Decisions about the request with `request_id`, oldest first.
    pub fn explain(&self, request_id: &str) -> Vec<Value> {
        let latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        latest
            .iter()
            .filter(|d| d.request_id == request_id)
            .map(|d| d.content.clone())
            .collect()
    }
}
