//! TCP proxy in front of a `tiny_http` server, which gives no access to its sockets.
//!
//! The proxy accepts the clients' connections and copies their bytes to and from the server, so
//! that a stand-in can close a connection, suppress its traffic and detect that a client has
//! disconnected.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Copy threads need little stack: one buffer and a few frames.
const COPY_STACK_BYTES: usize = 128 * 1_024;
const COPY_BUFFER_BYTES: usize = 16 * 1_024;

/// Locks a mutex and ignores poisoning; for data that stays valid if a thread panics while it holds
/// the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type CloseAction = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct CloseState {
    closed: bool,
    action: Option<CloseAction>,
}

/// A client's connection and the proxy's corresponding connection to the server.
pub struct Connection {
    client: TcpStream,
    server: TcpStream,
    silent: AtomicBool,
    close: Mutex<CloseState>,
}

impl Connection {
    /// Closes both connections, without a response to a request in progress.
    pub fn shutdown(&self) {
        // A socket that is already closed needs no shutdown.
        let _ = self.client.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// Keeps the connection open but discards all further data in both directions.
    pub fn silence(&self) {
        self.silent.store(true, Ordering::SeqCst);
    }

    /// Runs `action` when the client disconnects, or immediately if it already has. Replaces an
    /// earlier action. The action does not run if the connection is silent when the client
    /// disconnects.
    pub fn on_close(&self, action: impl FnOnce() + Send + 'static) {
        let mut close = lock(&self.close);
        if close.closed {
            drop(close);
            action();
        } else {
            close.action = Some(Box::new(action));
        }
    }

    /// Removes the action set by [`Connection::on_close`].
    pub fn clear_on_close(&self) {
        lock(&self.close).action = None;
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    fn handle_client_close(&self) {
        if self.is_silent() {
            // The server does not learn that the client has disconnected, so the request continues.
            // Shutting down only the write side ends the server's read loop for further requests,
            // which frees the threads of the connection.
            let _ = self.server.shutdown(Shutdown::Write);
            return;
        }
        let action = {
            let mut close = lock(&self.close);
            close.closed = true;
            close.action.take()
        };
        if let Some(action) = action {
            action();
        }
        self.shutdown();
    }

    fn copy_to_server(&self) {
        let mut buffer = [0; COPY_BUFFER_BYTES];
        loop {
            match (&self.client).read(&mut buffer) {
                Ok(0) | Err(_) => break self.handle_client_close(),
                Ok(_) if self.is_silent() => {}
                Ok(size) => {
                    if (&self.server).write_all(&buffer[..size]).is_err() {
                        break self.shutdown();
                    }
                }
            }
        }
    }

    fn copy_to_client(&self) {
        let mut buffer = [0; COPY_BUFFER_BYTES];
        loop {
            match (&self.server).read(&mut buffer) {
                // A close by the server is not forwarded to the client of a silent connection.
                Ok(0) | Err(_) if self.is_silent() => break,
                Ok(0) | Err(_) => break self.shutdown(),
                Ok(_) if self.is_silent() => {}
                Ok(size) => {
                    if (&self.client).write_all(&buffer[..size]).is_err() {
                        break self.handle_client_close();
                    }
                }
            }
        }
    }
}

/// Open connections, by the proxy's local address on its connection to the server.
#[derive(Default)]
pub struct Connections {
    by_address: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

impl Connections {
    /// The open connection that the server sees as coming from `address`, if any.
    pub fn get(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        lock(&self.by_address).get(&address).cloned()
    }

    /// All open connections except the one that the server sees as coming from `address`.
    pub fn all_but(&self, address: Option<SocketAddr>) -> Vec<Arc<Connection>> {
        lock(&self.by_address)
            .iter()
            .filter(|(other, _)| Some(**other) != address)
            .map(|(_, connection)| Arc::clone(connection))
            .collect()
    }

    fn open(self: &Arc<Self>, client: TcpStream, server: SocketAddr) -> io::Result<()> {
        let server = TcpStream::connect(server)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let address = server.local_addr()?;
        let connection = Arc::new(Connection {
            client,
            server,
            silent: AtomicBool::new(false),
            close: Mutex::default(),
        });
        // Registered before any byte is copied, so that the lookup for the first request succeeds.
        lock(&self.by_address).insert(address, Arc::clone(&connection));
        let to_server = Arc::clone(&connection);
        let connections = Arc::clone(self);
        spawn(move || {
            to_server.copy_to_server();
            lock(&connections.by_address).remove(&address);
        })?;
        spawn(move || connection.copy_to_client())
    }
}

/// Forwards each connection accepted by `listener` to `server` until the process ends.
///
/// # Errors
///
/// If a thread cannot be started.
pub fn spawn_proxy(
    listener: TcpListener,
    server: SocketAddr,
    connections: Arc<Connections>,
) -> io::Result<()> {
    spawn(move || {
        for client in listener.incoming().flatten() {
            if let Err(error) = connections.open(client, server) {
                eprintln!("cannot forward connection to the HTTP server: {error}");
            }
        }
    })
}

fn spawn(body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .stack_size(COPY_STACK_BYTES)
        .spawn(body)
        .map(drop)
}
