//! A small deployment on loopback: real entry processes with a fake platform and fake backend servers.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use eyre::{Result, bail, eyre};
use th_entry::{Keys, Limits, Listen, Logs, Pace, Running, Settings, Stop, Stopped, start_with};
use th_operator::{Outcome, RollSettings, roll};
use th_platform::Platform;
use th_protocol::{
    BackendId, Bundle, Millis, Signer, Time, Version, VmId, VmRecord, VmRole, VmState, ZoneId,
};
use th_steer::{engine::EngineSettings, route};
use tokio::time::{Duration, sleep, timeout};

use super::DeploymentSpec;
use crate::{BackendSettings, Behaviour, FakeBackend, FakePlatform, Relay, RunLog};

/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment.
pub struct Deployment {
    /// The platform's service.
    pub platform: FakePlatform,
    /// The runs of requests at all backend servers.
    pub run_log: RunLog,
    /// The backend servers.
    pub backends: BTreeMap<BackendId, FakeBackend>,
    /// A relay in front of each backend server.
    pub relays: BTreeMap<BackendId, Relay>,
    /// The entry processes.
    pub entries: BTreeMap<VmId, Running>,
    /// The bundle that was rolled last.
    pub bundle: Bundle,
    spec: DeploymentSpec,
    signer: Signer,
}

impl Deployment {
    /// Starts the fakes, rolls the first bundle, starts the entry processes and waits until each has the bundle in force.
    pub async fn start(spec: DeploymentSpec) -> Result<Deployment> {
        let run_log = RunLog::default();
        let (mut backends, mut relays, mut addresses) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        for zone in &spec.zones {
            for i in 0..zone.backends {
                let id: BackendId = format!("{}-backend-{i}", zone.name).parse()?;
                let backend = start_backend(&id, &spec, &run_log).await?;
                let relay = Relay::start(backend.address).await?;
                addresses.insert(id.clone(), (zone.name.parse::<ZoneId>()?, relay.address));
                backends.insert(id.clone(), backend);
                relays.insert(id, relay);
            }
        }
        let signer = Signer::new("ana".parse()?, [7; 32]);
        let mut bundle = spec.bundle(&addresses);
        bundle.operators.insert("ana".parse()?, signer.public_key_hex());
        let mut deployment = Deployment {
            platform: FakePlatform::default(),
            run_log,
            backends,
            relays,
            entries: BTreeMap::new(),
            bundle,
            spec,
            signer,
        };
        deployment.roll().await?;
        for zone in deployment.spec.zones.clone() {
            for i in 0..zone.entries {
                let vm: VmId = format!("{}-entry-{i}", zone.name).parse()?;
                deployment.start_entry(vm, zone.name.parse()?).await?;
            }
        }
        deployment.wait_in_force(deployment.bundle.version, Millis(20_000)).await?;
        Ok(deployment)
    }

    /// Starts one entry process and adds its VM to the platform's list.
    pub async fn start_entry(&mut self, vm: VmId, zone: ZoneId) -> Result<()> {
        let settings = self.settings(&vm, &zone);
        let store: Arc<dyn Platform> = Arc::new(self.platform.clone());
        let ttl = self.spec.ttl;
        let engine_settings = EngineSettings {
            route: route::Settings { ttl, shift_ttl: ttl, ..route::Settings::default() },
            ..EngineSettings::default()
        };
        let running = start_with(settings, engine_settings, store).await?;
        self.list_entry(&vm, &zone, running.peers(), VmState::Live);
        self.entries.insert(vm, running);
        Ok(())
    }

    fn list_entry(&self, vm: &VmId, zone: &ZoneId, address: SocketAddr, state: VmState) {
        let (vm, zone) = (vm.clone(), zone.clone());
        self.platform.list_vm(VmRecord { vm, zone, address, state, role: VmRole::Entry });
    }

    fn settings(&self, vm: &VmId, zone: &ZoneId) -> Settings {
        let operators = BTreeMap::from([(
            "ana".parse().expect("\"ana\" is a valid id"),
            self.signer.public_key_hex(),
        )]);
        Settings {
            vm: vm.clone(),
            zone: zone.clone(),
            listen: Listen::default(),
            peers: self.entries.values().map(Running::peers).collect(),
            store: None,
            keys: Keys {
                peer: "entry VMs of a test".to_owned(),
                tickets: vec![[9; 32]],
                operators,
            },
            limits: Limits::default(),
            stop: Stop { linger: self.spec.linger, limit: Millis(20_000) },
            pace: Pace { list: Millis(1_000), ..Pace::default() },
            logs: Logs::default(),
        }
    }

    /// Signs the current bundle and rolls it.
    pub async fn roll(&self) -> Result<()> {
        let store: Arc<dyn Platform> = Arc::new(self.platform.clone());
        let signed = self.signer.sign_bundle(&self.bundle, None);
        match roll(&store, &signed, RollSettings::default()).await {
            Outcome::Rolled { .. } | Outcome::AlreadyRolled { .. } => Ok(()),
            other => bail!("rolling version {} failed: {other:?}", self.bundle.version),
        }
    }

    /// Changes the bundle, raises its version and rolls it.
    pub async fn change_bundle(&mut self, change: impl FnOnce(&mut Bundle)) -> Result<()> {
        change(&mut self.bundle);
        self.bundle.version = self.bundle.version.plus(Version(1));
        self.roll().await
    }

    /// Waits until each entry process has `version`, or a later one, in force.
    pub async fn wait_in_force(&self, version: Version, within: Millis) -> Result<()> {
        let in_force = async {
            loop {
                let behind = |it: &Running| it.status().version.is_none_or(|it| it < version);
                if !self.entries.values().any(behind) {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
        };
        let limit = Duration::from_millis(within.0);
        timeout(limit, in_force)
            .await
            .map_err(|_| eyre!("version {version} is not in force everywhere"))
    }

    /// Stops an entry process as planned.
    pub async fn stop_entry(&mut self, vm: &VmId) -> Result<Stopped> {
        let running = self.entries.remove(vm).ok_or_else(|| eyre!("no entry VM {vm}"))?;
        let stopped = running.stop().await;
        self.platform.unlist_vm(vm);
        Ok(stopped)
    }

    /// Kills an entry process as if its VM were lost. The platform's list still contains the VM.
    pub fn kill_entry(&mut self, vm: &VmId) -> Result<()> {
        let running = self.entries.remove(vm).ok_or_else(|| eyre!("no entry VM {vm}"))?;
        running.kill();
        Ok(())
    }

    /// Returns the addresses at which the entry processes serve callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.values().map(Running::callers).collect()
    }

    /// Returns the time on the clock of the run log.
    pub fn now(&self) -> Time {
        th_platform::Clock::now(&th_platform::BootClock)
    }
}

async fn start_backend(
    id: &BackendId,
    spec: &DeploymentSpec,
    run_log: &RunLog,
) -> Result<FakeBackend> {
    FakeBackend::start(BackendSettings {
        name: id.to_string(),
        slots: spec.slots,
        behaviour: Behaviour { service_time: spec.service_time, ..Behaviour::default() },
        run_log: run_log.clone(),
        ..BackendSettings::default()
    })
    .await
}
