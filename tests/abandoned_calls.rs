//! Calls to the list service that are given up: none of them may hold a connection for longer.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use linkhatch_proxy::http_client::{CallError, HttpClient};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How long a call waits for its reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);
/// The connection of a call that was given up must be closed within this time.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against descriptors that stay in use behind a call that was given up before its reply was complete.
#[tokio::test]
async fn a_call_that_is_given_up_closes_its_connection() {
    for reply in [
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = HttpClient::new(listener.local_addr().unwrap());
        let request = Request::get("/").header("host", "list").body(Full::new(Bytes::new())).unwrap();
        let call = tokio::spawn(async move { (client.call(request, CALL_TIMEOUT).await, client) });
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 1024];
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        stream.write_all(reply.as_bytes()).await.unwrap();
        let (result, _client) = call.await.unwrap();
        assert!(matches!(result, Err(CallError::Timeout)), "{reply:?}: {result:?}");
        let end = tokio::time::timeout(CLOSE_TIMEOUT, stream.read(&mut buffer)).await;
        let end = end.unwrap_or_else(|_| panic!("{reply:?}: the connection stays open"));
        assert!(matches!(end, Ok(0) | Err(_)), "{reply:?}: {end:?}");
    }
}
