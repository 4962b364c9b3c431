//! Emulated inference engines in virtual time, and simulations that send a load through the serving
//! system to them.
//!
//! The engines model chunked prefill, batched decode, a prefix cache with eviction, transfers of KV
//! cache between engines, and phase changes. Hosts run the production code of [`yucca_serve`]. A
//! simulation processes thousands of requests a second, so that a change to the placement of
//! requests can be tested under load without real engines.
//!
//! ```
//! use yucca_emulator::engine::{Capacity, Engine, Work};
//! use yuccacove::prompt_placement::Phase;
//!
//! let capacity = Capacity::default();
//! let mut engine = Engine::new(capacity, Phase::Prefill);
//! engine.submit(Work::prefill(1, &[(5, 5_382), (9, 6_610)]), 0.0);
//! let mut now_ms = 0.0;
//! while let Some(step) = engine.next_step(now_ms) {
//!     now_ms += step.duration_ms;
//!     engine.apply(&step, now_ms);
//! }
//! // 187 ms at 64.2 tokens/ms, and 47 ms of attention.
//! assert_eq!(now_ms.round(), 234.0);
//! ```

pub mod caller;
pub mod engine;
pub mod load;
pub mod pool;
pub mod report;
pub mod response;
pub mod scenario;
pub mod simulation;
pub mod store;
