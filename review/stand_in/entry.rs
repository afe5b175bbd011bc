//! The program itself, as a process: its settings, its start and its signals.

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions},
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, json::quote, record::Record};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    safe fn kill(process: i32, signal: i32) -> i32;
}

/// A port that is free now.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// The settings of a process, as the platform makes them from `deploy/settings.json`.
#[derive(Clone)]
pub struct Settings {
    pub vm: String,
    pub zone: String,
    pub store: SocketAddr,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub lookups: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    pub grace_s: f64,
}

impl Settings {
    pub fn new(vm: &str, zone: &str, store: SocketAddr) -> Settings {
        let [callers, ready, lookups, metrics, peers] = [(); 5].map(|()| free_address());
        let (vm, zone) = (vm.to_owned(), zone.to_owned());
        Settings { vm, zone, store, callers, ready, lookups, metrics, peers, grace_s: 6.0 }
    }

    fn text(&self, zones: &BTreeMap<&str, &str>) -> String {
        let zones: Vec<String> = zones
            .iter()
            .map(|(zone, region)| format!("{}:{}", quote(zone), quote(region)))
            .collect();
        format!(
            "{{\"vm\":{},\"zone\":{},\"zones\":{{{}}},\"callers\":\"{}\",\"ready\":\"{}\",\"lookups\":\"{}\",\"metrics\":\"{}\",\"peers\":\"{}\",\"link\":1000.0,\"memory\":260,\"store\":\"{}\",\"grace\":{},\"lookup_life\":5,\"retry_share\":0.2,\"retry_slack\":58,\"retry_window\":10,\"cold_multiplier\":1.5,\"cold_slack\":5,\"region_shift\":0.15,\"quota_window\":null,\"quota_overage\":null,\"quota_slack\":null,\"config_limit\":2500,\"drain_limit\":2500,\"revocation_limit\":null}}\n",
            quote(&self.vm),
            quote(&self.zone),
            zones.join(","),
            self.callers,
            self.ready,
            self.lookups,
            self.metrics,
            self.peers,
            self.store,
            self.grace_s
        )
    }

    /// Writes the settings file at once, as a whole.
    pub fn write(&self, folder: &Path, zones: &BTreeMap<&str, &str>) -> PathBuf {
        let path = folder.join(format!("{}.json", self.vm));
        let draft = folder.join(format!("{}.draft", self.vm));
        fs::write(&draft, self.text(zones)).expect("a writable folder");
        fs::rename(&draft, &path).expect("a writable folder");
        path
    }
}

/// A running process; killed on drop.
pub struct Entry {
    pub settings: Settings,
    child: Child,
}

impl Entry {
    /// Starts the process with the command of `deploy/system.toml`. Its log goes into the folder.
    pub fn start(settings: &Settings, folder: &Path, zones: &BTreeMap<&str, &str>) -> Entry {
        let path = settings.write(folder, zones);
        let log = File::create(folder.join(format!("{}.log", settings.vm))).expect("a log file");
        let child = Command::new("target/release/tanagerhollow")
            .arg("--platform")
            .env("TANAGERHOLLOW_SETTINGS", path)
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file");
        // The script ends what is left by these ids.
        let ids = OpenOptions::new().create(true).append(true).open(folder.join("ids"));
        writeln!(ids.expect("a writable folder"), "{}", child.id()).expect("a writable folder");
        Entry { settings: settings.clone(), child }
    }

    /// Starts a process and waits until it is ready. The ports that were free may be taken by another program meanwhile, so
    /// it is started again with others if it ends.
    pub fn start_ready(
        settings: &Settings,
        folder: &Path,
        zones: &BTreeMap<&str, &str>,
        record: &Record,
    ) -> Option<Entry> {
        for _ in 0..3 {
            let ports = Settings::new(&settings.vm, &settings.zone, settings.store);
            let mut entry =
                Entry::start(&Settings { grace_s: settings.grace_s, ..ports }, folder, zones);
            let until = Instant::now() + Duration::from_secs(15);
            while Instant::now() < until && entry.wait(Duration::ZERO).is_none() {
                if entry.is_ready() {
                    return Some(entry);
                }
                thread::sleep(Duration::from_millis(50));
            }
            let log = fs::read_to_string(folder.join(format!("{}.log", settings.vm)));
            let last = log.unwrap_or_default().lines().last().unwrap_or_default().to_owned();
            record.add(format!("{} did not become ready; its log ends: {last}", settings.vm));
        }
        None
    }

    pub fn signal(&self, signal: i32) {
        kill(self.child.id() as i32, signal);
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if until <= Instant::now() {
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.settings.ready, Duration::from_secs(1))
        else {
            return false;
        };
        let head = "GET /-/readiness HTTP/1.1\r\nhost: platform\r\n\r\n";
        connection.write(head.as_bytes()).is_ok()
            && connection.read().is_ok_and(|it| it.status() == 200)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        self.child.wait().ok();
    }
}
