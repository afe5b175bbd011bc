//! The fake service over HTTP.

use std::net::SocketAddr;

use eyre::{Result, eyre};
use salvo::{conn::tcp::TcpAcceptor, http::StatusCode, prelude::*, server::ServerHandle};
use th_platform::{
    CasAnswer, CasRequest, KeepAliveAnswer, Key, LeaseId, LeaseRequest, Platform, PlatformError,
    WriteOutcome,
};
use th_protocol::{Millis, Revision};
use tokio::net::TcpListener;

use super::FakePlatform;
use crate::listen::listen;

/// A running server of a fake platform.
pub struct PlatformServer {
    /// Where it listens.
    pub address: SocketAddr,
    handle: ServerHandle,
}

impl PlatformServer {
    /// Serves `platform` at `address`; port 0 takes any free port.
    pub async fn start(platform: FakePlatform, address: SocketAddr) -> Result<PlatformServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let handle = listen(acceptor, router(platform));
        Ok(PlatformServer { address, handle })
    }

    /// The URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops it at once.
    pub fn stop(&self) {
        self.handle.stop_forcible();
    }
}

fn router(platform: FakePlatform) -> Router {
    Router::with_hoop(affix_state::inject(platform))
        .push(Router::with_path("v1/read/{**key}").get(read))
        .push(Router::with_path("v1/cas").post(cas))
        .push(Router::with_path("v1/lease").post(take_lease))
        .push(Router::with_path("v1/keep-alive/{lease}").post(keep_alive))
        .push(Router::with_path("v1/watch").get(watch))
        .push(Router::with_path("v1/vms").get(vms))
}

fn platform(depot: &Depot) -> Result<&FakePlatform> {
    depot
        .obtain::<FakePlatform>()
        .map_err(|_| eyre!("the request carries no platform, which the router injects"))
}

fn answer<T: serde::Serialize + Send>(res: &mut Response, value: Result<T, PlatformError>) {
    match value {
        Ok(value) => res.render(Json(value)),
        Err(_) => {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

#[handler]
async fn read(req: &mut Request, depot: &mut Depot, res: &mut Response) -> Result<()> {
    let key = Key::new(req.param::<String>("key").unwrap_or_default());
    answer(res, platform(depot)?.read(&key).await);
    Ok(())
}

#[handler]
async fn cas(req: &mut Request, depot: &mut Depot, res: &mut Response) -> Result<()> {
    let body: CasRequest = req.parse_json_with_max_size(4 << 20).await?;
    let write = platform(depot)?.cas(&body.key, body.expected, body.value, body.lease).await;
    let value = match write {
        WriteOutcome::Applied(revision) => Ok(CasAnswer::Applied(revision)),
        WriteOutcome::Refused(entry) => Ok(CasAnswer::Refused(entry)),
        WriteOutcome::Unknown(error) => Err(error),
    };
    answer(res, value);
    Ok(())
}

#[handler]
async fn take_lease(req: &mut Request, depot: &mut Depot, res: &mut Response) -> Result<()> {
    let body: LeaseRequest = req.parse_json().await?;
    let value = match platform(depot)?.lease(body.ttl).await {
        WriteOutcome::Applied(lease) => Ok(lease),
        WriteOutcome::Refused(_) => return Err(eyre!("a lease is never refused")),
        WriteOutcome::Unknown(error) => Err(error),
    };
    answer(res, value);
    Ok(())
}

#[handler]
async fn keep_alive(req: &mut Request, depot: &mut Depot, res: &mut Response) -> Result<()> {
    let lease = LeaseId(req.param("lease").ok_or_else(|| eyre!("no lease id"))?);
    let value = match platform(depot)?.keep_alive(lease).await {
        WriteOutcome::Applied(()) => Ok(KeepAliveAnswer::Kept),
        WriteOutcome::Refused(_) => Ok(KeepAliveAnswer::Lapsed),
        WriteOutcome::Unknown(error) => Err(error),
    };
    answer(res, value);
    Ok(())
}

#[handler]
async fn watch(req: &mut Request, depot: &mut Depot, res: &mut Response) -> Result<()> {
    let prefix: String = req.query("prefix").unwrap_or_default();
    let after = Revision(req.query("after").unwrap_or_default());
    let wait = Millis(req.query("wait").unwrap_or_default());
    answer(res, platform(depot)?.watch(&prefix, after, wait).await);
    Ok(())
}

#[handler]
async fn vms(depot: &mut Depot, res: &mut Response) -> Result<()> {
    answer(res, platform(depot)?.vms().await);
    Ok(())
}
