//! Measures the resource usage of one idle yucca-entry and one idle yucca-control with fleets of
//! several sizes. This process simulates the engines.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use lexopt::prelude::*;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};
use yucca_load::connections::get_json;
use yucca_load::process_usage::ProcessUsage;

const HELP: &str = "\
Usage: yucca-bench-rest --bin DIR --out DIR

  --bin DIR  directory of the release binaries
  --out DIR  scratch directory for settings and logs
";

const ENGINE_COUNTS: [usize; 4] = [12, 100, 300, 930];
/// Number of models among which the engines are divided; each has its own pool and lease.
const MODELS: usize = 4;
const ENTRIES_PER_MODEL: usize = 3;
/// Time between readiness and the measurement, in which the process reads its first listings, polls
/// the engines for the first time and acquires leases.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Length of a measurement; longer than a watch request of the store, which takes up to 20 s.
const MEASUREMENT_TIME: Duration = Duration::from_secs(24);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The measured process, which has its own store and engines.
struct Bench {
    bin: PathBuf,
    out: PathBuf,
    /// Name of the binary to measure.
    process: &'static str,
    /// Third octet of the loopback addresses.
    net: u8,
}

/// A child process that is killed on drop.
struct RunningProcess(Child);

impl Drop for RunningProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Status requests that the simulated engines have answered.
#[derive(Default)]
struct Polls {
    count: AtomicU64,
    /// Size of the HTTP requests and responses, without TCP and IP headers.
    bytes: AtomicU64,
}

impl Polls {
    fn read(&self) -> [u64; 2] {
        [&self.count, &self.bytes].map(|counter| counter.load(Ordering::Relaxed))
    }
}

/// Measured values of one fleet by name of the quantity.
type Row = BTreeMap<String, f64>;

#[tokio::main(worker_threads = 2)]
async fn main() -> anyhow::Result<()> {
    let (mut bin, mut out) = (None, None);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("bin") => bin = Some(PathBuf::from(parser.value()?)),
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            _ => return Err(argument.unexpected().into()),
        }
    }
    let bin = bin.context("--bin is missing")?;
    let out = out.context("--out is missing")?;
    let bench = |process, net| Bench {
        bin: bin.clone(),
        out: out.clone(),
        process,
        net,
    };
    let benches = [bench("yucca-entry", 82), bench("yucca-control", 83)];
    let mut rows = [Vec::new(), Vec::new()];
    for engines in ENGINE_COUNTS {
        let both = tokio::try_join!(benches[0].measure(engines), benches[1].measure(engines))?;
        rows[0].push((engines, both.0));
        rows[1].push((engines, both.1));
    }
    for (bench, rows) in benches.iter().zip(&rows) {
        print_rows(bench.process, rows);
    }
    Ok(())
}

