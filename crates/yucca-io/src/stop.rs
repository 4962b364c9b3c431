//! Planned stops, requested by SIGTERM, SIGINT or a command on the operators' port.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anyhow::Result;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Flag that is set when a planned stop is requested; clones share it.
#[derive(Debug, Clone)]
pub struct StopFlag {
    requested: Arc<AtomicBool>,
}

impl StopFlag {
    /// Creates a flag that is also set by SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// If the signal handlers cannot be installed.
    pub fn register() -> Result<Self> {
        let requested = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(SIGTERM, Arc::clone(&requested))?;
        signal_hook::flag::register(SIGINT, Arc::clone(&requested))?;
        Ok(Self { requested })
    }

    /// Requests a planned stop.
    pub fn request(&self) {
        self.requested.store(true, Ordering::SeqCst);
    }

    /// Whether a planned stop was requested.
    pub fn is_requested(&self) -> bool {
        self.requested.load(Ordering::SeqCst)
    }
}
