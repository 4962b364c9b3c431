//! Test of how long a peer may be silent before the kernel closes a connection to it.

use std::net::TcpListener;
use std::time::Duration;

use socket2::SockRef;
use tokio::runtime::Builder;
use yucca_io::connections::connect;

/// Guards against connections to sound backends that are closed when these fall silent for a second or so.
#[test]
fn silence_of_two_seconds_is_borne() {
    const BORNE: Duration = Duration::from_secs(2);
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    runtime.block_on(async {
        let stream = connect(address, 400).await.expect("a connection");
        let socket = SockRef::from(&stream);
        let user_timeout = socket.tcp_user_timeout().expect("an option");
        assert!(
            user_timeout.is_some_and(|limit| limit > BORNE),
            "{user_timeout:?}"
        );
        let first = socket.tcp_keepalive_time().expect("an option");
        let interval = socket.tcp_keepalive_interval().expect("an option");
        let probes = socket.tcp_keepalive_retries().expect("an option");
        let given_up = first + interval * probes;
        assert!(given_up > BORNE, "{given_up:?}");
    });
}
