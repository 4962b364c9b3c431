//! A fleet of real entry and control processes with stand-ins for the platform.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::call::Caller;
use crate::process::Process;
use crate::wait_for;

/// Model that all engines run.
pub const MODEL: &str = "truss-advisor";
/// Version of the model in the initial catalogue.
pub const VERSION: &str = "v1";

/// Number of processes in a fleet, and the speed of its engines.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Entry hosts, each with an entry process and a control process.
    pub hosts: usize,
    /// Engines. The last one does not check fencing numbers.
    pub engines: usize,
    /// Servers of the ordering service.
    pub servers: usize,
    /// Tokens per second that an engine generates with a full batch.
    pub decode_tokens_per_s: u32,
}

/// A running fleet, whose processes are killed on drop.
pub struct Fleet {
    directory: PathBuf,
    processes: IndexMap<String, Process>,
    addresses: IndexMap<String, SocketAddr>,
    decode_tokens_per_s: u32,
    /// Client for calls to the processes.
    pub caller: Caller,
}

impl Fleet {
    /// Starts a fleet, applies its catalogue and waits until all hosts are ready.
    ///
    /// # Panics
    ///
    /// If a process does not start or a host does not become ready.
    pub fn spawn(test: &str, size: FleetSize) -> Self {
        Self::spawn_limited(test, size, "")
    }

    /// As [`Fleet::spawn`]; `limits` are the lines of the section `limits` of the settings.
    ///
    /// # Panics
    ///
    /// As [`Fleet::spawn`].
    pub fn spawn_limited(test: &str, size: FleetSize, limits: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("yuccacove-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("cannot create the test directory");
        let mut fleet = Self {
            directory,
            processes: IndexMap::new(),
            addresses: pick_addresses(size),
            decode_tokens_per_s: size.decode_tokens_per_s,
            caller: Caller::default(),
        };
        fleet.write_files(size, limits);
        fleet.start_store();
        for index in 1..=size.engines {
            fleet.start_engine(index, index != size.engines);
        }
        for index in 1..=size.servers {
            fleet.start_server(index);
        }
        let apply = fleet.yuccactl(&["apply", &fleet.path("catalogue.ini")]);
        assert_eq!(apply.0, 0, "yuccactl apply: {}", apply.1);
        for index in 1..=size.hosts {
            fleet.start_entry(index);
            fleet.start_control(index);
        }
        for index in 1..=size.hosts {
            fleet.wait_ready(index);
        }
        fleet
    }

    /// Address of `store`, `entry-N` (port for callers), `entry-N-operators`, `entry-N-peers`,
    /// `entry-N-control`, `engine-N` or `server-N`.
    ///
    /// # Panics
    ///
    /// If there is no such address.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// Process `store`, `entry-N`, `control-N`, `engine-N` or `server-N`.
    ///
    /// # Panics
    ///
    /// If there is no such process.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes
            .get_mut(name)
            .expect("no such process in the fleet")
    }

    /// Starts an empty store.
    pub fn start_store(&mut self) {
        let listen = self.address("store").to_string();
        self.spawn_process("store", "standin-store", &["--listen", &listen]);
        self.wait_responding("store");
    }

    /// Starts or restarts engine `index`. If `checks_fence` is false, it also accepts orders with an
    /// outdated fencing number.
    pub fn start_engine(&mut self, index: usize, checks_fence: bool) {
        let name = format!("engine-{index}");
        let listen = self.address(&name).to_string();
        let speed = self.decode_tokens_per_s.to_string();
        let checks_fence = if checks_fence { "yes" } else { "no" };
        let arguments = [
            "--listen",
            &listen,
            "--name",
            &name,
            "--model",
            MODEL,
            "--version",
            VERSION,
            "--checks-fence",
            checks_fence,
            "--decode-tokens-per-s",
            &speed,
            "--order-ms",
            "300",
        ];
        self.spawn_process(&name, "standin-engine", &arguments);
        self.wait_responding(&name);
    }

