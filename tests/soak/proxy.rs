//! A loopback proxy that injects network faults into its connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// A network fault that a proxy injects. Failing runs print the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NetworkFault {
    /// No fault.
    None,
    /// Each piece of data is delayed.
    Delay(Duration),
    /// No data passes towards the callee.
    DeafThere,
    /// No data passes back to the caller.
    DeafBack,
    /// No data passes in either direction, also on new connections.
    Silent,
}

/// A running proxy in front of one callee.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    fault: watch::Sender<NetworkFault>,
    /// Counts the resets; each connection ends at the next one.
    reset: watch::Sender<u32>,
}

impl Proxy {
    pub(crate) async fn start(callee: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (fault, reset) = (watch::Sender::new(NetworkFault::None), watch::Sender::new(0));
        let proxy = Proxy { address, fault, reset };
        let served = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().pass(stream, callee));
            }
        });
        proxy
    }

    pub(crate) fn set_fault(&self, fault: NetworkFault) {
        self.fault.send_replace(fault);
    }

    /// Resets all connections.
    pub(crate) fn reset_all(&self) {
        self.reset.send_modify(|it| *it += 1);
    }

    async fn pass(self, caller: TcpStream, callee: SocketAddr) {
        let mut reset = self.reset.subscribe();
        let Ok(stream) = TcpStream::connect(callee).await else {
            return;
        };
        // Dropping a stream with a zero linger time resets it.
        for it in [&caller, &stream] {
            it.set_nodelay(true).unwrap();
            it.set_zero_linger().unwrap();
        }
        let ((caller_in, caller_out), (callee_in, callee_out)) =
            (caller.into_split(), stream.into_split());
        let there = copy(caller_in, callee_out, self.fault.subscribe(), NetworkFault::DeafThere);
        let back = copy(callee_in, caller_out, self.fault.subscribe(), NetworkFault::DeafBack);
        tokio::select! {
            _ = async { tokio::join!(there, back) } => {}
            _ = reset.changed() => {}
        }
    }
}

/// Copies data until the sender closes its side, then closes the other side.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<NetworkFault>,
    blocked_by: NetworkFault,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let is_blocked = |it: &NetworkFault| *it == blocked_by || *it == NetworkFault::Silent;
        // Delayed data is delivered when the fault ends.
        if fault.wait_for(|it| !is_blocked(it)).await.is_err() {
            return;
        }
        let now = *fault.borrow();
        if let NetworkFault::Delay(span) = now {
            sleep(span).await;
        }
        if count == 0 {
            // The other side may have closed already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
