//! A connection continues after every blocked write.
//!
//! A client that had been idle for 5 s read the first megabytes of a response and then received
//! nothing more; after 10,010 ms it was disconnected for not reading. All 11,000,000 bytes of the
//! response had arrived from the server after 104 ms, and 3,672,273 bytes were still held. The send
//! queue of the client's socket was empty, but the process waited only for the socket to become
//! readable: EPOLLOUT was missing from its events (`/proc/PID/fdinfo`, 4000001b).
//!
//! The HTTP library flushes once more after a blocked write. If the socket becomes writable just
//! then, the flush succeeds and drops the waker, although more of the body is left to write.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake, Waker};

use bytes::Bytes;
use futures_lite::io::{AsyncRead, AsyncWrite};
use futures_lite::stream;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use keeljunction_gateway::http::{Socket, drive};

/// The number of chunks of the response, each larger than the library's buffers.
const CHUNKS: usize = 40;
/// The size of a chunk in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// The maximum number of polls; the response makes no progress after them.
const MAX_POLLS: usize = 10_000;

/// A socket that accepts a few chunks per turn, and becomes writable after a number of blocked
/// writes.
#[derive(Default)]
struct Peer {
    request: &'static [u8],
    /// Bytes accepted before the next write is blocked.
    room: usize,
    written: usize,
    /// The waker to call once there is room; a write that succeeds first drops it.
    writer: Option<Waker>,
    /// The number of consecutive blocked writes before there is room.
    blocked_in_a_row: usize,
    blocked: usize,
}

#[derive(Clone)]
struct SharedPeer(Rc<RefCell<Peer>>);

impl AsyncRead for SharedPeer {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut peer = self.0.borrow_mut();
        if peer.request.is_empty() {
            return Poll::Pending;
        }
        let length = peer.request.len();
        buffer[..length].copy_from_slice(peer.request);
        peer.request = &[];
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for SharedPeer {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut peer = self.0.borrow_mut();
        if peer.room == 0 {
            peer.writer = Some(context.waker().clone());
            peer.blocked += 1;
            if peer.blocked >= peer.blocked_in_a_row {
                peer.blocked = 0;
                peer.room = 3 * CHUNK_BYTES;
            }
            return Poll::Pending;
        }
        let taken = bytes.len().min(peer.room);
        peer.room -= taken;
        peer.written += taken;
        peer.writer = None;
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.borrow_mut().writer = None;
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Responds to one request over a socket that blocks `blocked_in_a_row` consecutive writes; returns
/// the number of bytes written once nothing wakes the connection any more.
fn serve_response(blocked_in_a_row: usize) -> usize {
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let peer = Peer { request, room: CHUNK_BYTES, blocked_in_a_row, ..Peer::default() };
    let shared = SharedPeer(Rc::new(RefCell::new(peer)));
    let socket = Socket::new(shared.clone());
    let turn = socket.get_turn();
    let service = service_fn(|_: Request<_>| async {
        let chunk = || Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; CHUNK_BYTES])));
        let body = StreamBody::new(stream::iter((0..CHUNKS).map(move |_| chunk())));
        Ok::<_, Infallible>(Response::new(body))
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(CHUNK_BYTES);
    let mut connection = pin!(builder.serve_connection(socket, service));
    let mut driver = pin!(drive(connection.as_mut(), &turn));
    let woken = Arc::new(WakeFlag(AtomicBool::new(true)));
    let waker = Waker::from(woken.clone());
    for _ in 0..MAX_POLLS {
        if !woken.0.swap(false, Ordering::SeqCst) {
            let Some(writer) = shared.0.borrow_mut().writer.take() else { break };
            writer.wake();
            continue;
        }
        if driver.as_mut().poll(&mut Context::from_waker(&waker)).is_ready() {
            break;
        }
    }
    shared.0.borrow().written
}

#[test]
fn response_completes_whenever_its_socket_becomes_writable() {
    for blocked_in_a_row in 1..=8 {
        let written = serve_response(blocked_in_a_row);
        assert!(
            written > CHUNKS * CHUNK_BYTES,
            "{written} bytes written, with {blocked_in_a_row} consecutive blocked writes"
        );
    }
}
