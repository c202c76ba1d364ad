//! The platform: starts the processes of the deploy file with their settings, stops and restarts them.

use crate::{Record, http::call, sleep_ms};
use std::{
    fs::{self, File},
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

const CONTROL_PORT: u16 = 8306;
const INBOUND_PORT: u16 = 8300;
const OUTBOUND_PORT: u16 = 8304;
const READY_PORT: u16 = 8302;
const APP_PORT: u16 = 8301;
const PORT_RANGE: [u16; 2] = [7620, 7635];

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ends the case as one that could not run unless `condition` holds.
pub fn must(condition: bool, text: &str) {
    if !condition {
        println!("the case can't run: {text}");
        std::process::exit(crate::NOT_RUN);
    }
}

/// A small deployment on loopback addresses of its own.
#[derive(Clone)]
pub struct Site {
    folder: PathBuf,
    subnet: String,
    seeds: Vec<IpAddr>,
    pub tolerate: usize,
    pub zones: Vec<String>,
    pub bounds: String,
    pub record: Record,
}

/// What one host runs.
#[derive(Clone)]
pub struct HostOptions {
    pub name: String,
    pub number: u8,
    pub zone: String,
    /// Service of the backend server; `None` for a keeper.
    pub service: Option<String>,
    pub memory_mb: u64,
}

/// A host with one process of the deploy file.
pub struct Host {
    pub options: HostOptions,
    pub ip: IpAddr,
    site: Site,
    child: Arc<Mutex<Option<Child>>>,
}

impl Site {
    /// Returns a deployment whose temporary files are in a new folder.
    pub fn open(
        record: Record,
        keepers: u8,
        tolerate: usize,
        zones: &[&str],
        bounds: &str,
    ) -> Site {
        let program = Path::new("target/release/agatehill-host");
        must(
            program.exists(),
            "build the programs of the deploy file first",
        );
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("agatehill-review-3-{pid}"));
        fs::create_dir_all(&folder).expect("cannot create the temporary folder");
        let subnet = format!("127.{}.{}", 20 + pid % 200, pid / 200 % 250);
        let seeds = (1..=keepers.min(3)).map(|n| format!("{subnet}.{n}").parse().unwrap());
        Site {
            folder,
            seeds: seeds.collect(),
            subnet,
            tolerate,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            bounds: bounds.to_owned(),
            record,
        }
    }

    /// Returns the address of host `number`.
    pub fn ip(&self, number: u8) -> IpAddr {
        format!("{}.{number}", self.subnet).parse().unwrap()
    }

    /// Removes the temporary files.
    pub fn remove(&self) {
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Returns the hosts of `count` keepers, started, numbered from 1.
    pub fn start_keepers(&self, count: u8) -> Vec<Host> {
        let keeper = |number: u8| {
            let zone = self.zones[usize::from(number - 1) % self.zones.len()].clone();
            let options = HostOptions {
                name: format!("core-{zone}-{number}"),
                number,
                zone,
                service: None,
                memory_mb: 256,
            };
            let host = Host::open(self, options);
            host.start(true);
            host
        };
        (1..=count).map(keeper).collect()
    }

    /// Returns the host of a daemon, started.
    pub fn start_daemon(&self, number: u8, zone: &str, service: &str) -> Host {
        let options = HostOptions {
            name: format!("sidecar-{zone}-{number}"),
            number,
            zone: zone.to_owned(),
            service: Some(service.to_owned()),
            memory_mb: 260,
        };
        let host = Host::open(self, options);
        host.start(true);
        host
    }

    /// Sends a configuration until it is acknowledged, to each of `keepers` in turn, for 20 s at most.
    pub fn put_config(&self, keepers: &[Host], text: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        let mut last = String::new();
        while Instant::now() < end {
            for keeper in keepers {
                let sent = call(
                    keeper.control(),
                    "POST",
                    "/-/Config.Put",
                    text,
                    Duration::from_secs(3),
                );
                match sent {
                    Ok(response) if response.status == 200 => return true,
                    Ok(response) => last = format!("{} {}", response.status, response.text()),
                    Err(error) => last = error.to_string(),
                }
                sleep_ms(100);
            }
        }
        self.record
            .line(format!("configuration not acknowledged: {last}"));
        false
    }
}

impl Host {
    fn open(site: &Site, options: HostOptions) -> Host {
        Host {
            ip: site.ip(options.number),
            options,
            site: site.clone(),
            child: Arc::default(),
        }
    }

    /// Starts the process with settings written now.
    pub fn start(&self, bootstrap: bool) {
        let settings = self.write_settings(bootstrap);
        let role = match self.options.service {
            Some(_) => "daemon",
            None => "keeper",
        };
        let log = self.path("log");
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("cannot open the log");
        let child = Command::new("target/release/agatehill-host")
            .args([role, "--metrics-port", "9464"])
            .env_clear()
            .env("AGATEHILL_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("cannot start a process");
        *self.child.lock().unwrap() = Some(child);
    }

    /// Returns the path of a temporary file of this host.
    pub fn path(&self, suffix: &str) -> PathBuf {
        self.site
            .folder
            .join(format!("{}.{suffix}", self.options.name))
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }

    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OUTBOUND_PORT)
    }

    pub fn inbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, INBOUND_PORT)
    }

    pub fn app(&self) -> SocketAddr {
        SocketAddr::new(self.ip, APP_PORT)
    }

    /// Returns the status of a readiness check, 0 without a response.
    pub fn ready(&self) -> u16 {
        let addr = SocketAddr::new(self.ip, READY_PORT);
        let sent = call(addr, "GET", "/-/ready", "", Duration::from_secs(1));
        sent.map_or(0, |response| response.status)
    }

    /// Waits until the daemon is ready, for 20 s at most.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.ready() == 200 {
                return true;
            }
            sleep_ms(100);
        }
        false
    }

    /// Returns the process id, if the process was started and not ended.
    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Returns whether the process runs; notices one that has ended by itself.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        let is_running = match child.as_mut() {
            Some(process) => matches!(process.try_wait(), Ok(None)),
            None => false,
        };
        if !is_running {
            *child = None;
        }
        is_running
    }

    /// Sends `signal` to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            // SAFETY: a plain system call; the process was started here and has not been waited for.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Ends the process at once and waits for it.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the resident memory of the process, in KiB; 0 if it doesn't run.
    pub fn resident_kib(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        kib.unwrap_or(0)
    }

    fn write_settings(&self, bootstrap: bool) -> PathBuf {
        let ip = self.ip;
        let options = &self.options;
        let is_daemon = options.service.is_some();
        let (class, serves) = match is_daemon {
            true => ("sidecar", "sidecar"),
            false => ("core", "control"),
        };
        let listen = match is_daemon {
            true => format!(
                r#"{{"inbound":"{ip}:{INBOUND_PORT}","outbound":"{ip}:{OUTBOUND_PORT}","ready":"{ip}:{READY_PORT}","control":"{ip}:{CONTROL_PORT}"}}"#
            ),
            false => format!(r#"{{"control":"{ip}:{CONTROL_PORT}"}}"#),
        };
        let data_dir = self.path("data");
        let data_dir = match is_daemon {
            true => "null".to_owned(),
            false => {
                fs::create_dir_all(&data_dir).expect("cannot create a data folder");
                format!("\"{}\"", data_dir.display())
            }
        };
        let zones = self
            .site
            .zones
            .iter()
            .map(|zone| format!(r#""{zone}":"vest""#));
        let seeds = self
            .site
            .seeds
            .iter()
            .map(|ip| format!(r#""{ip}:{CONTROL_PORT}""#));
        let bounds = self
            .site
            .bounds
            .split(',')
            .map(|bound| format!("\"{bound}\""));
        let service = match &options.service {
            Some(service) => format!(r#","app":"{}","service":"{service}""#, self.app()),
            None => String::new(),
        };
        let join = |parts: Vec<String>| parts.join(",");
        let text = format!(
            r#"{{"node":"{}","role":"{class}","machineClass":"{class}","serves":["{serves}"],"ip":"{ip}","zone":"{}","region":"vest","zones":{{{}}},"listen":{listen},"portRange":[{},{}],"seeds":[{}],"bootstrap":{bootstrap},"lossCounts":{},"limits":{{"cpuShare":0.4,"cores":1,"memoryMb":{},"maxFds":4096,"linkMbps":1000.0,"diskMb":256}},"dataDir":{data_dir},"discovery":"static","entry":"static","heartbeatS":1.5,"contracts":["base","drain","config","cost","retry","recover","pressure"],"tolerate":{{"machines":{},"zones":0,"regions":0}},"bounds":[{}]{service}}}"#,
            options.name,
            options.zone,
            join(zones.collect()),
            PORT_RANGE[0],
            PORT_RANGE[1],
            join(seeds.collect()),
            !is_daemon,
            options.memory_mb,
            self.site.tolerate,
            join(bounds.collect()),
        );
        let path = self.path("settings.json");
        fs::write(&path, text).expect("cannot write the settings");
        path
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
