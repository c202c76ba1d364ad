//! Requests for digests: when the next one is due, and to whom it goes.

use super::DigestOutput;
use crate::{
    digest::wire::{DigestRequest, DigestScope, ZoneRelay},
    time::MonoTime,
};
use rand::{Rng, RngExt};
use std::{net::SocketAddr, time::Duration};

/// Time between two requests to the same zone, and between two requests of a non-relay.
pub(super) const REQUEST_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a reply after which a request is retried at another relay.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// State of the requests to one zone, or to a relay of the daemon's own zone.
#[derive(Default)]
pub(super) struct RequestState {
    /// Control address, run and version of the daemon that replied last.
    pub(super) source: Option<(SocketAddr, u64, u64)>,
    pub(super) next: MonoTime,
}

impl RequestState {
    /// Returns `request`, if one is due, addressed to the daemon that replied last or to a random
    /// one of `relays`.
    pub(super) fn request_if_due(
        &mut self,
        relays: &[SocketAddr],
        mut request: DigestRequest,
        now: MonoTime,
        random: &mut impl Rng,
    ) -> Option<DigestOutput> {
        if now < self.next || relays.is_empty() {
            return None;
        }
        let source = self.source.filter(|(addr, ..)| relays.contains(addr));
        let to = match source {
            Some((addr, run, version)) => {
                (request.run, request.version) = (run, version);
                addr
            }
            None => relays[random.random_range(0..relays.len())],
        };
        self.next = now
            + if source.is_some() {
                REQUEST_INTERVAL
            } else {
                REPLY_TIMEOUT
            };
        Some(DigestOutput::Request { to, request })
    }
}

impl DigestRequest {
    pub(super) fn initial(from: ZoneRelay, scope: DigestScope) -> DigestRequest {
        DigestRequest {
            from,
            scope,
            run: 0,
            version: 0,
            loads: Vec::new(),
        }
    }
}
