//! A connection goes on after each blocked write.
//!
//! What happened: a caller that had rested for 5 s read the first megabytes of its answer, and nothing more
//! came; after 10 s it was disconnected as one that does not read. The node's own log showed that
//! the server was not at fault (`answer_ms` 104: all 11,000,000 bytes were there), and what was left
//! (`caller_disconnected`, `reason` no_progress, `held_bytes` 3,672,273, `resting_ms` 10,010). The system
//! showed why: the send queue of the caller's socket was empty, and the process waited for bytes to
//! read from it and not for room to write (`/proc/PID/fdinfo`, events 4000001b: EPOLLOUT is not among them).
//!
//! Why: the HTTP library flushes once more after a blocked write. Where the socket becomes writable just
//! then, the flush succeeds and drops the wake, with more of the body to write.

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

/// Pieces of the answer, each larger than the library buffers.
const PIECES: usize = 40;
/// Bytes of a piece.
const PIECE: usize = 16 * 1024;
/// Polls after which the answer is as far as it comes.
const MOST_POLLS: usize = 10_000;

/// A socket that takes one piece in each turn, and has room for more as soon as a write was blocked.
#[derive(Default)]
struct Peer {
    request: &'static [u8],
    /// Bytes that are taken before the next write is blocked.
    room: usize,
    written: usize,
    /// Whom to wake once there is room; a write that succeeds before drops it.
    writer: Option<Waker>,
    /// Writes that are blocked in a row before there is room.
    blocked_in_a_row: usize,
    blocked: usize,
}

#[derive(Clone)]
struct Shared(Rc<RefCell<Peer>>);

impl AsyncRead for Shared {
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

impl AsyncWrite for Shared {
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
                peer.room = 3 * PIECE;
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

struct Woken(AtomicBool);

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Answers one request over a socket whose writes are blocked so often in a row; returns the bytes that were
/// written once nothing wakes the connection any more.
fn play(blocked_in_a_row: usize) -> usize {
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let peer = Peer { request, room: PIECE, blocked_in_a_row, ..Peer::default() };
    let shared = Shared(Rc::new(RefCell::new(peer)));
    let socket = Socket::new(shared.clone());
    let writes = socket.get_write_state();
    let service = service_fn(|_: Request<_>| async {
        let piece = || Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'x'; PIECE])));
        let body = StreamBody::new(stream::iter((0..PIECES).map(move |_| piece())));
        Ok::<_, Infallible>(Response::new(body))
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(PIECE);
    let mut connection = pin!(builder.serve_connection(socket, service));
    let mut driven = pin!(drive(connection.as_mut(), &writes));
    let woken = Arc::new(Woken(AtomicBool::new(true)));
    let waker = Waker::from(woken.clone());
    for _ in 0..MOST_POLLS {
        if !woken.0.swap(false, Ordering::SeqCst) {
            let Some(writer) = shared.0.borrow_mut().writer.take() else { break };
            writer.wake();
            continue;
        }
        if driven.as_mut().poll(&mut Context::from_waker(&waker)).is_ready() {
            break;
        }
    }
    shared.0.borrow().written
}

#[test]
fn an_answer_comes_whole_whenever_its_socket_becomes_writable() {
    for blocked_in_a_row in 1..=8 {
        let written = play(blocked_in_a_row);
        assert!(
            written > PIECES * PIECE,
            "{written} bytes, with {blocked_in_a_row} blocked writes in a row"
        );
    }
}
