//! A small deployment on loopback for the cases of this review: the project's programs as processes of their
//! own, and stand-ins of servers, clients and the operator. Uses the standard library only.
//!
//! Each machine is one address of `127.NET.0.0/16`; all machines use the same ports, as on the platform.

#![allow(dead_code)] // Each case uses a part of it.

use std::{
    collections::HashMap,
    env, fs,
    fs::File,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{self, Child, Command, ExitStatus, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit status of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit status of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit status of a case that could not run.
pub const NOT_RUN: i32 = 2;

// Offsets from the first port of the deployment.
const INBOUND: u16 = 0;
const OUTBOUND: u16 = 1;
const READY: u16 = 2;
const CONTROL: u16 = 3;
const RANGE: (u16, u16) = (4, 11);

/// Time between two heartbeats of a server, as in the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Longest wait for the deployment to be up.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// What happens in a case, with times since its start; written to `record.txt`.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the record in the folder that the first argument of the program names.
    pub fn open() -> Arc<Record> {
        let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file = File::create(PathBuf::from(folder).join("record.txt"));
        Arc::new(Record {
            started: Instant::now(),
            file: Mutex::new(file.expect("record.txt can be created")),
        })
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes one line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Returns whether the case is run with its disruption: `TROUBLE` is not `0`.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Prints the reason and ends the program with [`NOT_RUN`], if `ok` is false.
pub fn require(ok: bool, what: &str) {
    if !ok {
        panic!("the case could not run: {what}");
    }
}

/// Runs `case`; a panic counts as a case that could not run. The processes have ended when it returns.
pub fn run(case: impl FnOnce() -> i32 + std::panic::UnwindSafe) -> ! {
    let status = std::panic::catch_unwind(case).unwrap_or(NOT_RUN);
    process::exit(status)
}

/// Machines of a deployment and the processes on them.
pub struct Deployment {
    pub record: Arc<Record>,
    dir: PathBuf,
    net: u8,
    port: u16,
    machines: Vec<Machine>,
    /// Core machines that may be lost at once: two of five or six, as on the users' sites.
    tolerate: usize,
    children: HashMap<u8, Child>,
}

/// One machine.
#[derive(Clone)]
pub struct Machine {
    pub idx: u8,
    /// Service of the server on it; `None` for a core machine.
    pub service: Option<String>,
}

impl Deployment {
    /// Starts `keepers` core machines and a sidecar machine for each of `services`.
    pub fn start(record: Arc<Record>, keepers: u8, services: &[&str]) -> Deployment {
        let pid = process::id();
        let dir = env::temp_dir().join(format!("agatehill-review-{pid}"));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let core = (1..=keepers).map(|idx| Machine { idx, service: None });
        let side = services.iter().enumerate().map(|(at, service)| Machine {
            idx: 11 + at as u8,
            service: Some((*service).to_owned()),
        });
        let mut deployment = Deployment {
            record,
            dir,
            net: 0,
            port: 0,
            machines: core.chain(side).collect(),
            tolerate: (usize::from(keepers) - 1) / 2,
            children: HashMap::new(),
        };
        deployment.find_ports(pid);
        let machines: Vec<_> = deployment.machines.iter().map(|machine| machine.idx).collect();
        for idx in machines {
            deployment.start_process(idx, true);
        }
        deployment
    }

    /// Finds a network and ports in it that nobody listens on.
    fn find_ports(&mut self, seed: u32) {
        for attempt in 0..200_u32 {
            self.net = 100 + ((seed + attempt * 7) % 150) as u8;
            self.port = 11_000 + ((seed * 16 + attempt * 160) % 12_000) as u16;
            let ports = (0..=RANGE.1).map(|offset| self.port + offset).chain([9464]);
            let is_free = |idx: u8| {
                let host = self.host(idx);
                ports.clone().all(|port| TcpListener::bind((host, port)).is_ok())
            };
            if self.machines.iter().all(|machine| is_free(machine.idx)) {
                return;
            }
        }
        panic!("no free ports");
    }

    /// Returns the address of machine `idx`.
    pub fn host(&self, idx: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 0, idx)
    }

    fn addr(&self, idx: u8, offset: u16) -> SocketAddr {
        SocketAddr::from((self.host(idx), self.port + offset))
    }

    /// Address for requests of the clients and of the server on machine `idx`.
    pub fn outbound(&self, idx: u8) -> SocketAddr {
        self.addr(idx, OUTBOUND)
    }

    /// Address for heartbeats of the server on machine `idx`, or for operators of a keeper.
    pub fn control(&self, idx: u8) -> SocketAddr {
        self.addr(idx, CONTROL)
    }

    /// Returns the sidecar machines.
    pub fn sidecars(&self) -> Vec<Machine> {
        let machines = self.machines.iter();
        machines.filter(|machine| machine.service.is_some()).cloned().collect()
    }

    fn settings(&self, machine: &Machine, is_first_start: bool) -> String {
        let idx = machine.idx;
        let core = self.machines.iter().filter(|m| m.service.is_none() && m.idx != idx);
        let core: Vec<_> = if is_first_start {
            self.machines.iter().filter(|m| m.service.is_none()).collect()
        } else {
            core.filter(|m| self.children.contains_key(&m.idx)).collect()
        };
        let seeds = core.iter().take(3).map(|m| format!("\"{}\"", self.control(m.idx)));
        let seeds: Vec<_> = seeds.collect();
        let tolerate = self.tolerate;
        let (class, listen, data, service) = match &machine.service {
            Some(service) => (
                "sidecar",
                format!(
                    "\"inbound\":\"{}\",\"outbound\":\"{}\",\"ready\":\"{}\",\"control\":\"{}\"",
                    self.addr(idx, INBOUND),
                    self.addr(idx, OUTBOUND),
                    self.addr(idx, READY),
                    self.addr(idx, CONTROL)
                ),
                "null".to_owned(),
                format!("\"{service}\""),
            ),
            None => {
                let data = self.dir.join(format!("data-{idx}"));
                fs::create_dir_all(&data).expect("a data folder");
                let control = format!("\"control\":\"{}\"", self.addr(idx, CONTROL));
                ("core", control, format!("\"{}\"", data.display()), "null".to_owned())
            }
        };
        format!(
            "{{\"node\":\"{class}-{idx}\",\"role\":\"{class}\",\"machineClass\":\"{class}\",\"ip\":\"{}\",\
             \"zone\":\"herning-1\",\"region\":\"vest\",\"zones\":{{\"herning-1\":\"vest\"}},\
             \"listen\":{{{listen}}},\"portRange\":[{},{}],\"seeds\":[{}],\"bootstrap\":{is_first_start},\
             \"dataDir\":{data},\"heartbeatS\":1.5,\"service\":{service},\
             \"tolerate\":{{\"machines\":{tolerate},\"zones\":0,\"regions\":0}},\
             \"bounds\":[\"seedLagS=3\",\"reuseAfterS=2\",\"connectivityWindowS=3\",\"ackS=4\",\"catchUpS=4\",\
             \"drainS=2.5\",\"graceS=6\",\"lossSlackS=0.2\",\"configApplyS=2.5\",\"rollbackSlackS=0.25\",\
             \"maxStretchS=5\",\"budgetRatio=0.2\",\"budgetWindowS=10\",\"budgetExtra=49\",\"recoveryS=15\"]}}",
            self.host(idx),
            self.port + RANGE.0,
            self.port + RANGE.1,
            seeds.join(",")
        )
    }

    /// Starts the process of machine `idx` with the command of the deploy file.
    pub fn start_process(&mut self, idx: u8, is_first_start: bool) {
        let machine = self.machines.iter().find(|machine| machine.idx == idx).cloned();
        let machine = machine.expect("the machine is known");
        let path = self.dir.join(format!("settings-{idx}.json"));
        fs::write(&path, self.settings(&machine, is_first_start)).expect("settings can be written");
        let role = if machine.service.is_some() { "daemon" } else { "keeper" };
        let log = File::create(self.dir.join(format!("log-{idx}"))).expect("a log file");
        let mut command = Command::new("target/release/agatehill-host");
        command.args([role, "--metrics-port", "9464"]).env("AGATEHILL_BOOT", path);
        command.stdin(Stdio::null()).stdout(log);
        // SAFETY: `prctl` is called with constant arguments and touches no memory.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().expect("the release build has been made");
        self.record.line(&format!("start {role} machine={idx} pid={}", child.id()));
        self.children.insert(idx, child);
    }

    /// Sends the signal `name` to the process of machine `idx`.
    pub fn signal(&self, idx: u8, name: &str) {
        let pid = self.children[&idx].id().to_string();
        self.record.line(&format!("signal {name} machine={idx} pid={pid}"));
        let sent = Command::new("kill").args([&format!("-{name}"), &pid]).status();
        require(sent.is_ok_and(|status| status.success()), "a signal can be sent");
    }

    /// Kills the process of machine `idx` and waits until it has ended.
    pub fn kill(&mut self, idx: u8) {
        self.record.line(&format!("kill machine={idx}"));
        let child = self.children.get_mut(&idx).expect("a running process");
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Returns the status of the process of machine `idx` if it has ended.
    pub fn ended(&mut self, idx: u8) -> Option<ExitStatus> {
        self.children.get_mut(&idx)?.try_wait().ok()?
    }

    /// Removes the core machine `idx` for good: its process is killed, and nothing listens at its address again.
    pub fn remove(&mut self, idx: u8) {
        self.kill(idx);
        self.children.remove(&idx);
        self.machines.retain(|machine| machine.idx != idx);
        self.record.line(&format!("machine={idx} is gone for good"));
    }

    /// Adds a core machine with an empty disk, at an address that nobody has had.
    pub fn add_core(&mut self, idx: u8) {
        self.machines.push(Machine { idx, service: None });
        self.start_process(idx, false);
    }

    /// Empties the disk of machine `idx`, whose process has ended.
    pub fn lose_disk(&mut self, idx: u8) {
        self.record.line(&format!("machine={idx} loses its disk"));
        fs::remove_dir_all(self.dir.join(format!("data-{idx}"))).expect("the data folder is there");
    }

    /// Returns the memory that the process of machine `idx` uses, in MB; 0 if it has ended.
    pub fn memory_mb(&self, idx: u8) -> u64 {
        let pid = self.children[&idx].id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let size = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib: Option<u64> = size.and_then(|size| size.split_whitespace().next()?.parse().ok());
        kib.unwrap_or(0) * 1_024 / 1_000_000
    }

    /// Returns what the process of machine `idx` has logged.
    pub fn log(&self, idx: u8) -> String {
        fs::read_to_string(self.dir.join(format!("log-{idx}"))).unwrap_or_default()
    }

    /// Sends a configuration to keepers until one acknowledges it.
    pub fn put(&self, document: &str) {
        let keepers: Vec<_> = self.machines.iter().filter(|m| m.service.is_none()).collect();
        let is_put = eventually(START_TIMEOUT, || {
            keepers.iter().any(|machine| {
                let headers = [("content-type", "application/json")];
                let addr = self.control(machine.idx);
                let response = exchange(
                    addr,
                    "POST /-/Config.Put",
                    &headers,
                    document.as_bytes(),
                    Duration::from_secs(1),
                );
                let status = response.map(|response| response.status);
                self.record.line(&format!("Config.Put machine={} status={status:?}", machine.idx));
                status == Some(200)
            })
        });
        require(is_put, "a configuration is acknowledged");
    }

    /// Waits until the daemon of machine `idx` says that it is ready.
    pub fn wait_ready(&self, idx: u8) {
        let addr = self.addr(idx, READY);
        let is_ready = eventually(START_TIMEOUT, || {
            let response = exchange(addr, "GET /-/ready", &[], b"", Duration::from_secs(1));
            response.is_some_and(|response| response.status == 200)
        });
        require(is_ready, "a daemon is ready");
    }

    /// Waits until the daemon of machine `idx` serves `line` for the virtual host `host`.
    pub fn wait_served(&self, idx: u8, line: &str, host: &str) {
        let addr = self.outbound(idx);
        let is_served = eventually(START_TIMEOUT, || {
            let id = new_id("probe");
            let headers = [
                ("host", host),
                ("x-agatehill-request-id", id.as_str()),
                ("x-agatehill-deadline-ms", "2000"),
            ];
            let response = exchange(addr, line, &headers, b"", Duration::from_secs(2));
            response.is_some_and(|response| response.status == 200)
        });
        require(is_served, "a request is served");
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Makes the kernel kill this process when the program that started it ends.
fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes one number.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// Returns whether `check` succeeds before `timeout` has passed.
pub fn eventually(timeout: Duration, mut check: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if check() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Returns a new request id that begins with `prefix`.
pub fn new_id(prefix: &str) -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    format!("{prefix}-{}", COUNT.fetch_add(1, Ordering::Relaxed) + 1)
}

/// A request or response as it was read.
#[derive(Clone, Debug)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Status of a response.
    pub status: u16,
}

impl Message {
    /// Returns the value of the header `name`, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the request id.
    pub fn id(&self) -> &str {
        self.header("x-agatehill-request-id").unwrap_or_default()
    }
}

/// One end of an HTTP/1.1 connection.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buf: Vec::new() }
    }

    /// Connects to `addr` within a second, as the users' clients do.
    pub fn open(addr: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        Some(Connection::new(stream))
    }

    /// Writes a request with a body of known length.
    pub fn send(&mut self, line: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("{line} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "host") {
            head += "host: a.example\r\n";
        }
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() || line.starts_with("POST") {
            head += &format!("content-length: {}\r\n", body.len());
        }
        head += "\r\n";
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)
    }

    /// Reads bytes into the buffer; returns whether there were any.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => false,
            Ok(len) => {
                self.buf.extend_from_slice(&chunk[..len]);
                true
            }
        }
    }

    /// Reads a head, without its body.
    pub fn read_head(&mut self) -> Option<Message> {
        loop {
            let end = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                return parse_head(&head);
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads the body of `message`.
    pub fn read_body(&mut self, message: &mut Message) -> Option<()> {
        if message.header("transfer-encoding").is_some() {
            return self.read_chunks(message);
        }
        let len = message.header("content-length").and_then(|len| len.parse().ok());
        let len: usize = len.unwrap_or(0);
        while self.buf.len() < len {
            if !self.fill() {
                return None;
            }
        }
        message.body = self.buf.drain(..len).collect();
        Some(())
    }

    fn read_chunks(&mut self, message: &mut Message) -> Option<()> {
        loop {
            let line = self.read_line()?;
            let len = usize::from_str_radix(line.trim(), 16).ok()?;
            while self.buf.len() < len + 2 {
                if !self.fill() {
                    return None;
                }
            }
            message.body.extend(self.buf.drain(..len));
            self.buf.drain(..2);
            if len == 0 {
                return Some(());
            }
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return String::from_utf8(line).ok();
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads a whole request or response.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Some(message)
    }

    /// Writes the answer of a server to the request `id`.
    pub fn answer(&mut self, id: &str, status: &str, body: &str) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status}\r\nx-agatehill-request-id: {id}\r\nx-agatehill-response-seal: seal-{id}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.write_all(text.as_bytes())
    }
}