impl Bench {
    /// Runs the process with a store and `engines` engines and measures it.
    async fn measure(&self, engines: usize) -> anyhow::Result<Row> {
        let polls = Arc::new(Polls::default());
        let mut listeners: Vec<AbortHandle> = Vec::new();
        for index in 0..engines {
            let listener = TcpListener::bind(self.engine_address(index)).await?;
            let serving = serve_engine(listener, index, Arc::clone(&polls));
            listeners.push(tokio::spawn(serving).abort_handle());
        }
        let settings = self.out.join(format!("{}.ini", self.process));
        let catalogue = self
            .out
            .join(format!("{}-catalogue-{engines}.ini", self.process));
        fs::write(&settings, self.settings_text())?;
        fs::write(&catalogue, self.catalogue_text(engines))?;
        let log = self.out.join(format!("{}-{engines}.log", self.process));

        let store = self.address(25_900);
        let listen = store.to_string();
        let _store = self.start("standin-store", &["--listen", &listen], &log)?;
        wait_for(store, "/stats", 0).await?;
        // No host is running yet, so `yuccactl` cannot announce the changes to the hosts, but it
        // still succeeds.
        let mut apply = Command::new(self.bin.join("yuccactl"));
        apply
            .arg("--settings")
            .arg(&settings)
            .arg("apply")
            .arg(&catalogue);
        let applied = apply.output()?;
        let detail = || String::from_utf8_lossy(&applied.stderr).into_owned();
        ensure!(applied.status.success(), "yuccactl apply: {}", detail());

        let settings = settings
            .to_str()
            .context("the path of the settings is not UTF-8")?;
        let arguments = ["--settings", settings, "--host", "entry-1"];
        let child = self.start(self.process, &arguments, &log)?;
        let pid = child.0.id();
        wait_for(self.operators_address(), "/readyz", 200).await?;
        sleep(SETTLE_TIME).await;
        let before = (ProcessUsage::read(pid)?, store_calls(store).await?);
        let polls_before = polls.read();
        let started = Instant::now();
        sleep(MEASUREMENT_TIME).await;
        let after = (ProcessUsage::read(pid)?, store_calls(store).await?);
        let elapsed_s = started.elapsed().as_secs_f64();
        let polls_after = polls.read();
        for listener in listeners {
            listener.abort();
        }

        let mut row = Row::new();
        let cores = (after.0.cpu_s - before.0.cpu_s) / elapsed_s;
        row.insert("processor, percent of a core".to_owned(), cores * 100.0);
        row.insert("memory VmRSS, MB".to_owned(), after.0.rss_mb);
        row.insert("memory VmHWM, MB".to_owned(), after.0.peak_rss_mb);
        for (index, name) in ["engine polls per s", "bytes of polls per s"]
            .into_iter()
            .enumerate()
        {
            let increase = polls_after[index] - polls_before[index];
            row.insert(name.to_owned(), increase as f64 / elapsed_s);
        }
        for (kind, count) in &after.1 {
            let calls = count - before.1.get(kind).copied().unwrap_or(0.0);
            if calls > 0.0 || kind == "put" || kind == "watch" {
                row.insert(format!("store calls per s, {kind}"), calls / elapsed_s);
            }
        }
        Ok(row)
    }

    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, self.net, 1], port))
    }

    fn engine_address(&self, index: usize) -> SocketAddr {
        self.address(26_000 + index as u16)
    }

    fn operators_address(&self) -> SocketAddr {
        match self.process {
            "yucca-control" => self.address(25_301),
            _ => self.address(25_101),
        }
    }

    fn start(
        &self,
        process: &str,
        arguments: &[&str],
        log: &Path,
    ) -> anyhow::Result<RunningProcess> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(self.bin.join(process))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {process}"))?;
        Ok(RunningProcess(child))
    }

    fn settings_text(&self) -> String {
        format!(
            "[fleet]\ncustomer = bench\nregion = bench\n\n[store]\naddress = {}\n\n\
         [host entry-1]\nzone = zone-0\ncallers = {}\noperators = {}\npeers = {}\n\
         control = {}\n",
            self.address(25_900),
            self.address(25_001),
            self.address(25_101),
            self.address(25_201),
            self.address(25_301)
        )
    }

    fn catalogue_text(&self, engines: usize) -> String {
        let mut text = "[owner bench]\norganisation = bench\n".to_owned();
        for index in 0..MODELS {
            let model = model(index);
            for entry in 0..ENTRIES_PER_MODEL {
                let _ = write!(
                    text,
                    "\n[entry {model}-{entry}]\nowner = bench\nservice = {model}\nclass = chat\n\
                 rank = urgent\nfirst_token_ms = 1500\nbetween_tokens_ms = 61\n\
                 deadline_ms = 30000\nrequests_per_s = 200\nconcurrent = 400\n\
                 tokens_per_s = 200000\n"
                );
            }
            let _ = write!(
                text,
                "\n[service {model}]\nkind = model\nmodel = {model}\nversion = v1\n\
             floor_percent_urgent = 40\nfloor_percent_standard = 20\n\
             floor_percent_background = 10\n"
            );
        }
        for index in 0..engines {
            let _ = write!(
                text,
                "\n[engine engine-{index}]\nservice = {}\naddress = {}\nzone = zone-{}\n\
             role = mixed\nchecks_fence = yes\n",
                model(index),
                self.engine_address(index),
                index % 5
            );
        }
        text
    }
}

