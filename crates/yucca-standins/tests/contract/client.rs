//! HTTP client for the tests of the stand-ins.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::http::Request;
use yucca_standins::standin::{Standin, spawn_standin};

/// Timeout of requests and of waits for a condition; reached only on a failure.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

#[derive(Clone)]
pub struct Client {
    pub address: SocketAddr,
    agent: ureq::Agent,
}

pub struct Response {
    pub status: u16,
    pub headers: ureq::http::HeaderMap,
    pub text: String,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("JSON response")
    }
}

pub fn spawn<S: Standin>(standin: Arc<S>) -> Client {
    Client::new(spawn_standin((Ipv4Addr::LOCALHOST, 0).into(), standin).expect("free port"))
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self::with_timeout(address, WAIT_LIMIT)
    }

    pub fn with_timeout(address: SocketAddr, timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .allow_non_standard_methods(true)
            // A pooled connection could be closed or silenced by a fault injected for another one.
            .max_idle_connections(0)
            .timeout_global(Some(timeout));
        let agent = config.build().new_agent();
        Self { address, agent }
    }

    /// Sends a request. An error means that no complete response arrived.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response, ureq::Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut response = if body.is_empty() {
            self.agent.run(request.body(()).expect("valid request"))?
        } else {
            self.agent
                .run(request.body(body.to_owned()).expect("valid request"))?
        };
        Ok(Response {
            status: response.status().as_u16(),
            headers: response.headers().clone(),
            text: response.body_mut().read_to_string()?,
        })
    }

    pub fn get(&self, path: &str) -> Response {
        self.call("GET", path, &[], "").expect("response")
    }

    pub fn post(&self, path: &str, body: &Value) -> Response {
        self.call("POST", path, &[], &body.to_string())
            .expect("response")
    }

    pub fn inject_fault(&self, command: Value) {
        assert_eq!(self.post("/faults", &command).status, 200, "{command}");
    }

    pub fn end_faults(&self) {
        self.inject_fault(json!({"mode": "none"}));
    }

    pub fn stats(&self) -> Value {
        self.get("/stats").json()
    }

    /// Waits until the counters satisfy `condition`.
    pub fn wait_for_stats(&self, condition: impl Fn(&Value) -> bool) -> Value {
        let deadline = Instant::now() + WAIT_LIMIT;
        loop {
            let stats = self.stats();
            if condition(&stats) {
                return stats;
            }
            assert!(Instant::now() < deadline, "condition not reached: {stats}");
            thread::yield_now();
        }
    }
}
