//! A link between the hosts and a server, as a proxy that holds bytes up like one that loses packets.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Starts a proxy for `server` and returns its address. What the server sends is held up for `hold` at the
/// end of each `interval`, as by a packet that is lost and sent again.
pub fn lossy(server: SocketAddr, interval: Duration, hold: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a link");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(server) else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (near, far) = (Arc::new(near), Arc::new(far));
            let (from_host, to_server) = (Arc::clone(&near), Arc::clone(&far));
            thread::spawn(move || copy(&from_host, &to_server, None));
            thread::spawn(move || copy(&far, &near, Some((interval, hold))));
        }
    });
    address
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, holds: Option<(Duration, Duration)>) {
    let mut buffer = [0; 16 * 1_024];
    let mut passed = Instant::now();
    loop {
        if let Some((interval, hold)) = holds
            && passed.elapsed() >= interval
        {
            thread::sleep(hold);
            passed = Instant::now();
        }
        let read = from.read(&mut buffer).unwrap_or(0);
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}
