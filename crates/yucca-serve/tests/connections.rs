//! Tests of the memory that is reserved for callers' connections, in virtual time.

mod common;

use common::{run_virtual, wait_ms};
use tokio::task::spawn_local;
use yucca_serve::connections::{CallerConnection, Connections};
use yucca_serve::memory::Memory;
use yuccacove::memory_budget::Purpose;

/// Memory of a process on the smallest host.
const PROCESS_BYTES: usize = 120_000_000;

/// Opens connections and begins a request on each, until there is no room for another.
async fn fill(connections: &Connections) -> Vec<CallerConnection> {
    let mut callers = Vec::new();
    while let Some(caller) = connections.open().await {
        if !caller.begin_request().await {
            break;
        }
        callers.push(caller);
    }
    callers
}

/// Guards against buffers of connections whose bodies arrive that nothing accounts for: 400 of them held
/// 9 MB more than was reserved.
#[test]
fn begin_request_reserves_buffers() {
    run_virtual(async {
        let memory = Memory::new(PROCESS_BYTES);
        let connections = Connections::new(1_000, memory.clone());
        let caller = connections.open().await.expect("a connection");
        let idle_bytes = memory.used_for(Purpose::Connection);
        assert!(caller.begin_request().await);
        let receiving_bytes = memory.used_for(Purpose::Connection);
        assert!(receiving_bytes >= idle_bytes + 24 * 1_024);
        assert!(caller.run_request().await);
        assert!(memory.used_for(Purpose::Connection) >= receiving_bytes);
        caller.end_request();
        assert_eq!(memory.used_for(Purpose::Connection), idle_bytes);
    });
}

/// Guards against callers whose bodies stall and who keep others out on a small host, which must have room
/// for some hundred connections.
#[test]
fn begin_request_beside_stalled_bodies() {
    run_virtual(async {
        let memory = Memory::new(PROCESS_BYTES);
        let connections = Connections::new(10_000, memory.clone());
        let stalled = fill(&connections).await;
        assert!(stalled.len() > 500, "{} connections", stalled.len());
        for caller in stalled {
            spawn_local(async move { caller.closing().await });
        }
        wait_ms(1_500).await;
        for ordinary in 0..20 {
            let caller = connections.open().await.expect("a connection");
            assert!(caller.begin_request().await, "request {ordinary}");
            assert!(caller.run_request().await, "request {ordinary}");
        }
    });
}
