//! A stand-in for a backend server that follows the users' page PROTOCOL.

use crate::{
    deployment::{call, now_ms},
    http::{Head, read_body, read_head},
    record::Record,
};
use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// One incarnation of a server.
pub struct Server {
    pub id: String,
    pub service: String,
    pub slots: u32,
    pub addr: SocketAddr,
    /// Address for heartbeats.
    control: SocketAddr,
    born: u64,
    sequence: AtomicU64,
    /// Time that a request takes.
    work: Duration,
    is_down: AtomicBool,
    is_leaving: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server that listens on `addr`; it sends no heartbeat yet.
    pub fn start(
        id: &str,
        service: &str,
        slots: u32,
        work: Duration,
        addr: SocketAddr,
        control: SocketAddr,
        record: Arc<Record>,
    ) -> Arc<Server> {
        let listener = TcpListener::bind(addr).expect("bind the address of the server");
        let server = Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            slots,
            addr,
            control,
            born: now_ms(),
            sequence: AtomicU64::new(0),
            work,
            is_down: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            streams: Mutex::default(),
            record,
        });
        listener.set_nonblocking(true).expect("poll the listener");
        let accepting = server.clone();
        thread::spawn(move || {
            while !accepting.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        accepting
                            .streams
                            .lock()
                            .unwrap()
                            .push(stream.try_clone().expect("clone a stream"));
                        let serving = accepting.clone();
                        thread::spawn(move || serving.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        server
            .record
            .write(&format!("server {id} started, born {}", server.born));
        server
    }

    /// Ends the server at once: its listener and all of its connections close.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.write(&format!("server {} ended", self.id));
        thread::sleep(Duration::from_millis(50));
    }

    /// Returns the next heartbeat, to be sent now or later.
    pub fn heartbeat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"v1","zone":"herning-1","slots":{}}},"status":{{"state":"{state}","sequence":{sequence},"coldLeftS":0}}}}"#,
            self.addr, self.born, self.service, self.slots
        )
    }

    /// Delivers a heartbeat; returns whether it was acknowledged.
    pub fn deliver(&self, heartbeat: &str, note: &str) -> bool {
        let path = format!("/-/Instances.Heartbeat/{}", self.id);
        let reply = call(self.control, "POST", &path, heartbeat);
        let status = reply.map_or(0, |(status, _)| status);
        self.record
            .write(&format!("heartbeat of {}{note}: {status}", self.id));
        (200..300).contains(&status)
    }

    /// Sends `ready` heartbeats every 1.5 s until the server leaves or ends.
    pub fn keep_beating(self: &Arc<Server>) {
        let server = self.clone();
        thread::spawn(move || {
            while !server.is_down.load(Ordering::SeqCst)
                && !server.is_leaving.load(Ordering::SeqCst)
            {
                let beat = server.heartbeat("ready");
                server.deliver(&beat, "");
                thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    /// Says that the server leaves, without having reported `draining`; returns whether that was
    /// acknowledged. The server goes on serving.
    pub fn leave(&self) -> bool {
        self.is_leaving.store(true, Ordering::SeqCst);
        let path = format!("/-/Instances.Leave/{}", self.id);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        let status = call(self.control, "POST", &path, &body).map_or(0, |(status, _)| status);
        self.record
            .write(&format!("leave of {}: {status}", self.id));
        (200..300).contains(&status)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buf) {
            if read_body(&mut stream, &mut buf, &head).is_none()
                || self.is_down.load(Ordering::SeqCst)
            {
                return;
            }
            let response = self.respond(&head);
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, head: &Head) -> String {
        let id = head.header("x-agatehill-request-id").unwrap_or_default();
        if head.line.starts_with("GET /health ") {
            return format!(
                "HTTP/1.1 200 OK\r\nX-Agatehill-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        let expected = head.header("x-agatehill-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.record
                .write(&format!("rejected {id}: meant for another server"));
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        self.record.run(&id, &self.id);
        thread::sleep(self.work);
        let body = format!("done by {}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Response-Seal: seal-{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
