//! A random mix of requests, servers' faults and signals, for 60 s; checks what may never happen.
//! Not a case of its own: it was used to look for faults.

use crate::{
    config::{Route, document},
    deployment::{APP, CONTROL, Deployment, KEEPERS, OUTBOUND, call, now_ms},
    http::{Head, read_body, read_head},
    record::Record,
};
use std::{
    collections::HashMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const HOSTS: [u8; 6] = [11, 12, 13, 14, 15, 16];
const SERVICES: [&str; 2] = ["certdesk", "techreg"];

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound
    }
}

/// What servers and clients have seen of each request.
#[derive(Default)]
struct Seen {
    runs: HashMap<String, u32>,
    faults: Vec<String>,
}

fn pattern(id: &str, len: usize) -> Vec<u8> {
    id.bytes().cycle().take(len).collect()
}

struct Torn {
    id: String,
    service: &'static str,
    addr: SocketAddr,
    control: SocketAddr,
    born: AtomicU64,
    sequence: AtomicU64,
    is_down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    seen: Arc<Mutex<Seen>>,
    seed: AtomicU64,
    record: Arc<Record>,
}

impl Torn {
    fn start(self: &Arc<Torn>) {
        self.born.store(now_ms(), Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        let listener = TcpListener::bind(self.addr).expect("bind a server");
        listener.set_nonblocking(true).unwrap();
        let server = self.clone();
        thread::spawn(move || {
            while !server.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        server
                            .streams
                            .lock()
                            .unwrap()
                            .push(stream.try_clone().unwrap());
                        let serving = server.clone();
                        thread::spawn(move || serving.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        let server = self.clone();
        let born = self.born.load(Ordering::SeqCst);
        thread::spawn(move || {
            while !server.is_down.load(Ordering::SeqCst)
                && server.born.load(Ordering::SeqCst) == born
            {
                let sequence = server.sequence.fetch_add(1, Ordering::SeqCst) + 1;
                let body = format!(
                    r#"{{"address":"{}","born":{born},"info":{{"service":"{}","version":"v1","zone":"herning-1","slots":8}},"status":{{"state":"ready","sequence":{sequence},"coldLeftS":0}}}}"#,
                    server.addr, server.service
                );
                call(
                    server.control,
                    "POST",
                    &format!("/-/Instances.Heartbeat/{}", server.id),
                    &body,
                );
                thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut random = Random(self.seed.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::SeqCst) | 1);
        let mut buf = Vec::new();
        let mut last: Option<String> = None;
        while let Some(head) = read_head(&mut stream, &mut buf) {
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            if self
                .one(&mut stream, &mut buf, &head, &mut random, &mut last)
                .is_none()
            {
                return;
            }
        }
    }

    fn one(
        &self,
        stream: &mut TcpStream,
        buf: &mut Vec<u8>,
        head: &Head,
        random: &mut Random,
        last: &mut Option<String>,
    ) -> Option<()> {
        let id = head.header("x-agatehill-request-id").unwrap_or_default();
        if head
            .header("x-agatehill-expected-instance")
            .is_some_and(|expected| expected != self.id)
        {
            read_body(stream, buf, head)?;
            return stream.write_all(format!("HTTP/1.1 421 No\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").as_bytes()).ok();
        }
        if random.below(100) < 8 {
            // Rejects, at times before the body is in, and reads on later.
            let answer = format!(
                "HTTP/1.1 503 Full\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
            );
            if random.below(2) == 0 {
                stream.write_all(answer.as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(random.below(60)));
                self.check_body(&id, &read_body(stream, buf, head)?);
            } else {
                self.check_body(&id, &read_body(stream, buf, head)?);
                stream.write_all(answer.as_bytes()).ok()?;
            }
            return Some(());
        }
        let body = read_body(stream, buf, head)?;
        self.check_body(&id, &body);
        *self
            .seen
            .lock()
            .unwrap()
            .runs
            .entry(id.clone())
            .or_default() += 1;
        if head.header("x-agatehill-caller-service").is_none() {
            self.fault(format!("UNASKED {id} without a caller service"));
        }
        thread::sleep(Duration::from_millis(5 + random.below(80)));
        if self.is_down.load(Ordering::SeqCst) {
            return None;
        }
        let len = if random.below(10) == 0 { 150_000 } else { 300 };
        let bytes = pattern(&format!("a-{id}-"), len);
        let status = if random.below(50) == 0 {
            "500 Own"
        } else {
            "200 OK"
        };
        let framed = format!(
            "HTTP/1.1 {status}\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Response-Seal: seal-{id}\r\nX-Len: {len}\r\nContent-Length: {len}\r\n\r\n"
        );
        let mut answer = framed.clone().into_bytes();
        answer.extend(&bytes);
        match random.below(100) {
            // The answer is lost.
            0..4 => return None,
            // It breaks off.
            4..7 => {
                let cut = framed.len() + len / 2;
                let _ = stream.write_all(&answer[..cut]);
                return None;
            }
            // No length: it ends with the connection.
            7..10 => {
                let open = format!(
                    "HTTP/1.1 {status}\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Response-Seal: seal-{id}\r\nX-Len: {len}\r\nConnection: close\r\n\r\n"
                );
                stream.write_all(open.as_bytes()).ok()?;
                stream.write_all(&bytes).ok()?;
                return None;
            }
            // A second copy, at once or late.
            10..14 => {
                stream.write_all(&answer).ok()?;
                stream.write_all(&answer).ok()?;
                return Some(());
            }
            14..18 => {
                stream.write_all(&answer).ok()?;
                thread::sleep(Duration::from_millis(random.below(50)));
                stream.write_all(&answer).ok()?;
                return Some(());
            }
            // The answer before this one again, where this one is due.
            18..21 => {
                if let Some(old) = last.take() {
                    let bytes = pattern(&format!("a-{old}-"), 300);
                    let mut copy = format!("HTTP/1.1 200 OK\r\nX-Agatehill-Request-Id: {old}\r\nX-Agatehill-Response-Seal: seal-{old}\r\nX-Len: 300\r\nContent-Length: 300\r\n\r\n").into_bytes();
                    copy.extend(bytes);
                    stream.write_all(&copy).ok()?;
                }
            }
            21..23 => {
                stream
                    .write_all(b"\x00\x01garbage that is no answer\r\n\r\n")
                    .ok()?;
                return Some(());
            }
            _ => {}
        }
        *last = Some(id);
        stream.write_all(&answer).ok()
    }

    fn check_body(&self, id: &str, body: &[u8]) {
        if body != pattern(id, body.len()) || body.len() as u64 != expected_len(id) {
            self.fault(format!(
                "UNASKED {id}: its body of {} bytes is not the one that was sent",
                body.len()
            ));
        }
    }

    fn fault(&self, text: String) {
        self.record.write(&text);
        self.seen.lock().unwrap().faults.push(text);
    }
}

/// The length of a request's body stands at the end of its id.
fn expected_len(id: &str) -> u64 {
    id.rsplit('.')
        .next()
        .and_then(|len| len.parse().ok())
        .unwrap_or(0)
}

fn client(
    number: u64,
    idx: u8,
    addr: SocketAddr,
    seed: u64,
    seen: &Arc<Mutex<Seen>>,
    answers: &Arc<Mutex<HashMap<String, u16>>>,
    stop: &Arc<AtomicBool>,
    record: &Arc<Record>,
) {
    let mut random = Random(seed | 1);
    let mut kept: Option<(TcpStream, Vec<u8>)> = None;
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let kind = random.below(3);
        let service = random.below(2);
        let len = match kind {
            0 => 0,
            1 => random.below(5_000),
            _ => random.below(900_000),
        };
        let line = [
            ["GET /certdesk/safe/x", "GET /techreg/safe/x"],
            ["POST /certdesk/pay/x", "POST /techreg/pay/x"],
            ["POST /certdesk/up/x", "POST /techreg/up/x"],
        ][kind as usize][service as usize];
        let id = format!(
            "{}{idx}-{number}-{count}.{len}",
            ["s", "u", "l"][kind as usize]
        );
        let (mut stream, mut buf) = match kept.take() {
            Some(kept) => kept,
            None => match TcpStream::connect_timeout(&addr, Duration::from_secs(1)) {
                Ok(stream) => (stream, Vec::new()),
                Err(_) => {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
            },
        };
        let _ = stream.set_nodelay(true);
        let gives_up = random.below(20) == 0;
        let limit = if gives_up {
            5 + random.below(60)
        } else {
            6_000
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(limit)));
        let head = format!(
            "{line}?q={count} HTTP/1.1\r\nHost: a.example\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Deadline-Ms: 3000\r\nContent-Length: {len}\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err()
            || stream.write_all(&pattern(&id, len as usize)).is_err()
        {
            // The answer may be there all the same.
        }
        let Some(head) = read_head(&mut stream, &mut buf) else {
            continue;
        };
        let body = read_body(&mut stream, &mut buf, &head);
        let status: u16 = head
            .line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        let is_success = (200..300).contains(&status);
        let seal = head.header("x-agatehill-response-seal");
        let Some(body) = body else { continue };
        answers.lock().unwrap().insert(id.clone(), status);
        let fault = if is_success && seal.as_deref() != Some(&format!("seal-{id}")) {
            Some(format!("MIXED {id}: a success with the seal {seal:?}"))
        } else if is_success
            && head.header("x-len").and_then(|len| len.parse().ok()) != Some(body.len())
        {
            Some(format!(
                "MIXED {id}: a success with {} bytes of {:?}",
                body.len(),
                head.header("x-len")
            ))
        } else if is_success && body != pattern(&format!("a-{id}-"), body.len()) {
            Some(format!("MIXED {id}: a success with a foreign body"))
        } else if !is_success && seal.is_some() && !head.line.contains(" 500") {
            Some(format!("MIXED {id}: {} with a seal", head.line))
        } else {
            None
        };
        if let Some(fault) = fault {
            record.write(&fault);
            seen.lock().unwrap().faults.push(fault);
        }
        let closes = head
            .header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes && status != 408 && status != 413 {
            kept = Some((stream, buf));
        }
        thread::sleep(Duration::from_millis(random.below(30)));
    }
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> bool {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1);
    let mut random = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    let mut deployment = Deployment::open();
    deployment.start_keepers();
    for (idx, service) in HOSTS.iter().zip(SERVICES.iter().cycle()) {
        deployment.add(*idx, "daemon", service);
    }
    let routes: Vec<Route> = SERVICES
        .iter()
        .flat_map(|service| {
            [("safe", "safe"), ("pay", "unsafe"), ("up", "upload")].map(|(part, kind)| Route {
                prefix: Box::leak(format!("/{service}/{part}/").into_boxed_str()),
                kind,
                timeout_s: 2.0,
                priority: 1,
                service,
            })
        })
        .collect();
    assert!(
        deployment.put(&document(0, 3, &routes), Duration::from_secs(20)),
        "no first configuration"
    );
    let mut version = 3;
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let servers: Vec<_> = HOSTS
        .iter()
        .zip(SERVICES.iter().cycle())
        .map(|(idx, service)| {
            let server = Arc::new(Torn {
                id: format!("i-{idx}"),
                service,
                addr: deployment.addr(*idx, APP),
                control: deployment.addr(*idx, CONTROL),
                born: AtomicU64::new(0),
                sequence: AtomicU64::new(0),
                is_down: AtomicBool::new(true),
                streams: Mutex::default(),
                seen: seen.clone(),
                seed: AtomicU64::new(random.next()),
                record: record.clone(),
            });
            server.start();
            server
        })
        .collect();
    for idx in HOSTS {
        deployment.wait_ready(idx);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for idx in HOSTS {
        for number in 0..4 {
            let (addr, seed) = (deployment.addr(idx, OUTBOUND), random.next());
            let (seen, answers, stop, record) =
                (seen.clone(), answers.clone(), stop.clone(), record.clone());
            clients.push(thread::spawn(move || {
                client(number, idx, addr, seed, &seen, &answers, &stop, &record)
            }));
        }
    }
    let seconds = std::env::var("SECONDS_LONG")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(60);
    let end = record.now() + Duration::from_secs(seconds);
    let mut unacknowledged: Option<String> = None;
    while record.now() < end {
        thread::sleep(Duration::from_millis(300 + random.below(900)));
        if !has_trouble {
            continue;
        }
        let idx = HOSTS[random.below(6) as usize];
        let keeper = KEEPERS[random.below(6) as usize];
        let choice = random.below(8);
        record.write(&format!("trouble {choice} host {idx} keeper {keeper}"));
        match choice {
            0 => {
                deployment.kill(idx);
                thread::sleep(Duration::from_millis(random.below(1_000)));
                deployment.start(idx);
            }
            1 => {
                deployment.signal(idx, "STOP");
                thread::sleep(Duration::from_millis(random.below(3_000)));
                deployment.signal(idx, "CONT");
            }
            2 => {
                deployment.signal(idx, "TERM");
                while deployment.end_of(idx).is_none() {
                    thread::sleep(Duration::from_millis(50));
                }
                deployment.start(idx);
            }
            3 => {
                let server = &servers[random.below(6) as usize];
                server.crash();
                thread::sleep(Duration::from_millis(200 + random.below(1_500)));
                server.start();
            }
            4 => {
                deployment.kill(keeper);
                thread::sleep(Duration::from_millis(random.below(1_000)));
                deployment.start(keeper);
            }
            5 => {
                deployment.signal(keeper, "STOP");
                thread::sleep(Duration::from_millis(random.below(3_000)));
                deployment.signal(keeper, "CONT");
            }
            6 => {
                deployment.signal(idx, "HUP");
            }
            _ => {
                let text = document(version, version + 2, &routes);
                let is_acknowledged = deployment.put(&text, Duration::from_secs(8));
                if is_acknowledged {
                    version += 2;
                } else {
                    unacknowledged = Some(text);
                    record.write("a configuration was not acknowledged within 8 s");
                }
            }
        }
        for idx in HOSTS.into_iter().chain(KEEPERS) {
            if let Some(end) = deployment.end_of(idx) {
                let fault = format!("CRASH host {idx} ended by itself: {end}");
                record.write(&fault);
                seen.lock().unwrap().faults.push(fault);
                deployment.start(idx);
            }
        }
        if let Some(text) = unacknowledged.take()
            && deployment.put(&text, Duration::from_secs(8))
        {
            version += 2;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(3));
    let seen = seen.lock().unwrap();
    let answers = answers.lock().unwrap();
    let mut faults = seen.faults.clone();
    for (id, count) in &seen.runs {
        let is_once = !id.starts_with('s');
        if is_once && *count > 1 {
            faults.push(format!("TWICE {id}: {count} runs"));
        }
        if is_once && matches!(answers.get(id), Some(408 | 421 | 429 | 503)) {
            faults.push(format!("REFUSED {id}: {:?} and it ran", answers.get(id)));
        }
    }
    let mut statuses: HashMap<u16, u32> = HashMap::new();
    for status in answers.values() {
        *statuses.entry(*status).or_default() += 1;
    }
    record.write(&format!(
        "answers by status: {statuses:?}; runs: {}",
        seen.runs.len()
    ));
    for fault in &faults {
        record.write(fault);
        println!("{fault}");
    }
    faults.is_empty()
}
