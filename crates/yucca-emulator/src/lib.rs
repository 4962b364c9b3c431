//! Model engines in virtual time, and plays of a load through the serving system before them.
//!
//! The engines read prompts in chunks, batch generations, keep shared parts of prompts until others
//! need the memory, hand KV cache to each other and change their phase. Hosts run the code of
//! [`yucca_serve`] itself. Thousands of requests play in a second, so that a decision can be tried
//! on a load before it meets real engines.
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
//! // 187 ms at 64.2 tokens a ms, and 47 ms of attention.
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
