//! `POST /announce`: backend servers register with the daemon on their host.

use crate::registry::{ServerAnnouncement, ServerRegistry};
use agatehill_process::health::AssertNewHandler;
use gotham::{
    handler::HandlerResult,
    helpers::http::{Body, response::create_response},
    prelude::*,
    router::{Router, build_simple_router},
    state::State,
};
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use std::{fmt, sync::Arc};

/// Largest announcement, in bytes.
const ANNOUNCEMENT_BYTES_MAX: usize = 4 * 1024;

/// Why an announcement was rejected.
#[derive(Debug)]
pub enum AnnounceError {
    /// The body is over the size limit or ended early.
    Body,
    /// The body is not a valid announcement.
    Malformed(serde_json::Error),
    /// The server offers no slots.
    NoSlots,
}

impl fmt::Display for AnnounceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AnnounceError::Body => {
                write!(
                    f,
                    "announcement is over {ANNOUNCEMENT_BYTES_MAX} bytes or incomplete"
                )
            }
            AnnounceError::Malformed(e) => write!(f, "invalid announcement: {e}"),
            AnnounceError::NoSlots => f.write_str("invalid announcement: slots must be at least 1"),
        }
    }
}

impl std::error::Error for AnnounceError {}

impl From<serde_json::Error> for AnnounceError {
    fn from(e: serde_json::Error) -> AnnounceError {
        AnnounceError::Malformed(e)
    }
}

/// Returns the router of the announce listener.
pub fn router(registry: Arc<ServerRegistry>) -> Router {
    build_simple_router(|route| {
        route
            .post("/announce")
            .to_new_handler(AssertNewHandler(move || {
                let registry = registry.clone();
                Ok(
                    move |state| -> std::pin::Pin<Box<gotham::handler::HandlerFuture>> {
                        Box::pin(handle_announce(state, registry))
                    },
                )
            }));
    })
}

async fn handle_announce(mut state: State, registry: Arc<ServerRegistry>) -> HandlerResult {
    let (status, text) = match read_announcement(Body::take_from(&mut state)).await {
        Ok(announcement) => {
            registry.announce(announcement);
            (StatusCode::NO_CONTENT, String::new())
        }
        Err(e) => (StatusCode::BAD_REQUEST, e.to_string()),
    };
    let response = create_response(&state, status, gotham::mime::TEXT_PLAIN, text);
    Ok((state, response))
}

async fn read_announcement(body: Body) -> Result<ServerAnnouncement, AnnounceError> {
    let limited = Limited::new(body, ANNOUNCEMENT_BYTES_MAX);
    let bytes = limited
        .collect()
        .await
        .map_err(|_| AnnounceError::Body)?
        .to_bytes();
    let announcement: ServerAnnouncement = serde_json::from_slice(&bytes)?;
    if announcement.slots == 0 {
        return Err(AnnounceError::NoSlots);
    }
    Ok(announcement)
}