fn parse_head(head: &[u8]) -> Option<Message> {
    let text = String::from_utf8_lossy(head);
    let mut lines = text.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    Some(Message {
        headers: headers.collect(),
        body: Vec::new(),
        status: status.unwrap_or(0),
        line,
    })
}

/// Sends one request over a new connection; returns the response if a whole one arrives within `timeout`.
pub fn exchange(
    addr: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let mut connection = Connection::open(addr)?;
    connection.stream.set_read_timeout(Some(timeout)).ok()?;
    connection.send(line, headers, body).ok()?;
    connection.read()
}

/// State of a server that its heartbeats tell.
pub struct ServerState {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub is_draining: AtomicBool,
    /// Whether it sends no more heartbeats.
    pub is_silent: AtomicBool,
    sequence: AtomicU64,
}

impl ServerState {
    /// Returns the state of a server that starts now.
    pub fn new(id: &str, service: &str, addr: SocketAddr, slots: u32) -> Arc<ServerState> {
        Arc::new(ServerState {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            slots,
            born: unix_ms(),
            is_draining: AtomicBool::new(false),
            is_silent: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
        })
    }

    /// Sends one heartbeat to `control`; returns the status of the reply.
    pub fn send_heartbeat(&self, control: SocketAddr) -> Option<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = match self.is_draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"herning-1\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\
             \"coldLeftS\":0}}}}",
            self.addr, self.born, self.service, self.slots
        );
        let line = format!("POST /-/Instances.Heartbeat/{}", self.id);
        let headers = [("content-type", "application/json")];
        let reply = exchange(control, &line, &headers, body.as_bytes(), Duration::from_secs(1));
        reply.map(|reply| reply.status)
    }

    /// Sends heartbeats to `control` until the server is silent.
    pub fn spawn_heartbeats(self: &Arc<ServerState>, control: SocketAddr) {
        let server = self.clone();
        thread::spawn(move || {
            while !server.is_silent.load(Ordering::Relaxed) {
                let is_acknowledged = server.send_heartbeat(control) == Some(200);
                let pause = if is_acknowledged { HEARTBEAT } else { HEARTBEAT / 5 };
                thread::sleep(pause);
            }
        });
    }
}

