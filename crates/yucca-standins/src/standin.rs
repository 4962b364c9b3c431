//! Functions common to all stand-ins: the listener, fault commands and counters.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::{Context, anyhow};
use serde_json::{Value, json};
use socket2::SockRef;
use tiny_http::Server;

use crate::call::Call;
use crate::fault::{Command, Faults, Mode};
use crate::proxy::{Connections, spawn_proxy};

/// Exit code of a stand-in that a crash fault ended.
pub const CRASH_EXIT_CODE: i32 = 70;

/// Behaviour of one kind of stand-in.
pub trait Standin: Send + Sync + 'static {
    /// Supported fault modes, in addition to [`Mode::None`], [`Mode::Down`] and [`Mode::Slow`].
    fn fault_modes(&self) -> &'static [Mode];

    /// Active faults.
    fn faults(&self) -> &Faults;

    /// Counters, as returned by `GET /stats`.
    fn stats(&self) -> Value;

    /// Handles a call of the published protocol. Each call has its own thread.
    fn handle(self: Arc<Self>, call: Call);
}

/// Serves a stand-in at `listen` until the process ends and returns the bound address.
///
/// # Errors
///
/// If a listener cannot be bound or a thread cannot be started.
pub fn spawn_standin<S: Standin>(
    listen: SocketAddr,
    standin: Arc<S>,
) -> anyhow::Result<SocketAddr> {
    let listener =
        TcpListener::bind(listen).with_context(|| format!("cannot listen on {listen}"))?;
    let bound = listener.local_addr()?;
    let server_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let server_address = server_listener.local_addr()?;
    // Accepted sockets inherit the option. Without it, each token waits for the delayed
    // acknowledgement of the previous token (Nagle's algorithm).
    SockRef::from(&server_listener).set_tcp_nodelay(true)?;
    let server = Server::from_listener(server_listener, None).map_err(|e| anyhow!("{e}"))?;
    let connections = Arc::new(Connections::default());
    spawn_proxy(listener, server_address, Arc::clone(&connections))?;
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let connection = request.remote_addr().and_then(|a| connections.get(*a));
            let call = Call::new(request, connection);
            let standin = Arc::clone(&standin);
            let connections = Arc::clone(&connections);
            thread::spawn(move || dispatch(standin, call, &connections));
        }
    });
    Ok(bound)
}

fn dispatch<S: Standin>(standin: Arc<S>, call: Call, connections: &Connections) {
    match (call.method(), call.path()) {
        ("POST", "/faults") => return apply_command(&*standin, call, connections),
        ("GET", "/stats") => return call.respond(200, &standin.stats()),
        _ => {}
    }
    if standin.faults().is_down() {
        return call.abort();
    }
    let delay_ms = standin.faults().delay_ms();
    if delay_ms > 0 {
        thread::sleep(Duration::from_millis(delay_ms));
    }
    standin.handle(call);
}

fn apply_command<S: Standin>(standin: &S, mut call: Call, connections: &Connections) {
    let command: Command = match call.body_json() {
        Ok(command) => command,
        Err(detail) => return call.respond_error(400, &detail),
    };
    let common_modes = [Mode::None, Mode::Down, Mode::Slow];
    if !common_modes.contains(&command.mode) && !standin.fault_modes().contains(&command.mode) {
        return call.respond_error(400, &format!("no such fault here: {:?}", command.mode));
    }
    standin.faults().apply(&command);
    // The connection of the command itself stays usable for the response.
    let others = connections.all_but(call.peer_address());
    match command.mode {
        Mode::Crash => process::exit(CRASH_EXIT_CODE),
        Mode::Down => others.iter().for_each(|connection| connection.shutdown()),
        Mode::Silent => others.iter().for_each(|connection| connection.silence()),
        _ => {}
    }
    call.respond(200, &json!({"mode": format!("{:?}", command.mode)}));
}
