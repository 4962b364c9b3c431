//! A host that takes all tunnels, for tests that measure what tunnels leave behind.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use http::StatusCode;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use yucca_io::connections::BackendFault;
use yucca_io::tunnel::{Gate, serve};

struct OpenGate;

impl Gate for OpenGate {
    type Permit = ();

    fn admits(&self, _: IpAddr) -> bool {
        true
    }

    fn permit(&self, _: SocketAddr) -> Result<(), StatusCode> {
        Ok(())
    }

    fn record(&self, _: SocketAddr, _: Result<(), BackendFault>) {}
}

/// Runs a test on one thread, beside a host that takes all tunnels. `test` receives the host's address.
pub fn run_beside_host(test: impl AsyncFnOnce(SocketAddr)) {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port");
        let host = listener.local_addr().expect("an address");
        spawn_local(serve(listener, Rc::new(OpenGate)));
        test(host).await;
    });
}
