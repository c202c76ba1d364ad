//! A server answers long uploads before it has read them, keeps the connection and reads on.

use agatehill_review_3::{
    BROKEN, Connection, HELD, Host, NOT_RUN, Record, Site, call, has_trouble, must, sleep_ms,
    unix_ms,
};
use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    time::Duration,
};

const ZONE: &str = "herning-1";
const SERVICES: [&str; 2] = ["huvo11a", "lovo22d"];
const UPLOADS: usize = 30;
/// Length of an upload, in bytes; the largest of the sheets.
const UPLOAD_BYTES: usize = 1_000_000;
/// Length of an answer, in bytes.
const ANSWER_BYTES: usize = 1_000_000;
/// Parts in which the client sends and reads, in bytes, and the pauses between them.
const PART_BYTES: usize = 16 * 1024;
const SEND_PAUSE_MS: u64 = 40;
const READ_PAUSE_MS: u64 = 20;
/// Connections that may be closed without an answer.
const CLOSED_MAX: usize = 3;
const BOUNDS: &str = "seedLagS=3,reuseAfterS=2,connectivityWindowS=3,ackS=4,catchUpS=4,drainS=2.5,graceS=6,lossSlackS=0.2,configApplyS=2.5,rollbackSlackS=0.25,maxStretchS=5,budgetRatio=0.2,budgetWindowS=10,budgetExtra=49,recoveryS=15";

fn main() {
    let folder = std::env::args().nth(1).expect("usage: early-answer FOLDER");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let site = Site::open(record.clone(), 1, 0, &[ZONE], BOUNDS);
    let code = run(&site, &record);
    site.remove();
    std::process::exit(code);
}

fn run(site: &Site, record: &Record) -> i32 {
    let keepers = site.start_keepers(1);
    let daemons: Vec<_> = (11..)
        .zip(SERVICES)
        .map(|(number, service)| site.start_daemon(number, ZONE, service))
        .collect();
    must(
        site.put_config(&keepers, &document()),
        "the configuration is not accepted",
    );
    daemons
        .iter()
        .zip(SERVICES)
        .for_each(|(host, service)| serve(host, service, record));
    must(
        daemons.iter().all(Host::wait_ready),
        "a daemon is not ready",
    );
    sleep_ms(4_500);
    let mut tally: BTreeMap<String, usize> = BTreeMap::new();
    for n in 0..UPLOADS {
        // By turns to the server on the host and to the one on the other host.
        let name = ["a", "b"][n % 2];
        let end = upload(daemons[0].outbound(), name, n);
        record.line(format!("q{n} to /{name}/ on a kept connection: {end}"));
        *tally
            .entry(end.split(':').next().unwrap_or_default().to_owned())
            .or_default() += 1;
    }
    record.line(format!("{tally:?}"));
    let closed = tally
        .get("closed without a complete answer")
        .copied()
        .unwrap_or(0);
    if tally.contains_key("not sent") {
        return NOT_RUN;
    }
    match closed > CLOSED_MAX {
        true => BROKEN,
        false => HELD,
    }
}

fn document() -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":616,"protocol":"h1","tls":false}}"#
        )
    };
    let services = SERVICES.map(service).join(",");
    let route = |(name, service): (&str, &str)| {
        format!(
            r#"{{"name":"r-{name}","pathPrefix":"/{name}/","kind":"upload","timeoutS":4,"targetLatencyS":1.5,"priority":0,"service":"{service}","maxAttempts":2}}"#
        )
    };
    let routes = [("a", SERVICES[0]), ("b", SERVICES[1])]
        .map(route)
        .join(",");
    format!(
        r#"{{"version":3,"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"baseVersion":0,"virtualHosts":[{{"host":"hulo84.example","paths":[{routes}]}}]}}"#
    )
}

fn serve(host: &Host, service: &'static str, record: &Record) {
    let listener = TcpListener::bind(host.app()).expect("cannot bind the server's address");
    let (control, addr) = (host.control(), host.app());
    std::thread::spawn(move || beat(control, addr, service));
    let record = record.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || answer_all(stream, &record));
        }
    });
}

fn beat(control: SocketAddr, addr: SocketAddr, service: &str) {
    let born = unix_ms();
    for sequence in 1.. {
        let body = format!(
            r#"{{"born":{born},"address":"{addr}","info":{{"service":"{service}","version":"v1","zone":"{ZONE}","slots":60}},"status":{{"state":"ready","sequence":{sequence},"coldLeftS":0}}}}"#
        );
        let path = format!("/-/Instances.Heartbeat/i-{service}");
        let _ = call(control, "POST", &path, &body, Duration::from_secs(1));
        sleep_ms(1_500);
    }
}

