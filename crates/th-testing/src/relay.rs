//! A TCP relay whose open connections can go silent for good.

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

/// Bytes that are passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Passes bytes between callers of its address and a target.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections opened before this number are silent.
    silent: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Relay {
    /// A relay to `target` on a free port.
    pub async fn start(target: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let silent = Arc::new(AtomicU64::new(0));
        let opened = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&silent), Arc::clone(&opened)));
        Ok(Relay { address, silent, opened, task })
    }

    /// Silences every connection that is open now; later ones work.
    pub fn stall_connections(&self) {
        self.silent.store(self.opened.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Connections opened so far.
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
    silent: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let number = opened.fetch_add(1, Ordering::SeqCst);
        let Ok(far) = TcpStream::connect(target).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(pass(near_read, far_write, number, Arc::clone(&silent)));
        tokio::spawn(pass(far_read, near_write, number, Arc::clone(&silent)));
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    silent: Arc<AtomicU64>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk).await {
        if number < silent.load(Ordering::SeqCst) {
            // Both ends stay open and hear nothing more.
            std::future::pending::<()>().await;
        }
        if length == 0 || to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
