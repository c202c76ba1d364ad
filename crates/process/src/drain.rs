//! The request for a graceful stop, raised by a signal or by `POST /drain`.

use std::io;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Notifies all parts of the process that a graceful stop was requested; clones share the state.
#[derive(Clone, Debug)]
pub struct DrainSignal {
    tx: watch::Sender<bool>,
}

impl DrainSignal {
    /// Returns a signal that is raised on SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the runtime can't install the signal handlers.
    pub fn open() -> io::Result<DrainSignal> {
        let drain = DrainSignal {
            tx: watch::channel(false).0,
        };
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let on_signal = drain.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            on_signal.raise();
        });
        Ok(drain)
    }

    /// Requests the graceful stop; has no effect if it was requested before.
    pub fn raise(&self) {
        self.tx.send_replace(true);
    }

    /// Returns whether the stop was requested.
    pub fn is_raised(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the stop is requested.
    pub async fn wait(&self) {
        let mut rx = self.tx.subscribe();
        // Doesn't fail: `self` holds the sender, so the channel can't close while waiting.
        let _ = rx.wait_for(|is_raised| *is_raised).await;
    }
}