/// Answers the requests of one connection: long ones at once with the disruption, else once they are read.
fn answer_all(mut stream: TcpStream, record: &Record) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    while let Some((head, is_long)) = read_head(&mut stream, &mut buf) {
        let id = header(&head, "x-agatehill-request-id").unwrap_or_default();
        let is_early = is_long && has_trouble();
        let mut body = BodyReader::new(&head);
        if !is_early && !body.read_rest(&mut stream, &mut buf) {
            return;
        }
        record.quiet(format!(
            "server runs {id}, answers {}",
            if is_early { "early" } else { "once it is read" }
        ));
        let len = if is_long { ANSWER_BYTES } else { 10 };
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Response-Seal: seal.{id}\r\nContent-Length: {len}\r\n\r\n"
        )
        .into_bytes();
        answer.resize(answer.len() + len, b'r');
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let writing = std::thread::spawn(move || writer.write_all(&answer).is_ok());
        let is_read = !is_early || body.read_rest(&mut stream, &mut buf);
        if !writing.join().unwrap_or(false) || !is_read {
            record.quiet(format!(
                "server: the connection of {id} has ended, answer or upload incomplete"
            ));
            return;
        }
    }
}

/// Reads a request's head; returns it with whether the request is a long upload.
fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, bool)> {
    let mut part = vec![0; 64 * 1024];
    loop {
        if let Some(at) = buf.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = buf.drain(..at + 4).collect::<Vec<_>>();
            let head = String::from_utf8_lossy(&head).into_owned();
            let is_long = head.starts_with("POST") && head.contains("/long");
            return Some((head, is_long));
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(len) => buf.extend_from_slice(&part[..len]),
        }
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.to_owned())
}

/// The body of a request, with a length or in chunks.
struct BodyReader {
    length: Option<usize>,
}

impl BodyReader {
    fn new(head: &str) -> BodyReader {
        let is_chunked = header(head, "transfer-encoding").is_some();
        let length = header(head, "content-length").and_then(|value| value.parse().ok());
        BodyReader {
            length: if is_chunked {
                None
            } else {
                Some(length.unwrap_or(0))
            },
        }
    }

    /// Reads the whole body; returns whether it was complete.
    fn read_rest(&mut self, stream: &mut TcpStream, buf: &mut Vec<u8>) -> bool {
        let mut part = vec![0; 64 * 1024];
        loop {
            match self.length {
                Some(length) if buf.len() >= length => {
                    buf.drain(..length);
                    return true;
                }
                // These clients' bodies contain no line ends.
                None if buf.ends_with(b"0\r\n\r\n") => {
                    buf.clear();
                    return true;
                }
                _ => {}
            }
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return false,
                Ok(len) => buf.extend_from_slice(&part[..len]),
            }
        }
    }
}

/// Sends a short request and then a long upload on one connection, and reads the answer meanwhile; returns how it ended.
fn upload(addr: SocketAddr, name: &str, n: usize) -> String {
    let Ok(mut connection) = Connection::open(addr, Duration::from_secs(5)) else {
        return "not sent".to_owned();
    };
    let head = |path: &str, id: &str, len: usize| {
        format!(
            "POST /{name}/{path} HTTP/1.1\r\nHost: hulo84.example\r\nX-Agatehill-Request-Id: {id}\r\nX-Agatehill-Deadline-Ms: 4000\r\nContent-Length: {len}\r\n\r\n"
        )
    };
    let first = connection.send(format!("{}hello", head("short", &format!("p{n}"), 5)).as_bytes());
    let first = first.and_then(|()| connection.read_response());
    if !first.is_ok_and(|answer| answer.status == 200) {
        return "not sent: the short request before it failed".to_owned();
    }
    let Ok(mut writer) = connection.stream.try_clone() else {
        return "not sent".to_owned();
    };
    let head = head("long", &format!("q{n}"), UPLOAD_BYTES);
    let sending = std::thread::spawn(move || {
        let mut left = UPLOAD_BYTES;
        let mut is_sent = writer.write_all(head.as_bytes()).is_ok();
        while left > 0 && is_sent {
            let len = left.min(PART_BYTES);
            is_sent = writer.write_all(&vec![b'u'; len]).is_ok();
            left -= len;
            sleep_ms(SEND_PAUSE_MS);
        }
    });
    let end = read_answer(&mut connection);
    let _ = connection.stream.shutdown(std::net::Shutdown::Both);
    let _ = sending.join();
    end
}

fn read_answer(connection: &mut Connection) -> String {
    let mut got = Vec::new();
    let mut part = vec![0; PART_BYTES];
    loop {
        let cut = match connection.stream.read(&mut part) {
            Ok(0) => Some("end of the connection".to_owned()),
            Ok(len) => {
                got.extend_from_slice(&part[..len]);
                None
            }
            Err(error) => Some(format!("{:?}", error.kind())),
        };
        if let Some(cut) = cut {
            return format!(
                "closed without a complete answer: {cut} after {} bytes",
                got.len()
            );
        }
        let text = String::from_utf8_lossy(&got[..got.len().min(1_000)]).into_owned();
        if let Some(at) = text.find("\r\n\r\n") {
            let len =
                header(&text[..at], "content-length").and_then(|value| value.parse::<usize>().ok());
            if len.is_some_and(|len| got.len() >= at + 4 + len) {
                return format!("answered {}", &text[9..12]);
            }
        }
        sleep_ms(READ_PAUSE_MS);
    }
}
