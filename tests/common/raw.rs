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

/// What a raw backend server sends for a request, and whether it resets the connection then or closes it.
type RawAnswer = (Vec<u8>, bool);

/// A backend server that sends exactly these bytes for each request and then closes or resets the connection.
pub(crate) struct RawBackend {
    pub(crate) address: SocketAddr,
    /// Answers to the next requests, and then to all others.
    answers: Arc<Mutex<(Vec<RawAnswer>, RawAnswer)>>,
    heads: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl RawBackend {
    pub(crate) async fn start(answer: impl Into<Vec<u8>>, resets: bool) -> RawBackend {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let heads = Arc::new(Mutex::new(Vec::new()));
        let answers = Arc::new(Mutex::new((Vec::new(), (answer.into(), resets))));
        let (sent, recorded) = (Arc::clone(&answers), Arc::clone(&heads));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_raw(stream, Arc::clone(&sent), Arc::clone(&recorded)));
            }
        });
        RawBackend { address, answers, heads, task }
    }

    /// Sends other bytes for the next request.
    pub(crate) fn answer_next(&self, answer: impl Into<Vec<u8>>, resets: bool) {
        self.answers.lock().unwrap().0 = vec![(answer.into(), resets)];
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
    answers: Arc<Mutex<(Vec<RawAnswer>, RawAnswer)>>,
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
    let states_leaving = {
        let answers = answers.lock().unwrap();
        answers.1.0.windows(10).any(|it| it == b"th-leaving")
    };
    let load = r#"{"busy":0,"slots":4,"leaving":false}"#;
    let probe = if head.starts_with("get /health") {
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".to_owned()
    } else if head.starts_with("get /load") && states_leaving {
        // Without a load report, the server reports only in its answers that it is leaving.
        "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".to_owned()
    } else if head.starts_with("get /load") {
        let size = load.len();
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close";
        format!("{head}\r\ncontent-length: {size}\r\n\r\n{load}")
    } else {
        let (answer, resets) = {
            let mut answers = answers.lock().unwrap();
            answers.0.pop().unwrap_or_else(|| answers.1.clone())
        };
        let length = head.split("content-length: ").nth(1).and_then(|it| it.lines().next());
        let length: usize = length.map_or(0, |it| it.parse().unwrap());
        if resets {
            // Dropping a stream with a zero linger time resets it.
            stream.set_zero_linger().unwrap();
        } else if stream.read_exact(&mut vec![0; length]).await.is_err() {
            // Closing with unread bytes would reset the connection.
            return;
        }
        heads.lock().unwrap().push(head);
        let _ = stream.write_all(&answer).await;
        return;
    };
    let _ = stream.write_all(probe.as_bytes()).await;
}
