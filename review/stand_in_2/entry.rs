//! Processes of the system, started as `deploy/system.toml` says, with settings as the template makes them.

use std::{
    fs::{self, File, OpenOptions},
    io::Write,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, call, free},
    store::Store,
};

/// The `run` line of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/tanagerhollow";
const SWITCH: &str = "--platform";

/// A running process of the system; killed on drop.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Entry {
    pub fn start(name: &str, zone: &str, store: &Store, folder: &Path) -> Entry {
        let [callers, ready, lookups, metrics, peers] = [(); 5].map(|()| free());
        let settings = format!(
            r#"{{"vm":"{name}","zone":"{zone}",
"zones":{{"oslo-a":"oslo","bergen-a":"bergen","tromso-a":"tromso","oslo-b":"oslo","bergen-b":"bergen","tromso-b":"tromso"}},
"callers":"{callers}","ready":"{ready}","lookups":"{lookups}","metrics":"{metrics}","peers":"{peers}",
"link":1000.0,"memory":260,"store":"{}","grace":6,"lookup_life":5,"retry_share":0.2,"retry_slack":64,"retry_window":10,
"cold_multiplier":1.5,"cold_slack":5,"region_shift":0.15,"quota_window":null,"quota_overage":null,"quota_slack":null,
"config_limit":2500,"drain_limit":2500,"revocation_limit":null}}"#,
            store.address
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the temporary folder");
        let log = File::create(folder.join(format!("{name}.log"))).expect("the temporary folder");
        let errors = log.try_clone().expect("a file");
        let child = Command::new(PROGRAM)
            .arg(SWITCH)
            .env("TANAGERHOLLOW_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file");
        let ids = OpenOptions::new().create(true).append(true).open(folder.join("ids"));
        writeln!(ids.expect("the temporary folder"), "{}", child.id()).expect("the folder");
        Entry { name: name.to_owned(), callers, ready, child }
    }

    /// Waits until it says that it is ready; false after ten seconds.
    pub fn wait_until_ready(&self) -> bool {
        let request = Message {
            first: ["GET", "/-/readiness", "HTTP/1.1"].map(str::to_owned).to_vec(),
            ..Message::default()
        };
        let request = request.with("Host", "ready").with("Connection", "close");
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            let answer = call(self.ready, &request, Duration::from_secs(1));
            if answer.is_ok_and(|it| it.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}
