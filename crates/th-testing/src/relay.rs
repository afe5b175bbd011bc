//! A TCP relay that can stall its open connections for good.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use eyre::Result;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinHandle,
};

/// Bytes read and written at once.
const CHUNK_BYTES: usize = 16 << 10;

/// A relay that copies bytes between the clients of its address and a target.
pub struct Relay {
    /// The address that it listens at.
    pub address: SocketAddr,
    /// Connections with a lower number are stalled.
    stalled_before: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    pub async fn start(target: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let stalled_before = Arc::new(AtomicU64::new(0));
        let opened = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(
            listener,
            target,
            Arc::clone(&stalled_before),
            Arc::clone(&opened),
        ));
        Ok(Relay { address, stalled_before, opened, task })
    }

    /// Stalls every open connection: it stays open but passes no more data. Later connections work.
    pub fn stall_connections(&self) {
        self.stalled_before.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    stalled_before: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let number = opened.fetch_add(1, Ordering::SeqCst);
        let Ok(upstream) = TcpStream::connect(target).await else {
            continue;
        };
        let (client_read, client_write) = client.into_split();
        let (upstream_read, upstream_write) = upstream.into_split();
        tokio::spawn(copy(client_read, upstream_write, number, Arc::clone(&stalled_before)));
        tokio::spawn(copy(upstream_read, client_write, number, Arc::clone(&stalled_before)));
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    stalled_before: Arc<AtomicU64>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        if number < stalled_before.load(Ordering::SeqCst) {
            // Both connections stay open, but no more data is passed on.
            std::future::pending::<()>().await;
        }
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
