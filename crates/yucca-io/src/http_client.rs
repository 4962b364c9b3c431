//! Blocking HTTP client for engines and operators' ports. Every call has a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, bail};
use serde::Deserialize;
use serde_json::{Value, json};
use ureq::Agent;
use ureq::http::Response;
use yuccacove::catalogue::{EngineSpec, Role};

/// Timeout of a call.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// Maximum size of a response body.
const MAX_BODY_BYTES: u64 = 16 * 1_024 * 1_024;

/// HTTP client for short calls with JSON bodies; clones share its connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    agent: Agent,
}

/// Status report of an engine, the response to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineReport {
    /// Name of the loaded model.
    pub model: String,
    /// Version of the loaded model.
    pub version: String,
    /// Current role.
    pub role: Role,
    /// Whether the engine is ready for requests.
    pub state: EngineState,
    /// Highest fencing number that the engine has seen; 0 if it does not check fencing numbers.
    #[serde(default)]
    pub fence: u64,
    /// Intent id of the last accepted order; `None` or empty before the first one.
    #[serde(default)]
    pub last_order: Option<String>,
    /// Number of running requests `age_ms` ago.
    #[serde(default)]
    pub running: u64,
    /// Number of queued requests `age_ms` ago.
    #[serde(default)]
    pub waiting: u64,
    /// Number of prompt tokens waiting for prefill `age_ms` ago.
    #[serde(default)]
    pub prefill_backlog_tokens: u64,
    /// Number of output tokens still to be generated `age_ms` ago.
    #[serde(default)]
    pub decode_backlog_tokens: u64,
    /// Age in milliseconds of the four load figures above.
    #[serde(default)]
    pub age_ms: u64,
    /// Identifier of the engine process; it changes with each restart.
    #[serde(default)]
    pub incarnation: u64,
}

/// Whether an engine is ready for requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineState {
    /// The engine accepts requests.
    Ready,
    /// The engine is loading a model or changing its role.
    Changing,
}

/// An engine's response to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReply {
    /// The order was accepted by this call or by an earlier one.
    Taken,
    /// Refused: the order's fencing number is below the highest one that the engine has seen, which
    /// is given.
    Fenced(u64),
    /// Refused: another order is in progress, whose intent id is given.
    Busy(String),
}

impl Default for HttpClient {
    fn default() -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self { agent }
    }
}

impl HttpClient {
    /// Sends `GET path` to `address` and returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// If no complete response arrives within 1 s.
    pub fn get(&self, address: SocketAddr, path: &str) -> Result<(u16, String)> {
        let response = self
            .agent
            .get(format!("http://{address}{path}"))
            .config()
            .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
            .build()
            .call()?;
        read_body(response)
    }

    /// Sends `POST path` with a JSON body to `address` and returns the status and body of the
    /// response.
    ///
    /// # Errors
    ///
    /// If no complete response arrives within 1 s. The call may have taken effect.
    pub fn post(&self, address: SocketAddr, path: &str, body: &Value) -> Result<(u16, String)> {
        let response = self
            .agent
            .post(format!("http://{address}{path}"))
            .config()
            .timeout_global(Some(Duration::from_millis(CALL_TIMEOUT_MS)))
            .build()
            .send_json(body)?;
        read_body(response)
    }

    /// Fetches the status report of the engine at `address`.
    ///
    /// # Errors
    ///
    /// If the engine does not return a valid report within 1 s.
    pub fn engine_report(&self, address: SocketAddr) -> Result<EngineReport> {
        let (status, body) = self.get(address, "/v1/status")?;
        if status != 200 {
            bail!("the engine responded with status {status}");
        }
        Ok(serde_json::from_str(&body)?)
    }

    /// Sends an order for `spec`, with the intent id `intent` and the fencing number `fence`, to
    /// the engine at `address`.
    ///
    /// # Errors
    ///
    /// If no valid response arrives within 1 s. The engine may have accepted the order.
    pub fn order(
        &self,
        address: SocketAddr,
        intent: &str,
        fence: u64,
        spec: &EngineSpec,
    ) -> Result<OrderReply> {
        #[derive(Default, Deserialize)]
        #[serde(default)]
        struct Refusal {
            fence: Option<u64>,
            busy: Option<String>,
        }
        let body = json!({
            "intent": intent,
            "fence": fence,
            "model": spec.model,
            "version": spec.version,
            "role": spec.role,
        });
        let (status, body) = self.post(address, "/v1/orders", &body)?;
        match status {
            200..=299 => Ok(OrderReply::Taken),
            409 => match serde_json::from_str(&body)? {
                Refusal {
                    busy: Some(busy), ..
                } => Ok(OrderReply::Busy(busy)),
                Refusal {
                    fence: Some(fence), ..
                } => Ok(OrderReply::Fenced(fence)),
                Refusal { .. } => bail!("the engine's 409 response has no fence or busy field"),
            },
            status => bail!("the engine responded with status {status}: {body}"),
        }
    }
}

fn read_body(mut response: Response<ureq::Body>) -> Result<(u16, String)> {
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_BODY_BYTES)
        .read_to_string()?;
    Ok((status, body))
}
