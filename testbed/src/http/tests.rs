//! Tests of `http`.

use super::*;

#[tokio::test]
async fn messages_in_chunks_and_pipelined_are_read_completely_and_malformed_ones_are_errors() {
    let (mut peer, stream) = tokio::io::duplex(1 << 16);
    let mut conn = Conn::new(stream);
    let two = [answer(200, "OK", "X-A: 1\r\n", b"one"), answer(503, "No", "", b"")].concat();
    for chunk in two.chunks(7) {
        peer.write_all(chunk).await.expect("written");
    }
    let (one, other) = (conn.read().await.expect("one"), conn.read().await.expect("another"));
    assert_eq!((one.status(), one.header("x-a"), one.body.as_slice()), (200, Some("1"), &b"one"[..]));
    assert_eq!((other.status(), conn.is_clean()), (503, true));
    peer.write_all(b"nonsense\r\n\r\n").await.expect("written");
    assert_eq!(conn.read().await.unwrap_err(), ReadError::Malformed);
    let mut conn = Conn::new(tokio::io::duplex(16).0);
    assert_eq!(conn.read().await.unwrap_err(), ReadError::Closed);
    // The same bytes, read by the blocking function.
    let mut reader = two.as_slice();
    let one = read(&mut reader).expect("one");
    assert_eq!((one.status(), one.header("x-a"), one.body.as_slice()), (200, Some("1"), &b"one"[..]));
    assert_eq!(read(&mut reader).expect("another").status(), 503);
    assert_eq!(read(&mut reader).unwrap_err(), ReadError::Closed);
    assert_eq!(read(&mut &b"nonsense\r\n\r\n"[..]).unwrap_err(), ReadError::Malformed);
}
