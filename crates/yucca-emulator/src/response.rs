//! Responses of emulated backends.

use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc;
use yucca_serve::ports::ResponseBody;

use crate::engine::WorkId;
use crate::pool::{Inner, Progress};

/// Body of an emulated response; dropping it cancels the work on the engine.
#[derive(Debug)]
pub enum Body {
    /// Complete body from a plain server; `None` once it has been read.
    Complete(Option<Bytes>),
    /// Event stream from an engine.
    Events(Events),
}

/// Event stream of a request on an engine.
#[derive(Debug)]
pub struct Events {
    pub(crate) pool: Rc<Inner>,
    pub(crate) engine: Rc<str>,
    pub(crate) id: WorkId,
    pub(crate) progress: mpsc::UnboundedReceiver<Progress>,
    /// The first token, until it has been read from the stream.
    pub(crate) first_token: Option<Progress>,
    pub(crate) last_event_id: u64,
    pub(crate) has_ended: bool,
}

impl Drop for Events {
    fn drop(&mut self) {
        if self.has_ended {
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
        if self.has_ended {
            return None;
        }
        let stride = self.pool.tokens_per_event.max(1);
        loop {
            let next = match self.first_token.take() {
                Some(token) => Some(token),
                None => self.progress.recv().await,
            };
            match next {
                Some(Progress::Token { number, is_last }) => {
                    self.has_ended = is_last;
                    if is_last || number.is_multiple_of(stride) || number == 1 {
                        self.last_event_id += 1;
                        let text = format!("id: {0}\ndata: {number}\n\n", self.last_event_id);
                        return Some(Ok(Bytes::from(text)));
                    }
                }
                Some(Progress::NotRun) | None => {
                    self.has_ended = true;
                    return Some(Err("the engine dropped the request".to_owned()));
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