/// Returns the time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the clock is set").as_millis() as u64
}

/// Listens on a free port of `host` and runs `handle` in a thread for each connection.
pub fn listen(host: Ipv4Addr, handle: impl Fn(Connection) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
    addr
}

/// One route of a configuration.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    /// Services with their weights; one alone needs no weight.
    pub services: &'a [(&'a str, u32)],
    pub timeout_s: f64,
    pub target_s: f64,
    pub priority: u32,
    pub attempts: u32,
}

/// Returns a configuration of the virtual host `a.example`.
pub fn document(base: u64, version: u64, services: &[&str], routes: &[Route]) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConnections\":472,\"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let paths = routes.iter().map(|route| {
        let target = match route.services {
            [(service, _)] => format!("\"service\":\"{service}\""),
            parts => {
                let parts = parts.iter().map(|(service, weight)| {
                    format!("{{\"service\":\"{service}\",\"weight\":{weight}}}")
                });
                format!("\"weightedServices\":[{}]", parts.collect::<Vec<_>>().join(","))
            }
        };
        format!(
            "{{\"name\":\"r{}\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"timeoutS\":{},\"targetLatencyS\":{},\
             \"priority\":{},{target},\"maxAttempts\":{}}}",
            route.prefix.replace('/', "-"),
            route.prefix,
            route.kind,
            route.timeout_s,
            route.target_s,
            route.priority,
            route.attempts
        )
    });
    format!(
        "{{\"version\":{version},\"baseVersion\":{base},\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}},\
         \"virtualHosts\":[{{\"host\":\"a.example\",\"paths\":[{}]}}]}}",
        services.collect::<Vec<_>>().join(","),
        paths.collect::<Vec<_>>().join(",")
    )
}
