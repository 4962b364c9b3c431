//! A fleet with its stand-ins.

use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};

use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::call::Caller;
use crate::process::Process;
use crate::wait_for;

/// Model that all engines serve.
pub const MODEL: &str = "truss-advisor";
/// Version that the catalogue orders.
pub const VERSION: &str = "v1";

/// Number of processes of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Entry hosts.
    pub hosts: usize,
    /// Engines; the last one does not check fencing numbers.
    pub engines: usize,
    /// Servers of the ordering service.
    pub servers: usize,
    /// Generated tokens a second of an engine with a full batch.
    pub decode_tokens_per_s: u32,
}

/// A running fleet. All its processes end when the handle is dropped.
pub struct Fleet {
    folder: PathBuf,
    processes: IndexMap<String, Process>,
    addresses: IndexMap<String, SocketAddr>,
    decode_tokens_per_s: u32,
    /// Calls of the test.
    pub caller: Caller,
}

impl Fleet {
    /// Starts a fleet, applies its catalogue and waits until all hosts are ready.
    ///
    /// # Panics
    ///
    /// When something does not start.
    pub fn spawn(test: &str, size: FleetSize) -> Self {
        let folder = std::env::temp_dir().join(format!("yuccacove-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("folder of the test");
        let mut fleet = Self {
            folder,
            processes: IndexMap::new(),
            addresses: pick_addresses(size),
            decode_tokens_per_s: size.decode_tokens_per_s,
            caller: Caller::default(),
        };
        fleet.write_files(size);
        fleet.start_store();
        for index in 1..=size.engines {
            fleet.start_engine(index, index != size.engines);
        }
        for index in 1..=size.servers {
            fleet.start_server(index);
        }
        let apply = fleet.yuccactl(&["apply", &fleet.path("catalogue.ini")]);
        assert_eq!(apply.0, 0, "apply: {}", apply.1);
        for index in 1..=size.hosts {
            fleet.start_entry(index);
            fleet.start_control(index);
        }
        for index in 1..=size.hosts {
            fleet.wait_ready(index);
        }
        fleet
    }

    /// Address of `store`, `entry-N` (callers), `entry-N-operators`, `entry-N-control`, `engine-N`
    /// or `server-N`.
    ///
    /// # Panics
    ///
    /// When there is no such address.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// A running process by name: `store`, `entry-N`, `control-N`, `engine-N` or `server-N`.
    ///
    /// # Panics
    ///
    /// When there is no such process.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes
            .get_mut(name)
            .expect("a process of the fleet")
    }

    /// Starts the store, with nothing in it.
    pub fn start_store(&mut self) {
        let listen = self.address("store").to_string();
        self.spawn_process("store", "standin-store", &["--listen", &listen]);
        self.wait_responding("store");
    }

    /// Starts or restarts engine `index`.
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

    /// Waits until host `index` is ready for callers.
    pub fn wait_ready(&self, index: usize) {
        let address = self.address(&format!("entry-{index}-operators"));
        wait_for("a host to be ready", || {
            let answer = self.caller.get(address, "/readyz").ok()?;
            (answer.status == 200).then_some(())
        });
    }

    /// Gives a fault command to a stand-in.
    ///
    /// # Panics
    ///
    /// When it is refused.
    pub fn fault(&self, standin: &str, command: &Value) {
        let answer = self
            .caller
            .post(self.address(standin), "/faults", command)
            .expect("the stand-in answers");
        assert_eq!(answer.status, 200, "{standin}: {command}");
    }

    /// Counters of a stand-in.
    ///
    /// # Panics
    ///
    /// When it does not answer.
    pub fn stats(&self, standin: &str) -> Value {
        let address = self.address(standin);
        self.caller
            .get(address, "/stats")
            .expect("the stand-in answers")
            .body
    }

    /// How often all servers together ran the order with `key`.
    pub fn order_runs(&self, key: &str, servers: usize) -> u64 {
        (1..=servers)
            .map(|index| self.stats(&format!("server-{index}")))
            .map(|stats| stats["runs"][key].as_u64().unwrap_or(0))
            .sum()
    }

    /// Waits until the store holds the answer of an order. A caller has its answer before that, and
    /// a host that is killed in between leaves an order with an unknown outcome.
    pub fn wait_response_stored(&self) {
        let store = self.address("store");
        wait_for("an answer to be kept", || {
            let list = self.caller.get(store, "/v1/objects?prefix=claim/").ok()?;
            list.body.to_string().contains("\"ended\"").then_some(())
        });
    }

    /// Runs an operators' command and returns its exit code and output.
    pub fn yuccactl(&self, arguments: &[&str]) -> (i32, String) {
        let mut all = vec!["--settings".to_owned(), self.path("fleet.ini")];
        all.extend(arguments.iter().map(|argument| (*argument).to_owned()));
        let mut process = Process::spawn(&self.folder, "yuccactl", "yuccactl", &all);
        let status = process.wait_exit();
        (status.code().unwrap_or(-1), process.log())
    }

    /// Lines of a process's log that contain `text`.
    pub fn log_lines(&mut self, process: &str, text: &str) -> Vec<String> {
        let log = self.process(process).log();
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }

    /// Path of a file in the test's folder.
    pub fn path(&self, file: &str) -> String {
        self.folder.join(file).display().to_string()
    }

    fn spawn_process(&mut self, name: &str, program: &str, arguments: &[&str]) {
        let arguments: Vec<String> = arguments.iter().map(|a| (*a).to_owned()).collect();
        let process = Process::spawn(&self.folder, name, program, &arguments);
        self.processes.insert(name.to_owned(), process);
    }

    fn wait_responding(&self, standin: &str) {
        let address = self.address(standin);
        wait_for("a stand-in to answer", || {
            self.caller.get(address, "/stats").ok()
        });
    }

    fn write_files(&self, size: FleetSize) {
        let write = |file: &str, text: String| {
            std::fs::write(Path::new(&self.path(file)), text).expect("file of the test");
        };
        write("fleet.ini", self.settings(size));
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
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Gives each process of a fleet an address that no other fleet and no outgoing connection uses:
/// the loopback address comes from the test's process id, and the ports lie below the range that
/// the system gives to outgoing connections.
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
    // 127.64.0.0 and above are loopback addresses too; ids have at most 22 bits.
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