    /// Starts server `index` of the ordering service.
    pub fn start_server(&mut self, index: usize) {
        let name = format!("server-{index}");
        let listen = self.address(&name).to_string();
        self.spawn_process(
            &name,
            "standin-service",
            &["--listen", &listen, "--name", &name],
        );
        self.wait_responding(&name);
    }

    /// Starts or restarts the entry process of host `index`.
    pub fn start_entry(&mut self, index: usize) {
        let settings = self.path("fleet.ini");
        let host = format!("entry-{index}");
        self.spawn_process(
            &host,
            "yucca-entry",
            &["--settings", &settings, "--host", &host],
        );
    }

    /// Starts or restarts the control process of host `index`.
    pub fn start_control(&mut self, index: usize) {
        let settings = self.path("fleet.ini");
        let host = format!("entry-{index}");
        let arguments = ["--settings", &settings, "--host", &host];
        self.spawn_process(&format!("control-{index}"), "yucca-control", &arguments);
    }

    /// Waits until the entry process of host `index` reports that it is ready for callers.
    pub fn wait_ready(&self, index: usize) {
        let address = self.address(&format!("entry-{index}-operators"));
        wait_for("a host to become ready", || {
            let response = self.caller.get(address, "/readyz").ok()?;
            (response.status == 200).then_some(())
        });
    }

    /// Sends a fault command to a stand-in.
    ///
    /// # Panics
    ///
    /// If the stand-in does not accept the command.
    pub fn fault(&self, standin: &str, command: &Value) {
        let response = self
            .caller
            .post(self.address(standin), "/faults", command)
            .expect("no response from the stand-in");
        assert_eq!(response.status, 200, "{standin}: {command}");
    }

    /// Counters that a stand-in reports at `/stats`.
    ///
    /// # Panics
    ///
    /// If the stand-in does not respond.
    pub fn stats(&self, standin: &str) -> Value {
        let address = self.address(standin);
        self.caller
            .get(address, "/stats")
            .expect("no response from the stand-in")
            .body
    }

    /// Number of times that servers `server-1` to `server-<servers>` ran the order with `key`.
    pub fn order_runs(&self, key: &str, servers: usize) -> u64 {
        (1..=servers)
            .map(|index| self.stats(&format!("server-{index}")))
            .map(|stats| stats["runs"][key].as_u64().unwrap_or(0))
            .sum()
    }

    /// Waits until the store holds the response to an order. A caller receives its response before
    /// that, and a host that is killed in between leaves the outcome of the order unknown.
    pub fn wait_response_stored(&self) {
        let store = self.address("store");
        wait_for("a response to be stored", || {
            let list = self.caller.get(store, "/v1/objects?prefix=claim/").ok()?;
            list.body.to_string().contains("\"ended\"").then_some(())
        });
    }

    /// Runs `yuccactl` with the settings of the fleet and returns its exit code (-1 if it was ended
    /// by a signal) and output.
    pub fn yuccactl(&self, arguments: &[&str]) -> (i32, String) {
        let mut all = vec!["--settings".to_owned(), self.path("fleet.ini")];
        all.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        let mut process = Process::spawn(&self.directory, "yuccactl", "yuccactl", &all);
        let status = process.wait_exit();
        (status.code().unwrap_or(-1), process.log())
    }

