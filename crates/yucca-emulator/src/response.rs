//! Answers of emulated back ends.

use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;
use yucca_serve::ports::ResponseBody;

use crate::engine::WorkId;
use crate::pool::{Inner, Progress};

/// Body of an emulated answer; dropping it ends the work.
#[derive(Debug)]
pub enum Body {
    /// Bytes of a plain server.
    Complete(Option<Bytes>),
    /// Events of an engine.
    Events(Events),
}

/// Events of a generation.
#[derive(Debug)]
pub struct Events {
    pub(crate) pool: Rc<Inner>,
    pub(crate) engine: Rc<str>,
    pub(crate) id: WorkId,
    pub(crate) progress: mpsc::UnboundedReceiver<Progress>,
    /// The first token, until it is passed on.
    pub(crate) first: Option<Progress>,
    pub(crate) event: u64,
    pub(crate) is_over: bool,
}

impl Drop for Events {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let node = &self.pool.engines[&*self.engine];
        let mut state = node.state.borrow_mut();
        state.engine.cancel(self.id);
        state.waiters.remove(&self.id);
    }
}

impl Events {
    async fn next(&mut self) -> Option<Result<Bytes, String>> {
        if self.is_over {
            return None;
        }
        let stride = self.pool.tokens_per_event.max(1);
        loop {
            let next = match self.first.take() {
                Some(first) => Some(first),
                None => self.progress.recv().await,
            };
            match next {
                Some(Progress::Token { number, is_last }) => {
                    self.is_over = is_last;
                    if is_last || number.is_multiple_of(stride) || number == 1 {
                        self.event += 1;
                        let text = format!("id: {0}\ndata: {number}\n\n", self.event);
                        return Some(Ok(Bytes::from(text)));
                    }
                }
                Some(Progress::NotRun) | None => {
                    self.is_over = true;
                    return Some(Err("the engine gave the work up".to_owned()));
                }
            }
        }
    }
}

impl ResponseBody for Body {
    async fn chunk(&mut self) -> Option<Result<Bytes, String>> {
        match self {
            Self::Complete(bytes) => bytes.take().map(Ok),
            Self::Events(events) => events.next().await,
        }
    }
}
