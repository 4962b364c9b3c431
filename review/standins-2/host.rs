//! The product's program as a process of its own, started with the command of the deploy file.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;

/// The command of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/yucca-platform";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// A host with its settings; its process is killed on drop.
pub struct Host {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

/// First of the ports from which free ones are taken. They lie below those that the kernel gives to outgoing
/// connections.
const FIRST_PORT: u32 = 11_000;
const PORTS: u32 = 20_000;

/// Returns a loopback address whose port is free for TCP and UDP, and was not returned before.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97) % PORTS;
    loop {
        let port = FIRST_PORT + (start + NEXT.fetch_add(1, Ordering::SeqCst)) % PORTS;
        let port = u16::try_from(port).expect("a port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Host {
    /// Writes the settings as the platform does from `deploy/settings.ini.template`.
    pub fn new(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Self {
        let [callers, readiness, metrics, peers] = [(); 4].map(|()| free_address());
        let text = format!(
            "[host]\nname = {name}\nzone = {zone}\ncallers = {callers}\nreadiness = {readiness}\n\
             metrics = {metrics}\npeer_ip = 127.0.0.1\npeer_ports = {0},{0}\nmemory_mb = 260\n\
             max_fds = 4200\n\n[store]\naddress = {store}\n\n[bounds]\nretry_ratio = 0.2\n\
             retry_slack = 54\ndrain_ms = 2000\nconfig_ms = 2000\ngrace_s = 8\nlease_ms = 3000\n\
             heartbeat_ms = 1200\n\n[control_api]\n",
            peers.port()
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("written settings");
        let log = folder.join(format!("{name}.log"));
        Self { callers, readiness, settings, log, process: None }
    }

    /// Starts the process and waits until it is ready. Returns `false` if it is not within 15 s.
    pub fn start(&mut self) -> bool {
        if !self.launch() {
            return false;
        }
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(15) {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    /// Starts the process without waiting for it. Returns `false` if it could not be started.
    pub fn launch(&mut self) -> bool {
        let log = File::options().append(true).create(true).open(&self.log).expect("a log");
        let process = Command::new(PROGRAM)
            .env("YUCCACOVE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log)
            .spawn();
        self.process = process.ok();
        self.process.is_some()
    }

    /// Returns the resident memory of the process in bytes; `None` if it has ended.
    pub fn resident_bytes(&self) -> Option<u64> {
        let id = self.process.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes * 1_024)
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Asks as the platform does.
    pub fn is_ready(&self) -> bool {
        let question = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = call(self.readiness, question, Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period. Returns
    /// whether it ended by itself.
    pub fn stop(&mut self) -> bool {
        let Some(mut process) = self.process.take() else { return true };
        let id = i32::try_from(process.id()).expect("a process id");
        // SAFETY: sends a signal to a child that has not been waited for.
        unsafe { kill(id, SIGTERM) };
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(8) {
            if matches!(process.try_wait(), Ok(Some(_))) {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        let _ = process.kill();
        let _ = process.wait();
        false
    }

    /// Returns the lines of the log with one of these words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
