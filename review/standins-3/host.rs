//! A host's process, started with the command of the deploy file, and its settings.

use std::fs::File;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;

/// Command of the role in the deploy file.
const COMMAND: &str = "target/release/yucca-platform";

pub struct Host {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Host {
    /// Starts a host; its settings and its log go into `folder`.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Self {
        Self::start_with(name, store, folder, 260, "")
    }

    /// As [`Host::start`], on a machine with `memory_mb`, and with further lines of the section `bounds`.
    pub fn start_with(
        name: &str,
        store: SocketAddr,
        folder: &Path,
        memory_mb: u32,
        bounds: &str,
    ) -> Self {
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| free_address());
        let text = format!(
            "[host]\nname = {name}\nzone = a\ncallers = {callers}\nreadiness = {readiness}\n\
             metrics = {metrics}\npeer_ip = 127.0.0.1\npeer_ports = {},{}\nmemory_mb = {memory_mb}\n\
             max_fds = 4100\n\n[store]\naddress = {store}\n\n[bounds]\nretry_ratio = 0.2\n\
             retry_slack = 54\ndrain_ms = 2000\nconfig_ms = 2000\ngrace_s = 8\nlease_ms = 3000\n\
             heartbeat_ms = 1200\n{bounds}\n[control_api]\n",
            peers.port(),
            peers.port()
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("a settings file");
        let child = spawn(&settings);
        Self {
            callers,
            readiness,
            settings,
            child,
        }
    }

    /// Kills the process, as a loss of power does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Waits until the host says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(15) {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if std::io::Write::write_all(&mut stream, request).is_err() {
            return false;
        }
        read_message(&mut BufReader::new(stream)).is_some_and(|m| m.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &Path) -> Child {
    let log = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(log).expect("a log");
    Command::new(COMMAND)
        .env("YUCCACOVE_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the program of the deploy file")
}

/// First of the ports for hosts and engines, below those that the kernel gives to outgoing connections.
const FIRST_PORT: u32 = 20_000;
/// Number of these ports.
const PORTS: u32 = 10_000;

/// Returns a loopback address whose port is free for TCP and UDP, another one at each call.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 97 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + number % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
