//! A connection that is reset while its request is still being written never looks like the end of a
//! response.
//!
//! The system reports the error of a socket once, to the call that comes first. If a write takes it,
//! the next read finds the end of the connection, which also ends a response without a length or
//! chunks.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_lite::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use keeljunction_gateway::http::{Body, Client, Socket, drive};
use keeljunction_gateway::runtime::{self, lock};
use rustix::net::sockopt;

/// The head of a response whose end only the end of its connection declares, and part of its body.
const START: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\n\nid: 2\n";
/// The size of an uploaded chunk in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// The number of chunks of an upload, more than the buffers of both sockets hold.
const CHUNKS: usize = 1_024;
/// The number of exchanges of each kind.
const RUNS: usize = 60;
const TIMEOUT: Duration = Duration::from_secs(10);

/// How a server ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It resets the connection at once.
    Reset,
    /// It closes the connection with request data unread, which resets it as well.
    Unread,
    /// It closes its sending side, which is the end of a response of this kind.
    Closed,
}

/// What a server does between the start of its response and its end.
#[derive(Clone, Copy, Debug)]
enum Pause {
    None,
    /// It reads some of the request.
    Reading,
    /// It reads nothing for some milliseconds, so that the client's writes are blocked.
    Idle(u64),
}

/// How a response ended at the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    Broken,
}

/// Starts a server that ends each of its connections like this.
fn serve(end: End, pause: Pause) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Only the client's view counts.
            let _ = answer(stream, end, pause);
        }
    });
    address
}

fn answer(mut stream: TcpStream, end: End, pause: Pause) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let _ = stream.read(&mut buffer)?;
    stream.write_all(START)?;
    match pause {
        Pause::None => {}
        Pause::Reading => {
            for _ in 0..fastrand::usize(1..40) {
                let _ = stream.read(&mut buffer)?;
            }
        }
        Pause::Idle(most) => thread::sleep(Duration::from_micros(fastrand::u64(..most * 1_000))),
    }
    match end {
        End::Reset => sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?,
        // Without unread data, the system would close the connection in order.
        End::Unread => {
            let _ = stream.peek(&mut buffer)?;
        }
        End::Closed => {
            stream.shutdown(Shutdown::Write)?;
            while stream.read(&mut buffer)? > 0 {}
        }
    }
    Ok(())
}

/// Returns a long upload whose chunks come one by one, with pauses or without.
fn make_upload(has_length: bool, is_paced: bool) -> Body {
    let chunks = stream::iter(0..CHUNKS).then(move |_| async move {
        if is_paced {
            runtime::sleep(Duration::from_micros(fastrand::u64(..300))).await;
        }
        Ok(Bytes::from(vec![b'x'; CHUNK_BYTES]))
    });
    Body::from_stream(chunks, has_length.then_some((CHUNKS * CHUNK_BYTES) as u64))
}

async fn exchange(to: SocketAddr, body: Body) -> Outcome {
    let client = Client::new(TIMEOUT);
    let request = Request::post("/").header("host", "x").body(body).expect("a request");
    match client.send(to, request).await {
        Ok(response) => read(response).await,
        Err(_) => Outcome::Broken,
    }
}

async fn read(response: Response<impl HttpBody + Unpin>) -> Outcome {
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return Outcome::Broken;
        }
    }
    Outcome::Complete
}

/// Counts the responses that looked complete, over uploads of all kinds.
fn count_complete(end: End, pause: Pause) -> usize {
    let to = serve(end, pause);
    runtime::run(2, async move {
        let mut complete = 0;
        for run in 0..RUNS {
            let upload = make_upload(run % 2 == 0, run % 4 < 2);
            let outcome = runtime::timeout(TIMEOUT, exchange(to, upload)).await;
            complete += usize::from(outcome.expect("an end in time") == Outcome::Complete);
        }
        complete
    })
}

#[test]
fn a_response_whose_connection_is_reset_during_the_upload_is_never_complete() {
    for end in [End::Reset, End::Unread] {
        for pause in [Pause::None, Pause::Reading, Pause::Idle(2), Pause::Idle(20)] {
            assert_eq!(count_complete(end, pause), 0, "{end:?} after {pause:?}");
        }
    }
}

/// Shows that the test above distinguishes both ends.
#[test]
fn a_response_whose_connection_is_closed_is_complete_for_the_client() {
    assert_eq!(count_complete(End::Closed, Pause::None), RUNS);
}

/// A socket whose error is taken by a write: reads then find the end of the connection.
#[derive(Clone, Default)]
struct Broken(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    written: usize,
    is_start_read: bool,
    is_broken: bool,
    error: Option<io::ErrorKind>,
    reader: Option<Waker>,
}

/// The bytes that a socket accepts before its error.
const MAX_WRITTEN: usize = 4 * CHUNK_BYTES;

impl AsyncRead for Broken {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.0);
        if !state.is_start_read && state.written > 0 {
            state.is_start_read = true;
            buffer[..START.len()].copy_from_slice(START);
            return Poll::Ready(Ok(START.len()));
        }
        if state.is_broken {
            return Poll::Ready(Ok(0));
        }
        state.reader = Some(context.waker().clone());
        Poll::Pending
    }
}

impl AsyncWrite for Broken {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.0);
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
        if state.written >= MAX_WRITTEN && state.is_start_read {
            state.is_broken = true;
            return Poll::Ready(Err(state.error.unwrap_or(io::ErrorKind::BrokenPipe).into()));
        }
        state.written += bytes.len();
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a write that takes the error of the socket: the library must not read on, and find
/// the end.
#[test]
fn an_error_that_a_write_takes_breaks_the_response() {
    // A reset, unacknowledged data or keepalive probes, and a socket whose error was taken before.
    for error in
        [io::ErrorKind::ConnectionReset, io::ErrorKind::TimedOut, io::ErrorKind::BrokenPipe]
    {
        for has_length in [true, false] {
            let socket = Broken::default();
            lock(&socket.0).error = Some(error);
            let known = socket.clone();
            let outcome = runtime::run(1, async move {
                let socket = Socket::new(socket);
                let turn = socket.get_turn();
                let handshake = http1::handshake(socket).await;
                let (mut sender, connection) = handshake.expect("a connection");
                runtime::spawn(async move {
                    let _ = drive(pin!(connection), &turn).await;
                });
                let upload = make_upload(has_length, true);
                let request = Request::post("/").header("host", "x").body(upload);
                let sending = sender.send_request(request.expect("a request"));
                let response = runtime::timeout(TIMEOUT, sending).await.expect("a head in time");
                let reading = read(response.expect("a response"));
                runtime::timeout(TIMEOUT, reading).await.expect("an end in time")
            });
            assert!(lock(&known.0).is_broken);
            assert_eq!(outcome, Outcome::Broken, "{error:?}");
        }
    }
}
