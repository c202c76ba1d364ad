//! A backend server: heartbeats, requests that it runs, leaving.

use crate::{
    Record,
    http::{Connection, call},
    sleep_ms,
};
use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// What a server says of itself.
#[derive(Clone)]
pub struct BackendOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// Where heartbeats go.
    pub control: SocketAddr,
    pub born: u64,
    pub slots: u32,
    /// Time for which a request runs.
    pub work_ms: u64,
}

/// A request that a server has run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Run {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// A running backend server; clones share it.
#[derive(Clone)]
pub struct Backend {
    shared: Arc<Shared>,
}

struct Shared {
    options: BackendOptions,
    record: Record,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    is_stopped: AtomicBool,
    runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
}

impl Backend {
    /// Listens and begins to send heartbeats each 1.5 s.
    pub fn start(options: BackendOptions, record: Record) -> Backend {
        let listener = TcpListener::bind(options.addr).expect("cannot bind the server's address");
        let backend = Backend {
            shared: Arc::new(Shared {
                options,
                record,
                sequence: AtomicU64::new(0),
                is_draining: AtomicBool::new(false),
                is_stopped: AtomicBool::new(false),
                runs: Mutex::default(),
                streams: Mutex::default(),
            }),
        };
        let accepting = backend.clone();
        std::thread::spawn(move || accepting.accept(listener));
        let beating = backend.clone();
        std::thread::spawn(move || beating.beat());
        backend
    }

    /// Crashes: the listener and all connections end, no more heartbeats are sent.
    pub fn crash(&self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which drops the listener.
        let _ = TcpStream::connect(self.shared.options.addr);
        for stream in self.shared.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        sleep_ms(50);
    }

    /// Says that the server drains, until that is acknowledged; returns when it was.
    pub fn drain(&self) -> Option<Instant> {
        self.shared.is_draining.store(true, Ordering::SeqCst);
        for _ in 0..20 {
            if self.heartbeat() == 200 {
                return Some(Instant::now());
            }
            sleep_ms(200);
        }
        None
    }

    /// Sends a heartbeat; returns the status of the response, 0 without one.
    pub fn heartbeat(&self) -> u16 {
        let options = &self.shared.options;
        let sequence = self.shared.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = match self.shared.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            r#"{{"born":{},"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"{state}","sequence":{sequence},"coldLeftS":0}}}}"#,
            options.born, options.addr, options.service, options.zone, options.slots
        );
        let path = format!("/-/Instances.Heartbeat/{}", options.id);
        let sent = call(
            options.control,
            "POST",
            &path,
            &body,
            Duration::from_secs(1),
        );
        let status = sent.map_or(0, |response| response.status);
        self.shared.record.quiet(format!(
            "heartbeat of {} born {} sequence {sequence} {state}: {status}",
            options.id, options.born
        ));
        status
    }

    /// Returns what the server has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().unwrap().clone()
    }

    pub fn run_count(&self) -> usize {
        self.shared.runs.lock().unwrap().len()
    }

    fn is_stopped(&self) -> bool {
        self.shared.is_stopped.load(Ordering::SeqCst)
    }

    fn beat(&self) {
        while !self.is_stopped() {
            let is_acknowledged = self.heartbeat() == 200;
            let pause = if is_acknowledged { 1_500 } else { 300 };
            let end = Instant::now() + Duration::from_millis(pause);
            while Instant::now() < end && !self.is_stopped() {
                sleep_ms(20);
            }
        }
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.is_stopped() {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                self.shared.streams.lock().unwrap().push(copy);
            }
            let serving = self.clone();
            std::thread::spawn(move || serving.serve(stream));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::accepted(stream);
        while let Ok(Some((line, headers, body))) = connection.read_request() {
            if self.answer(&mut connection, line, headers, body).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        connection: &mut Connection,
        line: String,
        headers: Vec<(String, String)>,
        body: Vec<u8>,
    ) -> io::Result<()> {
        let options = &self.shared.options;
        let run = Run {
            at: Instant::now(),
            line,
            headers,
            body,
        };
        let expected = run.header("x-agatehill-expected-instance");
        let id = run
            .header("x-agatehill-request-id")
            .unwrap_or_default()
            .to_owned();
        if expected.is_some_and(|expected| expected != options.id) {
            return connection.send(b"HTTP/1.1 421 Misdirected Request\r\nX-Agatehill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        if id.is_empty() {
            return connection.send(b"HTTP/1.1 400 Bad Request\r\nX-Agatehill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        self.shared
            .record
            .quiet(format!("server {} runs {id}: {}", options.id, run.line));
        self.shared.runs.lock().unwrap().push(run);
        sleep_ms(options.work_ms);
        let body = format!("ran {id} at {}\n", options.id);
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Response-Seal: seal.{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        connection.send(response.as_bytes())
    }
}
