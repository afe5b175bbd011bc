//! A backend server that answers with raw bytes that the test sets.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use th_protocol::Millis;
use th_testing::Deployment;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// A backend server that sends exactly these bytes for each request and then closes or resets the connection.
pub(crate) struct RawBackend {
    pub(crate) address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl RawBackend {
    pub(crate) async fn start(answer: impl Into<Vec<u8>>, resets: bool) -> RawBackend {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let heads = Arc::new(Mutex::new(Vec::new()));
        let (answer, recorded) = (answer.into(), Arc::clone(&heads));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_raw(stream, answer.clone(), resets, Arc::clone(&recorded)));
            }
        });
        RawBackend { address, heads, task }
    }

    /// Returns the heads of the received requests, except probes.
    pub(crate) fn heads(&self) -> Vec<String> {
        self.heads.lock().unwrap().clone()
    }

    /// Replaces the address of the deployment's only backend server by that of this one.
    pub(crate) async fn replace_backend(&self, deployment: &mut Deployment) {
        let address = self.address;
        let change = |bundle: &mut th_protocol::Bundle| {
            for service in bundle.services.values_mut() {
                for backend in service.backends.values_mut() {
                    backend.address = address;
                }
            }
        };
        deployment.change_bundle(change).await.unwrap();
        deployment.wait_in_force(deployment.bundle.version, Millis(20_000)).await.unwrap();
    }
}

impl Drop for RawBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_raw(
    mut stream: TcpStream,
    answer: Vec<u8>,
    resets: bool,
    heads: Arc<Mutex<Vec<String>>>,
) {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else {
            return;
        };
        received.push(byte);
    }
    let head = String::from_utf8_lossy(&received).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|it| it.lines().next());
    let length: usize = length.map_or(0, |it| it.parse().unwrap());
    // Closing with unread bytes resets the connection.
    if !resets && stream.read_exact(&mut vec![0; length]).await.is_err() {
        return;
    }
    let load = r#"{"busy":0,"slots":4,"leaving":false}"#;
    let probe = if head.starts_with("get /health") {
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".to_owned()
    } else if head.starts_with("get /load") && answer.windows(10).any(|it| it == b"th-leaving") {
        // Without a load report, the server reports only in its answers that it is leaving.
        "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".to_owned()
    } else if head.starts_with("get /load") {
        let size = load.len();
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close";
        format!("{head}\r\ncontent-length: {size}\r\n\r\n{load}")
    } else {
        heads.lock().unwrap().push(head);
        let _ = stream.write_all(&answer).await;
        return;
    };
    let _ = stream.write_all(probe.as_bytes()).await;
}
