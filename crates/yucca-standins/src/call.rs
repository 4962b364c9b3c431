//! HTTP requests to a stand-in and their responses.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;

use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tiny_http::{Header, Request, Response};

use crate::proxy::Connection;

/// Maximum size of a request body; entry hosts accept at most 4 MiB from callers.
const MAX_BODY_BYTES: u64 = 8 * 1_024 * 1_024;

/// A request whose response has not been sent.
pub struct Call {
    request: Request,
    connection: Option<Arc<Connection>>,
    path: String,
    query: Vec<(String, String)>,
}

impl Call {
    /// Wraps a request; `connection` is `None` if the client has already disconnected.
    pub fn new(request: Request, connection: Option<Arc<Connection>>) -> Self {
        let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
        let path = percent_decode(path);
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (percent_decode(key), percent_decode(value)))
            .collect();
        Self {
            request,
            connection,
            path,
            query,
        }
    }

    /// Request method in upper case.
    pub fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// Percent-decoded path without the query.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Percent-decoded value of a query parameter; `None` if it is absent.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, value) = self.query.iter().find(|(key, _)| key == name)?;
        Some(value)
    }

    /// Query parameter as a number, or `default` if it is absent or not a number.
    pub fn query_number(&self, name: &str, default: u64) -> u64 {
        self.query(name)
            .and_then(|value| value.parse().ok())
            .unwrap_or(default)
    }

    /// Value of a request header; `None` if it is absent. The name is case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.request
            .headers()
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// Request header as a number; `None` if it is absent or not a number.
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }

    /// Peer address as the HTTP server sees it. This is the local address of the proxy's connection
    /// to the server, under which [`Connections`](crate::proxy::Connections) lists the connection.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.request.remote_addr().copied()
    }

    /// The client's connection, unless it was already closed when the request was read.
    pub fn connection(&self) -> Option<&Arc<Connection>> {
        self.connection.as_ref()
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// If the client disconnects first or the body exceeds 8 MiB.
    pub fn body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        let reader = self.request.as_reader();
        reader.take(MAX_BODY_BYTES + 1).read_to_end(&mut body)?;
        if body.len() as u64 > MAX_BODY_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        Ok(body)
    }

    /// Reads the whole body as JSON.
    ///
    /// # Errors
    ///
    /// A description of why the body cannot be read or parsed.
    pub fn body_json<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let body = self.body().map_err(|e| e.to_string())?;
        serde_json::from_slice(&body).map_err(|e| e.to_string())
    }

    /// Responds with a JSON body and additional headers.
    pub fn respond_with(self, status: u16, headers: &[(&str, &str)], body: &Value) {
        let mut response = Response::from_data(body.to_string())
            .with_status_code(status)
            .with_header(header("content-type", "application/json"));
        for (name, value) in headers {
            response.add_header(header(name, value));
        }
        // Fails only if the client has disconnected.
        let _ = self.request.respond(response);
    }

    /// Responds with a JSON body.
    pub fn respond(self, status: u16, body: &Value) {
        self.respond_with(status, &[], body);
    }

    /// Responds with a JSON body that contains the status and `detail`.
    pub fn respond_error(self, status: u16, detail: &str) {
        self.respond(status, &json!({"status": status, "detail": detail}));
    }

    /// Closes the client's connection without a response.
    pub fn abort(self) {
        if let Some(connection) = &self.connection {
            connection.shutdown();
        }
        // Dropping the request itself would make `tiny_http` send a response with status 500.
        drop(self.request.into_writer());
    }

    /// Starts a chunked response of server-sent events.
    ///
    /// # Errors
    ///
    /// If the client has disconnected.
    pub fn start_events(self, headers: &[(&str, &str)]) -> io::Result<EventWriter> {
        let mut writer = self.request.into_writer();
        let mut head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                        cache-control: no-cache\r\ntransfer-encoding: chunked\r\n"
            .to_owned();
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        writer.write_all(head.as_bytes())?;
        Ok(EventWriter { writer })
    }
}

/// Writes server-sent events, each in its own HTTP chunk, which is flushed immediately.
pub struct EventWriter {
    writer: Box<dyn Write + Send>,
}

impl EventWriter {
    /// Writes an event without a name.
    ///
    /// # Errors
    ///
    /// If the client has disconnected.
    pub fn data(&mut self, data: &str) -> io::Result<()> {
        self.chunk(&format!("data: {data}\n\n"))
    }

    /// Writes an event with a name.
    ///
    /// # Errors
    ///
    /// If the client has disconnected.
    pub fn event(&mut self, name: &str, data: &str) -> io::Result<()> {
        self.chunk(&format!("event: {name}\ndata: {data}\n\n"))
    }

    /// Ends the response.
    ///
    /// # Errors
    ///
    /// If the client has disconnected.
    pub fn end(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }

    fn chunk(&mut self, text: &str) -> io::Result<()> {
        let frame = format!("{:x}\r\n{text}\r\n", text.len());
        self.writer.write_all(frame.as_bytes())?;
        self.writer.flush()
    }
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value)
        .unwrap_or_else(|()| Header::from_bytes("x-invalid-header", "1").expect("constant header"))
}

fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}
