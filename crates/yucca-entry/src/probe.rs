//! Short calls to an engine, each on its own connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Method, Request};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout;

use yucca_io::connections::Connection;
use yucca_io::http_client::EngineReport;
use yucca_io::segmented_body::SegmentedBody;
use yucca_io::uri::encode_component;

/// Largest body of a response, such as a status report.
const MAX_STATUS_BYTES: usize = 64 * 1_024;

/// Asks the engine at `address` for its status on a fresh connection.
///
/// # Errors
///
/// A human-readable message when no valid report arrives within `limit_ms`.
pub async fn status(address: SocketAddr, limit_ms: u64) -> Result<EngineReport, String> {
    let (status, body) = call(Method::GET, "/v1/status", address, limit_ms).await?;
    if status != 200 {
        return Err(format!("status {status}"));
    }
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}

/// Cancels a request on the engine at `address`; an unknown request counts as cancelled.
///
/// # Errors
///
/// A human-readable message when the engine does not confirm within `limit_ms`.
pub async fn cancel(address: SocketAddr, request_id: &str, limit_ms: u64) -> Result<(), String> {
    let path = format!("/v1/requests/{}", encode_component(request_id));
    match call(Method::DELETE, &path, address, limit_ms).await? {
        (200..=299 | 404, _) => Ok(()),
        (status, _) => Err(format!("status {status}")),
    }
}

async fn call(
    method: Method,
    path: &str,
    address: SocketAddr,
    limit_ms: u64,
) -> Result<(u16, Bytes), String> {
    let exchange = async {
        let opened = Connection::open(address, limit_ms).await;
        let mut connection = opened.map_err(|fault| fault.to_string())?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .body(SegmentedBody::default())
            .map_err(|e| e.to_string())?;
        let response = connection.send(request).await.map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_STATUS_BYTES)
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        Ok((status, body.to_bytes()))
    };
    match timeout(Duration::from_millis(limit_ms), exchange).await {
        Ok(result) => result,
        Err(_) => Err(format!("no response within {limit_ms} ms")),
    }
}
