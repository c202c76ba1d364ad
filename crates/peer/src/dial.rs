//! Connects to a process whose host may just be starting.
//!
//! A SYN to a host that is down is lost, and the kernel retransmits it after one second at the
//! earliest. Further attempts are therefore made in parallel with the first.

use futures_util::stream::{FuturesUnordered, StreamExt};
use std::{future::Future, io, time::Duration};
use tokio::time::{sleep, timeout};

/// Time limit of all attempts together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a further attempt is made; longer than most round trips.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the first connection that `connect` opens; `None` if the first attempt to complete fails
/// or none completes in time.
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
                Some(result) = attempts.next() => return result.ok(),
                () = sleep(ATTEMPT_INTERVAL) => {}
            }
        }
    };
    timeout(CONNECT_TIMEOUT, race).await.ok().flatten()
}
