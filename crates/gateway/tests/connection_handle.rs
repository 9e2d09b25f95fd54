//! How the end of a connection that its handle closes looks to the caller.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use async_net::TcpListener;
use futures_lite::AsyncWriteExt;
use keeljunction_gateway::http::ConnectionHandle;
use keeljunction_gateway::runtime;

/// Repetitions, because an end and a reset that follows it may arrive together.
const ROUNDS: usize = 20;

/// Guards against a close before the reset, which looks like the end of the response to a caller
/// without chunks that has read all of it.
#[test]
fn a_caller_that_is_disconnected_sees_a_reset_and_no_end() {
    runtime::run(1, async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.expect("a listener on a free port");
        let address = listener.local_addr().expect("an address");
        for _ in 0..ROUNDS {
            let mut caller = TcpStream::connect(address).expect("a connection");
            let (mut stream, _) = listener.accept().await.expect("the connection");
            let connection_handle = ConnectionHandle::new(&stream);
            stream.write_all(b"part").await.expect("a part of a response");
            caller.read_exact(&mut [0; 4]).expect("the part");
            connection_handle.reset();
            // The handles are still open.
            let end = caller.read(&mut [0; 1]).map_err(|error| error.kind());
            assert_eq!(end, Err(ErrorKind::ConnectionReset));
            assert!(stream.write_all(b"more").await.is_err());
            assert!(caller.write_all(b"more").is_err());
        }
    });
}