    /// Log lines of a process that contain `text`.
    pub fn log_lines(&mut self, process: &str, text: &str) -> Vec<String> {
        let log = self.process(process).log();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    /// Path of a file in the test directory.
    pub fn path(&self, file: &str) -> String {
        self.directory.join(file).display().to_string()
    }

    fn spawn_process(&mut self, name: &str, program: &str, arguments: &[&str]) {
        let arguments: Vec<String> = arguments.iter().map(|a| (*a).to_owned()).collect();
        let process = Process::spawn(&self.directory, name, program, &arguments);
        self.processes.insert(name.to_owned(), process);
    }

    fn wait_responding(&self, standin: &str) {
        let address = self.address(standin);
        wait_for("a stand-in to respond", || {
            self.caller.get(address, "/stats").ok()
        });
    }

    fn write_files(&self, size: FleetSize, limits: &str) {
        let write = |file: &str, text: String| {
            std::fs::write(Path::new(&self.path(file)), text).expect("cannot write the test file");
        };
        let settings = format!("{}\n[limits]\n{limits}", self.settings(size));
        write("fleet.ini", settings);
        write("catalogue.ini", self.catalogue(size));
    }

    fn settings(&self, size: FleetSize) -> String {
        let mut text = format!(
            "[fleet]\ncustomer = hallgren\nregion = nordvik\n\n[store]\naddress = {}\n\n\
             [policy]\nbalancer_lag_ms = 200\n",
            self.address("store")
        );
        for index in 1..=size.hosts {
            let name = format!("entry-{index}");
            let port = |kind: &str| self.address(&format!("{name}-{kind}"));
            let _ = write!(
                text,
                "\n[host {name}]\nzone = nordvik-a\ncallers = {}\noperators = {}\npeers = {}\n\
                 control = {}\n",
                self.address(&name),
                port("operators"),
                port("peers"),
                port("control"),
            );
        }
        text
    }

    fn catalogue(&self, size: FleetSize) -> String {
        let mut text = CATALOGUE.to_owned();
        for index in 1..=size.engines {
            let name = format!("engine-{index}");
            let checks_fence = if index == size.engines { "no" } else { "yes" };
            let _ = write!(
                text,
                "\n[engine {name}]\nservice = truss-advisor\naddress = {}\nzone = nordvik-a\n\
                 role = mixed\nchecks_fence = {checks_fence}\n",
                self.address(&name),
            );
        }
        for index in 1..=size.servers {
            let name = format!("server-{index}");
            let _ = write!(
                text,
                "\n[server {name}]\nservice = order-desk\naddress = {}\nzone = nordvik-a\n",
                self.address(&name),
            );
        }
        text
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Assigns each process of a fleet an address that no other fleet and no outgoing connection uses.
/// The loopback address is derived from the process ID of the test, and the ports are below the
/// ephemeral port range.
fn pick_addresses(size: FleetSize) -> IndexMap<String, SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);
    let mut names = vec!["store".to_owned()];
    for index in 1..=size.hosts {
        names.push(format!("entry-{index}"));
        for kind in ["operators", "peers", "control"] {
            names.push(format!("entry-{index}-{kind}"));
        }
    }
    names.extend((1..=size.engines).map(|index| format!("engine-{index}")));
    names.extend((1..=size.servers).map(|index| format!("server-{index}")));
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // All of 127.0.0.0/8 is loopback. Process IDs have at most 22 bits, so the addresses are in
    // 127.64.0.0/10.
    let ip = Ipv4Addr::new(127, 64 + high, middle, low);
    names
        .into_iter()
        .map(|name| {
            let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            (name, SocketAddr::from((ip, port)))
        })
        .collect()
}

/// A fault command without parameters.
pub fn fault(mode: &str) -> Value {
    json!({ "mode": mode })
}

/// Catalogue of a fleet without its engines and servers.
const CATALOGUE: &str = "\
[owner yard-foremen]
organisation = hallgren

[service truss-advisor]
kind = model
model = truss-advisor
version = v1
floor_percent_urgent = 40
floor_percent_standard = 20
floor_percent_background = 10

[service order-desk]
kind = plain

[entry quote-questions]
owner = yard-foremen
service = truss-advisor
class = chat
rank = urgent
first_token_ms = 1500
between_tokens_ms = 61
deadline_ms = 60000
requests_per_s = 1000
concurrent = 1000
tokens_per_s = 1000000

[entry order-confirmations]
owner = yard-foremen
service = order-desk
class = order
rank = urgent
first_token_ms = 1000
between_tokens_ms = 0
deadline_ms = 10000
requests_per_s = 1000
concurrent = 1000
tokens_per_s = 0
path_prefix = /orders
methods = POST

[entry stock-reads]
owner = yard-foremen
service = order-desk
class = read
rank = standard
first_token_ms = 1000
between_tokens_ms = 0
deadline_ms = 10000
requests_per_s = 1000
concurrent = 1000
tokens_per_s = 0
path_prefix = /stock
methods = GET
";
