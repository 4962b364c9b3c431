//! Checks that emulated backends release KV caches that will not be fetched.

use std::rc::Rc;

use tokio::task::LocalSet;
use tokio::time::{Duration, sleep, timeout};
use yucca_emulator::engine::Capacity;
use yucca_emulator::pool::{FleetSize, Pool};
use yucca_emulator::store::MemoryStore;
use yucca_serve::ports::{Backends, Call};
use yucca_serve::request::{Prompt, PromptPart, Request};
use yuccacove::prompt_placement::Phase;

const PROMPT_TOKENS: u32 = 12_000;

fn request() -> Request {
    Request {
        prompt: Some(Prompt {
            tokens: PROMPT_TOKENS,
            parts: vec![PromptPart {
                id: 1,
                tokens: PROMPT_TOKENS,
            }],
            ..Prompt::default()
        }),
        ..Request::default()
    }
}

/// Guards against KV caches that stay in memory after their caller disconnected during the prefill.
/// In an overload they would fill the memory.
#[test]
fn pool_releases_kv_cache_of_disconnected_caller() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let size = FleetSize {
            slow_share: 0.0,
            slow_speed: 1.0,
            engines: 1,
            zones: 1,
            servers: 0,
            server_slots: 1,
            server_work_ms: 1,
            tokens_per_event: 9,
        };
        let store: Rc<MemoryStore> = MemoryStore::new();
        let pool = Pool::spawn(&size, Capacity::default(), &store);
        pool.set_phase("engine-0", Phase::Prefill);
        sleep(Duration::from_secs(5)).await;
        let target = pool.target("engine-0").expect("an engine");
        let call = Call {
            left_ms: 1_000,
            urgency: 0,
            resume_after: None,
            is_repeatable: true,
            kv_cache: None,
            prefix_source: None,
        };
        let request = request();
        let cancelled = pool.prefill(&target, &request, call.clone());
        assert!(timeout(Duration::from_millis(50), cancelled).await.is_err());
        sleep(Duration::from_secs(1)).await;
        assert_eq!(pool.held_kv_caches(), 0);
        let completed = pool.prefill(&target, &request, call).await;
        assert!(completed.is_ok(), "{completed:?}");
        assert_eq!(pool.held_kv_caches(), 1);
    });
}
