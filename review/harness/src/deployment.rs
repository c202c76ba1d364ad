//! A small deployment of the real programs on loopback: each host has an address of its own, and all
//! hosts use the same ports, as the pages say.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{self, Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

pub const INBOUND: u16 = 8300;
pub const OUTBOUND: u16 = 8304;
pub const READY: u16 = 8302;
pub const CONTROL: u16 = 8306;
pub const APP: u16 = 8301;
/// Port of the deploy file's `--metrics-port`.
const METRICS: u16 = 9464;
const INNER_FIRST: u16 = 7620;
const INNER_LAST: u16 = 7635;

/// Hosts with a disk; the first three are the seeds.
pub const KEEPERS: [u8; 6] = [1, 2, 3, 4, 5, 6];

/// The zones, two in each region, as in the site file.
const ZONES: [(&str, &str); 6] = [
    ("herning-1", "vest"),
    ("ringsted-1", "oest"),
    ("nyborg-1", "midt"),
    ("esbjerg-2", "vest"),
    ("holbaek-2", "oest"),
    ("faaborg-2", "midt"),
];

/// The bounds of the site file.
const BOUNDS: &str = r#"["seedLagS=3","reuseAfterS=2","connectivityWindowS=3","ackS=4","catchUpS=4","drainS=2.5","graceS=6","lossSlackS=0.2","configApplyS=2.5","rollbackSlackS=0.25","maxStretchS=5","budgetRatio=0.2","budgetWindowS=10","budgetExtra=49","recoveryS=15"]"#;
/// The further bounds of a site with tenants.
const QUOTA_BOUNDS: &str =
    r#","strictRevoke=false","revokeS=5","quotaWindowS=5","quotaExcess=0.1","quotaSlack=20"]"#;

/// Ids of the processes that the case has started and that run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records that a process has ended.
fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

/// Ends all processes of the case, and the case, after `limit`: it could not run.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        let started: Vec<_> = STARTED.lock().unwrap().iter().map(u32::to_string).collect();
        let _ = Command::new("kill")
            .arg("-9")
            .args(started)
            .stderr(Stdio::null())
            .status();
        process::exit(2);
    });
}

/// Ends the run with exit code 2: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    panic!("{why}");
}

/// One host, its process and its role.
pub struct Host {
    pub idx: u8,
    role: &'static str,
    child: Option<Child>,
}

/// The deployment; dropping it kills all of its processes and removes its folder.
pub struct Deployment {
    net: u8,
    root: PathBuf,
    dir: PathBuf,
    /// Whether the site has tenants.
    pub has_tenants: bool,
    pub hosts: Vec<Host>,
}

impl Deployment {
    /// Returns a deployment without processes.
    pub fn open() -> Deployment {
        let root =
            PathBuf::from(std::env::var("REVIEW_ROOT").expect("REVIEW_ROOT is set by run.sh"));
        let dir = std::env::temp_dir().join(format!("agatehill-review-{}", process::id()));
        fs::create_dir_all(&dir).expect("create the temporary folder");
        let first = 64 + (process::id() % 128) as u8;
        let net = (first..=250)
            .find(|net| is_free(*net))
            .unwrap_or_else(|| cannot_run("no free addresses"));
        Deployment {
            net,
            root,
            dir,
            has_tenants: false,
            hosts: Vec::new(),
        }
    }

