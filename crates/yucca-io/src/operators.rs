//! The operators' port of a daemon: an HTTP server that handles one small request at a time.

use std::borrow::Cow;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use anyhow::{Result, anyhow};
use percent_encoding::percent_decode_str;
use tiny_http::{Header, Method, Request, Response, Server};

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 1_024 * 1_024;

/// A request to the operators' port.
#[derive(Debug)]
pub struct OperatorsRequest {
    /// Whether the method is POST; otherwise it is GET.
    pub is_post: bool,
    /// Path without the query.
    pub path: String,
    /// Query string without the question mark; empty if there is none.
    pub query: String,
    /// Body, of at most 1 MiB.
    pub body: String,
}

impl OperatorsRequest {
    /// Value of the query parameter `name`, decoded.
    pub fn parameter(&self, name: &str) -> Option<Cow<'_, str>> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode_str(value).decode_utf8_lossy())
    }
}

/// Reply to an [`OperatorsRequest`].
#[derive(Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: String,
}

impl Reply {
    /// A plain-text reply.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            content_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }

    /// A JSON reply.
    pub fn json(status: u16, body: &serde_json::Value) -> Self {
        Self {
            status,
            content_type: "application/json",
            body: body.to_string(),
        }
    }

    /// Metrics in the `OpenMetrics` text format.
    pub fn metrics(body: String) -> Self {
        Self {
            status: 200,
            content_type: "application/openmetrics-text; version=1.0.0; charset=utf-8",
            body,
        }
    }
}

/// A running server on an operators' port; dropping it closes the port.
pub struct OperatorsPort {
    server: Arc<Server>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorsPort {
    /// Listens on `address` and replies to each request with the result of `handle`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound or the thread cannot be started.
    pub fn bind<F>(address: SocketAddr, handle: F) -> Result<Self>
    where
        F: Fn(&OperatorsRequest) -> Reply + Send + 'static,
    {
        let server = Server::http(address).map_err(|e| anyhow!("bind {address}: {e}"))?;
        let server = Arc::new(server);
        let requests = Arc::clone(&server);
        let thread = thread::Builder::new()
            .name("operators".to_owned())
            .spawn(move || {
                for request in requests.incoming_requests() {
                    serve_request(request, &handle);
                }
            })?;
        Ok(Self {
            server,
            thread: Some(thread),
        })
    }
}

impl Drop for OperatorsPort {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve_request(mut request: Request, handle: &impl Fn(&OperatorsRequest) -> Reply) {
    let reply = match read_request(&mut request) {
        Some(parsed) => handle(&parsed),
        None => Reply::text(
            400,
            "expected GET or POST with a UTF-8 body of at most 1 MiB\n",
        ),
    };
    let mut response = Response::from_string(reply.body).with_status_code(reply.status);
    if let Ok(header) = Header::from_bytes("Content-Type", reply.content_type) {
        response.add_header(header);
    }
    // The client may have disconnected; there is no one else to report the error to.
    let _ = request.respond(response);
}

fn read_request(request: &mut Request) -> Option<OperatorsRequest> {
    let is_post = match request.method() {
        Method::Get => false,
        Method::Post => true,
        _ => return None,
    };
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path.to_owned(), query.to_owned()),
        None => (request.url().to_owned(), String::new()),
    };
    let mut body = String::new();
    let mut reader = request.as_reader().take(MAX_BODY_BYTES + 1);
    reader.read_to_string(&mut body).ok()?;
    (body.len() as u64 <= MAX_BODY_BYTES).then_some(OperatorsRequest {
        is_post,
        path,
        query,
        body,
    })
}
