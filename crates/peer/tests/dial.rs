//! Connecting to a process whose host has just restarted, in virtual time.

use agatehill_peer::dial::dial;
use std::{cell::Cell, future::pending, io, time::Duration};
use tokio::time::Instant;

/// The first SYN is lost because the host is still starting; a later attempt succeeds.
#[tokio::test(start_paused = true)]
async fn a_lost_first_attempt_does_not_delay_the_connection() {
    let start = Instant::now();
    let attempts = Cell::new(0);
    let connected = dial(|| {
        attempts.set(attempts.get() + 1);
        let number = attempts.get();
        async move {
            match number {
                1 => pending().await,
                _ => Ok(number),
            }
        }
    });
    assert_eq!(connected.await, Some(2));
    assert!(start.elapsed() < Duration::from_millis(500));
}

/// A slow first attempt continues in parallel with the later ones and wins.
#[tokio::test(start_paused = true)]
async fn a_slow_first_attempt_is_not_abandoned() {
    let attempts = Cell::new(0);
    let connected = dial(|| {
        attempts.set(attempts.get() + 1);
        let number = attempts.get();
        async move {
            tokio::time::sleep(Duration::from_millis(700)).await;
            Ok::<_, io::Error>(number)
        }
    });
    assert_eq!(connected.await, Some(1));
}

#[tokio::test(start_paused = true)]
async fn a_refused_attempt_fails_at_once() {
    let start = Instant::now();
    let connected = dial(|| async { Err::<(), _>(io::ErrorKind::ConnectionRefused.into()) });
    assert_eq!(connected.await, None);
    assert_eq!(start.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn attempts_without_an_answer_time_out() {
    let connected = dial(pending::<io::Result<()>>);
    assert_eq!(connected.await, None);
}