    pub fn ip(&self, idx: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 0, idx)
    }

    pub fn addr(&self, idx: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(idx), port))
    }

    /// Adds a host with an empty disk and starts its process.
    pub fn add(&mut self, idx: u8, role: &'static str, service: &str) {
        self.write_settings(idx, role, service, true);
        self.hosts.push(Host {
            idx,
            role,
            child: None,
        });
        self.start(idx);
    }

    /// Starts the process of a host with the settings that are in place.
    pub fn start(&mut self, idx: u8) {
        let settings = self.settings_path(idx);
        let program = self.root.join("target/release/agatehill-host");
        let log = fs::File::create(self.dir.join(format!("log-{idx}-{}", now_ms())))
            .expect("create the log");
        let errors = log.try_clone().expect("share the log");
        let host = self
            .hosts
            .iter_mut()
            .find(|host| host.idx == idx)
            .expect("a host of the deployment");
        // The command of deploy/system.toml.
        let child = Command::new(&program)
            .args([host.role, "--metrics-port", &METRICS.to_string()])
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("AGATEHILL_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(if std::env::var_os("UNREAD_LOGS").is_some() {
                Stdio::piped()
            } else {
                Stdio::from(log)
            })
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{}: {error}", program.display())));
        STARTED.lock().unwrap().push(child.id());
        host.child = Some(child);
    }

    /// Writes the settings file of a host.
    pub fn write_settings(&self, idx: u8, role: &str, service: &str, is_first_start: bool) {
        let (zone, region) = ZONES[usize::from(idx - 1) % ZONES.len()];
        let zones: Vec<_> = ZONES
            .iter()
            .map(|(zone, region)| format!("\"{zone}\":\"{region}\""))
            .collect();
        let seeds: Vec<_> = KEEPERS[..3]
            .iter()
            .map(|seed| format!("\"{}\"", self.addr(*seed, CONTROL)))
            .collect();
        let addr = |port| self.addr(idx, port);
        let bounds = match self.has_tenants {
            true => BOUNDS.trim_end_matches(']').to_owned() + QUOTA_BOUNDS,
            false => BOUNDS.to_owned(),
        };
        let own = if role == "keeper" {
            let data = self.dir.join(format!("data-{idx}"));
            fs::create_dir_all(&data).expect("create the data folder");
            format!(
                r#""machineClass":"core","serves":["control"],"lossCounts":true,"dataDir":"{}","listen":{{"control":"{}"}}"#,
                data.display(),
                addr(CONTROL)
            )
        } else {
            format!(
                r#""machineClass":"sidecar","serves":["sidecar"],"lossCounts":false,"dataDir":null,"app":"{}","service":"{service}","listen":{{"inbound":"{}","outbound":"{}","ready":"{}","control":"{}"}}"#,
                addr(APP),
                addr(INBOUND),
                addr(OUTBOUND),
                addr(READY),
                addr(CONTROL)
            )
        };
        let text = format!(
            r#"{{"node":"host-{idx}","role":"{role}","ip":"{}","zone":"{zone}","region":"{region}","zones":{{{}}},"portRange":[{INNER_FIRST},{INNER_LAST}],"seeds":[{}],"bootstrap":{is_first_start},"limits":{{"cpuShare":0.4,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":256}},"discovery":"static","entry":"static","heartbeatS":1.5,"contracts":["base","drain","config","cost","retry","recover","pressure"],"tolerate":{{"machines":2,"zones":0,"regions":0}},"bounds":{bounds},{own}}}"#,
            self.ip(idx),
            zones.join(","),
            seeds.join(",")
        );
        fs::write(self.settings_path(idx), text).expect("write the settings");
    }

    fn settings_path(&self, idx: u8) -> PathBuf {
        self.dir.join(format!("settings-{idx}.json"))
    }

    /// Kills the process of host `idx` with SIGKILL and waits until it has ended.
    pub fn kill(&mut self, idx: u8) {
        if let Some(child) = &mut self.host(idx).child {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }

    /// Kills all processes, all of them before waiting for any.
    pub fn kill_all(&mut self) {
        for host in &mut self.hosts {
            if let Some(child) = &mut host.child {
                let _ = child.kill();
            }
        }
        for host in &mut self.hosts {
            if let Some(child) = &mut host.child {
                let _ = child.wait();
                forget(child.id());
            }
        }
    }

    /// Replaces the disk of a keeper that does not run by an empty one; it does not start for the first
    /// time any more.
    pub fn wipe(&self, idx: u8) {
        let _ = fs::remove_dir_all(self.dir.join(format!("data-{idx}")));
        self.write_settings(idx, "keeper", "", false);
    }

    /// Sends a signal to the process of host `idx`.
    pub fn signal(&mut self, idx: u8, name: &str) {
        if let Some(child) = &self.host(idx).child {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    /// Returns how the process of host `idx` has ended; `None` while it runs.
    pub fn end_of(&mut self, idx: u8) -> Option<String> {
        let child = self.host(idx).child.as_mut()?;
        let status = child.try_wait().ok()??;
        forget(child.id());
        Some(status.to_string())
    }

    /// Returns what the processes of host `idx` wrote last, at most `lines` lines that contain `word`.
    pub fn log_lines(&self, idx: u8, word: &str, lines: usize) -> Vec<String> {
        let mut found = Vec::new();
        for entry in fs::read_dir(&self.dir).into_iter().flatten().flatten() {
            if entry
                .file_name()
                .to_string_lossy()
                .starts_with(&format!("log-{idx}-"))
            {
                let text = fs::read(entry.path()).unwrap_or_default();
                let text = String::from_utf8_lossy(&text).into_owned();
                found.extend(
                    text.lines()
                        .filter(|line| line.contains(word))
                        .map(str::to_owned),
                );
            }
        }
        found.truncate(lines);
        found
    }

    fn host(&mut self, idx: u8) -> &mut Host {
        self.hosts
            .iter_mut()
            .find(|host| host.idx == idx)
            .expect("a host of the deployment")
    }

    /// Starts the keepers and puts the first configuration in force; operators send it until it is
    /// accepted.
    pub fn start_keepers(&mut self) {
        for idx in KEEPERS {
            self.add(idx, "keeper", "");
        }
    }

    /// Sends a configuration to the keepers in turn until it is acknowledged.
    pub fn put(&self, text: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        for idx in KEEPERS.iter().cycle() {
            if Instant::now() > end {
                return false;
            }
            match call(self.addr(*idx, CONTROL), "POST", "/-/Config.Put", text) {
                Some((200, _)) => return true,
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        false
    }

    /// Waits until the daemon on host `idx` says that it is ready.
    pub fn wait_ready(&self, idx: u8) {
        let addr = self.addr(idx, READY);
        wait_for(&format!("daemon {idx} is ready"), || {
            matches!(call(addr, "GET", "/-/ready", ""), Some((200, _)))
        });
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn is_free(net: u8) -> bool {
    [INBOUND, OUTBOUND, READY, CONTROL, APP, METRICS, INNER_FIRST]
        .iter()
        .all(|port| TcpListener::bind((Ipv4Addr::new(127, net, 0, 11), *port)).is_ok())
}

/// Waits for a condition, 30 s at most; then the case can't run.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(30);
    while !condition() {
        if Instant::now() > end {
            cannot_run(&format!("{what}: not within 30 s"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the Unix time in milliseconds.
pub fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Sends one call with a JSON body on a connection of its own; returns status and body.
pub fn call(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok()?;
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body.to_owned()))
}