/// Waits until `path` responds with `status`, or with any status if it is 0.
async fn wait_for(address: SocketAddr, path: &str, status: u16) -> anyhow::Result<()> {
    let limit = Instant::now() + READY_TIMEOUT;
    while Instant::now() < limit {
        if let Ok(status_received) = http_status(address, path).await
            && (status == 0 || status == status_received)
        {
            return Ok(());
        }
        sleep(Duration::from_millis(100)).await;
    }
    bail!("{address}{path}: not ready within {READY_TIMEOUT:?}")
}

async fn http_status(address: SocketAddr, path: &str) -> anyhow::Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).await?;
    Ok(String::from_utf8_lossy(&head[9..]).parse()?)
}

async fn store_calls(store: SocketAddr) -> anyhow::Result<BTreeMap<String, f64>> {
    let stats = get_json(store, "/stats")
        .await
        .context("no response from /stats of the store")?;
    let calls: &Value = &stats["calls"];
    let calls = calls.as_object().context("no calls in /stats")?;
    let count = |(kind, count): (&String, &Value)| Some((kind.clone(), count.as_f64()?));
    Ok(calls.iter().filter_map(count).collect())
}

fn model(index: usize) -> String {
    format!("model-{}", index % MODELS)
}

/// Responds to `GET /v1/status` as an idle engine that already has the model, version and role of
/// the catalogue.
async fn serve_engine(listener: TcpListener, index: usize, polls: Arc<Polls>) {
    let model = model(index);
    let body = format!(
        r#"{{"engine":"engine-{index}","model":"{model}","version":"v1","role":"mixed","state":"ready","fence":0,"last_order":"","running":0,"waiting":0,"prefill_backlog_tokens":0,"decode_backlog_tokens":0,"age_ms":200,"incarnation":1}}"#
    );
    let response: Arc<str> = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into();
    while let Ok((stream, _)) = listener.accept().await {
        let (response, polls) = (Arc::clone(&response), Arc::clone(&polls));
        tokio::spawn(async move {
            // The polling process notices a broken connection.
            let _ = serve_polls(stream, &response, &polls).await;
        });
    }
}

async fn serve_polls(mut stream: TcpStream, response: &str, polls: &Polls) -> std::io::Result<()> {
    let mut request = Vec::new();
    loop {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
        if request.ends_with(b"\r\n\r\n") {
            let bytes = request.len() + response.len();
            request.clear();
            polls.count.fetch_add(1, Ordering::Relaxed);
            polls.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
            stream.write_all(response.as_bytes()).await?;
        }
    }
}

fn print_rows(process: &str, rows: &[(usize, Row)]) {
    println!(
        "{process} idle, measured for {} s each",
        MEASUREMENT_TIME.as_secs()
    );
    let names = rows.iter().flat_map(|(_, row)| row.keys());
    for name in names.collect::<std::collections::BTreeSet<_>>() {
        let value = |row: &Row| row.get(name).copied().unwrap_or(0.0);
        let points: Vec<(f64, f64)> = rows
            .iter()
            .map(|(n, row)| (*n as f64, value(row)))
            .collect();
        let texts: Vec<String> = points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.3}"))
            .collect();
        let (at_0, slope) = fit(&points);
        println!("  {name}");
        println!("    by engines: {}", texts.join(", "));
        println!("    fit: {at_0:.4} + {slope:.6} per engine");
    }
}

/// Least-squares line through `points`: value at 0 and slope.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let products: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let squares: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = products / squares;
    (mean_y - slope * mean_x, slope)
}
