//! Connecting to a process whose host has just come back, in virtual time.

use agatehill_peer::dial::dial;
use std::{cell::Cell, future::pending, io, time::Duration};
use tokio::time::Instant;

/// The first attempt's packet is lost; the host is back soon after.
#[tokio::test(start_paused = true)]
async fn a_lost_packet_does_not_hold_up_the_connection() {
    let began = Instant::now();
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
    assert!(began.elapsed() < Duration::from_millis(500));
}

/// A long way is no loss: the first attempt is kept beside the others.
#[tokio::test(start_paused = true)]
async fn a_long_way_is_waited_for() {
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
async fn a_refusal_is_final_at_once() {
    let began = Instant::now();
    let connected = dial(|| async { Err::<(), _>(io::ErrorKind::ConnectionRefused.into()) });
    assert_eq!(connected.await, None);
    assert_eq!(began.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn attempts_end() {
    let connected = dial(pending::<io::Result<()>>);
    assert_eq!(connected.await, None);
}
