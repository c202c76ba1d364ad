//! Measures what the statements of backend servers cost a request.

use crate::cost::mean_nanos;
use agatehill_decide::{
    server_notice::{NoticeTracker, RequestUrgency, ServerNotice},
    server_tracker::ServerIdentity,
    time::MonoTime,
};
use eyre::Result;
use std::time::Duration;

/// Time between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(1);

/// Measures a permit and the record of a response, without a limit and with one.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of timed requests.
    #[arg(long, default_value_t = 100_000)]
    requests: u64,
}

/// Runs the measurement and prints the figures.
pub(crate) fn run(args: &Args) -> Result<()> {
    for limit in [None, Some("500")] {
        let notice = ServerNotice {
            server: ServerIdentity {
                id: "i-7f3a91c2ab".to_owned(),
                started_ms: 1_700_000_000_000,
            },
            limit: limit.map(str::parse).transpose()?,
            is_leaving: false,
        };
        let mut tracker = NoticeTracker::default();
        let nanos = mean_nanos(args.requests, |number| {
            run_request(&mut tracker, &notice, number)
        });
        println!("limit={} request_ns={nanos:.0}", limit.unwrap_or("none"));
    }
    Ok(())
}

/// Takes a permit and, if there is one, records a response.
fn run_request(tracker: &mut NoticeTracker, notice: &ServerNotice, number: u64) {
    let now = MonoTime::ZERO + REQUEST_PAUSE * u32::try_from(number).unwrap_or(u32::MAX);
    let server = notice.server.clone();
    let permit = tracker.try_take(&server, RequestUrgency::Root(0), now);
    if permit.is_ok() && !(notice.limit.is_none() && tracker.is_settled(&server)) {
        tracker.record_response(notice, now, now);
    }
}
