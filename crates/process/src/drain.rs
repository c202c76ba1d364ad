//! The request to stop gracefully, from a signal or from `POST /drain`.

use std::io;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Tells every part of the process that a graceful stop was asked for.
#[derive(Clone, Debug)]
pub struct DrainSignal {
    tx: watch::Sender<bool>,
}

impl DrainSignal {
    /// Opens the signal and raises it on SIGTERM or SIGINT.
    ///
    /// # Errors
    ///
    /// The runtime refuses to listen for signals.
    pub fn open() -> io::Result<DrainSignal> {
        let drain = DrainSignal {
            tx: watch::channel(false).0,
        };
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        let raised = drain.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            raised.raise();
        });
        Ok(drain)
    }

    /// Asks for the graceful stop; later calls change nothing.
    pub fn raise(&self) {
        self.tx.send_replace(true);
    }

    /// Returns whether the stop was asked for.
    pub fn is_raised(&self) -> bool {
        *self.tx.borrow()
    }

    /// Waits until the stop is asked for.
    pub async fn wait(&self) {
        let mut rx = self.tx.subscribe();
        // The sender lives in `self`, so the channel can't close while waiting.
        let _ = rx.wait_for(|raised| *raised).await;
    }
}
