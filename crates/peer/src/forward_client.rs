//! Sends calls to the gates of other daemons and replaces connections that have gone silent.
//!
//! HTTP/1.1 has no pings. When an answer is late, the client asks the gate over a fresh connection
//! what has become of the attempt. A gate that doesn't know it, or has answered it, was not heard:
//! the pooled connections to that host are given up and the caller learns at once whether the
//! attempt may have run.

use crate::{
    body::CallBody,
    forward::{
        ATTEMPT_STATUS_HEADER, FORWARD_HEADER, ForwardHead, absolute_uri, attempt_query_value,
        attempt_status,
    },
};
use agatehill_decide::attempt_status::AttemptStatus;
use arc_swap::ArcSwap;
use http::{Method, Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use std::{collections::HashMap, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

/// Time after which an unused pooled connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Time to open a connection to another host.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time without acknowledged data after which a connection counts as silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Idle connections kept to one host.
const IDLE_PER_HOST_MAX: usize = 64;
/// Time without an answer after which the gate is asked for the first time; doubles.
const ASK_AFTER: Duration = Duration::from_millis(400);
/// Longest time between two questions.
const ASK_AFTER_MAX: Duration = Duration::from_secs(3);
/// Time to answer a question.
const ASK_LIMIT: Duration = Duration::from_millis(600);
/// Time for an answer that was sent before the question to arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// Unanswered questions after which the gate counts as lost.
const MISSES_MAX: u32 = 3;

type HttpClient = Client<HttpConnector, CallBody>;
type LinkMap = HashMap<SocketAddr, Arc<HostLink>>;

/// How a forwarded call failed on its way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardSendError {
    /// The call was never sent, or its gate refuses it should it arrive.
    NotSent,
    /// The call was sent and its answer did not come.
    Lost,
}

/// The pooled connections to one host.
#[derive(Debug)]
struct HostLink {
    client: HttpClient,
}

/// Sends calls to the gates of other daemons.
#[derive(Clone, Debug)]
pub struct ForwardClient {
    links: Arc<ArcSwap<LinkMap>>,
    /// Opens a connection a question.
    fresh: HttpClient,
}

impl ForwardClient {
    /// Opens a client without connections.
    pub fn open() -> ForwardClient {
        ForwardClient {
            links: Arc::default(),
            fresh: http_client(0),
        }
    }

    /// Sends `req` with `head` to the daemon whose forward port is `addr`.
    ///
    /// # Errors
    ///
    /// No answer came; the failure tells whether the call may have run.
    pub async fn send(
        &self,
        addr: SocketAddr,
        head: &ForwardHead,
        mut req: Request<CallBody>,
    ) -> Result<Response<Incoming>, ForwardSendError> {
        req.headers_mut().insert(FORWARD_HEADER, head.into());
        *req.uri_mut() = absolute_uri(addr, req.uri());
        let link = self.link(addr);
        let mut sent = pin!(link.client.request(req));
        let mut watch = AnswerWatch::default();
        loop {
            tokio::select! {
                answer = &mut sent => return answer.map_err(|e| failure(&e)),
                () = tokio::time::sleep(watch.pause) => {
                    let asked = self.ask(addr, head).await;
                    if let Some(failure) = watch.judge(asked) {
                        self.replace(addr, &link);
                        return Err(failure);
                    }
                }
            }
        }
    }

    /// Asks the gate at `addr` for the attempt; `None` when it doesn't answer.
    async fn ask(&self, addr: SocketAddr, head: &ForwardHead) -> Option<AttemptStatus> {
        metrics::counter!("agatehill_forward_questions_total").increment(1);
        let mut req = Request::new(CallBody::empty());
        *req.method_mut() = Method::POST;
        *req.uri_mut() = absolute_uri(addr, &Uri::from_static("/"));
        req.headers_mut()
            .insert(ATTEMPT_STATUS_HEADER, attempt_query_value(head.id));
        let asked = self.fresh.request(req);
        let response = tokio::time::timeout(ASK_LIMIT, asked).await.ok()?.ok()?;
        attempt_status(response.headers()).ok()
    }

    fn link(&self, addr: SocketAddr) -> Arc<HostLink> {
        if let Some(link) = self.links.load().get(&addr) {
            return link.clone();
        }
        let fresh = HostLink::open();
        self.links.rcu(|links| {
            let mut links = LinkMap::clone(links);
            links.entry(addr).or_insert_with(|| fresh.clone());
            links
        });
        self.links.load().get(&addr).cloned().unwrap_or(fresh)
    }

    /// Gives up the connections of `silent`, unless they have been replaced already.
    fn replace(&self, addr: SocketAddr, silent: &Arc<HostLink>) {
        metrics::counter!("agatehill_forward_links_replaced_total").increment(1);
        self.links.rcu(|links| {
            let mut links = LinkMap::clone(links);
            if links
                .get(&addr)
                .is_some_and(|link| Arc::ptr_eq(link, silent))
            {
                links.remove(&addr);
            }
            links
        });
    }
}

impl HostLink {
    fn open() -> Arc<HostLink> {
        Arc::new(HostLink {
            client: http_client(IDLE_PER_HOST_MAX),
        })
    }
}

/// Judges by the gate's answers whether a connection has gone silent.
#[derive(Debug)]
struct AnswerWatch {
    pause: Duration,
    misses: u32,
    is_ended: bool,
}

impl Default for AnswerWatch {
    fn default() -> AnswerWatch {
        AnswerWatch {
            pause: ASK_AFTER,
            misses: 0,
            is_ended: false,
        }
    }
}

impl AnswerWatch {
    /// Takes in an answer; returns the attempt's failure once it is certain.
    fn judge(&mut self, asked: Option<AttemptStatus>) -> Option<ForwardSendError> {
        match asked {
            Some(AttemptStatus::Absent) => return Some(ForwardSendError::NotSent),
            Some(AttemptStatus::Ended) if self.is_ended => return Some(ForwardSendError::Lost),
            Some(AttemptStatus::Ended) => {
                self.is_ended = true;
                self.pause = ANSWER_GRACE;
            }
            Some(AttemptStatus::Running) => {
                self.misses = 0;
                self.pause = (self.pause * 2).min(ASK_AFTER_MAX);
            }
            None => {
                self.misses += 1;
                self.pause = ANSWER_GRACE;
            }
        }
        (self.misses >= MISSES_MAX).then_some(ForwardSendError::Lost)
    }
}

fn failure(e: &hyper_util::client::legacy::Error) -> ForwardSendError {
    if e.is_connect() {
        ForwardSendError::NotSent
    } else {
        ForwardSendError::Lost
    }
}

fn http_client(idle_max: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_LIMIT));
    connector.set_keepalive(Some(SILENCE_LIMIT));
    connector.set_tcp_user_timeout(Some(SILENCE_LIMIT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_LIMIT)
        .pool_max_idle_per_host(idle_max)
        .build(connector)
}
