//! Serves a router in the background.

use salvo::{Router, Server, conn::tcp::TcpAcceptor, server::ServerHandle};

/// Serves `router` until the handle stops it.
pub(crate) fn listen(acceptor: TcpAcceptor, router: Router) -> ServerHandle {
    let server = Server::new(acceptor);
    let handle = server.handle();
    tokio::spawn(async move {
        if let Err(error) = server.try_serve(router).await {
            log::error!("fake: serving HTTP failed: {error}");
        }
    });
    handle
}
