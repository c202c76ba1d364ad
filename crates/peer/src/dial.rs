//! Connects to a process that may just be starting.
//!
//! A packet that opens a connection to a host without power is lost, and the kernel sends it again
//! after a second at the earliest. So further attempts are made beside the first.

use futures_util::stream::{FuturesUnordered, StreamExt};
use std::{future::Future, io, time::Duration};
use tokio::time::{sleep, timeout};

/// Time limit of all attempts.
const CONNECT_SPAN: Duration = Duration::from_secs(1);
/// Time after which a further attempt is made; longer than most ways there and back.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);

/// Returns the first connection that `connect` makes; `None` if it is refused or takes too long.
pub async fn dial<T, F, Fut>(connect: F) -> Option<T>
where
    F: Fn() -> Fut,
    Fut: Future<Output = io::Result<T>>,
{
    let mut attempts = FuturesUnordered::new();
    let race = async {
        loop {
            attempts.push(connect());
            tokio::select! {
                Some(connected) = attempts.next() => return connected.ok(),
                () = sleep(ATTEMPT_PAUSE) => {}
            }
        }
    };
    timeout(CONNECT_SPAN, race).await.ok().flatten()
}
