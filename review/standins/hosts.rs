//! The project's program as processes, with the settings of a small deployment.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// The command of the deploy file, which starts in the root of the repository.
const PROGRAM: &str = "target/release/yucca-platform";

pub struct Host {
    name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Host {
    /// Writes the settings of a host as the deploy file's template does, and starts it.
    pub fn spawn(
        number: usize,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Self {
        let name = format!("front-{zone}-{number}");
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (callers, readiness, metrics, peer) = (address(), address(), address(), free_port());
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[host]\nname = {name}\nzone = {zone}\ncallers = {callers}\nreadiness = {readiness}\n\
             metrics = {metrics}\npeer_ip = 127.0.0.1\npeer_ports = {peer},{peer}\n\n\
             [store]\naddress = {store}\n\n\
             [bounds]\nretry_ratio = 0.2\nretry_slack = 54\ndrain_ms = 2000\nconfig_ms = 2000\n\
             grace_s = 8\nlease_ms = 3000\nheartbeat_ms = 1200\n"
        );
        std::fs::write(&settings, text).expect("a writable folder");
        let log = folder.join(format!("{name}.log"));
        let mut host = Self { name, callers, readiness, settings, log, child: None };
        host.start(record);
        host
    }

    fn start(&mut self, record: &Record) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a writable folder");
        let child = Command::new(PROGRAM)
            .env("YUCCACOVE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a handle"))
            .stdout(log)
            .spawn();
        self.child = child.ok();
        let pid = self.child.as_ref().map_or(0, Child::id);
        record.line(format!("host {} pid {pid}", self.name));
    }

    /// Memory of the process that is in use, in bytes; 0 if it does not run.
    pub fn memory_bytes(&self) -> u64 {
        let pid = self.child.as_ref().map_or(0, Child::id);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Ends the process with SIGKILL and starts it again, as the platform does.
    pub fn kill_and_restart(&mut self, record: &Record) {
        self.kill();
        thread::sleep(Duration::from_millis(500));
        self.start(record);
    }

    /// Ends the process with SIGKILL.
    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        http::call(self.readiness, "GET", "/readyz", "Host: x\r\n", b"", second).status == 200
    }

    /// Waits until the host is ready. Returns whether it is within `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
