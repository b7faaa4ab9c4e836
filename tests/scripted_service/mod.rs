//! An HTTP service whose answers a test scripts.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// Serves on a free port, on the current `LocalSet`; `answer` returns the status and the body for each request.
pub async fn serve<Answer, Answering>(answer: Answer) -> SocketAddr
where
    Answer: Fn(Request<Incoming>) -> Answering + Clone + 'static,
    Answering: Future<Output = (u16, Value)> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            spawn_local(async move {
                let service = service_fn(move |request| {
                    let answer = answer.clone();
                    async move {
                        let (status, body) = answer(request).await;
                        let body = Full::new(Bytes::from(body.to_string()));
                        let response = Response::builder().status(status).body(body).expect("an answer");
                        Ok::<_, Infallible>(response)
                    }
                });
                let server = hyper::server::conn::http1::Builder::new();
                let _ = server.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    address
}
