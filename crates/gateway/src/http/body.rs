//! HTTP bodies that are complete or arrive in chunks.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::{Bytes, BytesMut};
use futures_lite::Stream;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

/// Maximum size of a chunk given to a connection. A connection copies data that it has not written
/// yet, so a long body in one chunk would be in memory twice.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// A body that is complete, or arrives in chunks through a channel or a stream.
pub enum Body {
    /// The complete body, until it is removed.
    Full(Option<Bytes>),
    /// Chunks from a channel. An error resets the connection, so that the reader sees that data is
    /// missing.
    Channel(Pin<Box<Receiver<io::Result<Bytes>>>>),
    /// Chunks that are produced as the reader takes them, with their total length if it is known.
    /// The stream is dropped when the reader disconnects. An error resets the connection.
    Stream(Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>, Option<u64>),
}

impl Body {
    /// Creates an empty body.
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Creates a body from a channel of chunks.
    pub fn from_channel(chunks: Receiver<io::Result<Bytes>>) -> Self {
        Self::Channel(Box::pin(chunks))
    }

    /// Creates a body from a stream of chunks, with the total length if it is known.
    pub fn from_stream(
        chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
        length: Option<u64>,
    ) -> Self {
        Self::Stream(Box::pin(chunks), length)
    }
}

impl<T: Into<Bytes>> From<T> for Body {
    fn from(content: T) -> Self {
        Self::Full(Some(content.into()))
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Full(content) => {
                Poll::Ready(take_chunk(content).map(|chunk| Ok(Frame::data(chunk))))
            }
            Self::Channel(chunks) => {
                chunks.as_mut().poll_next(context).map(|chunk| chunk.map(|p| p.map(Frame::data)))
            }
            Self::Stream(chunks, _) => {
                chunks.as_mut().poll_next(context).map(|chunk| chunk.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(content) => {
                SizeHint::with_exact(content.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_, Some(length)) => SizeHint::with_exact(*length),
            Self::Channel(_) | Self::Stream(_, None) => SizeHint::default(),
        }
    }
}

/// Takes the next chunk of a complete body, or returns `None` if everything was taken.
fn take_chunk(content: &mut Option<Bytes>) -> Option<Bytes> {
    let rest = content.as_mut()?;
    if rest.len() <= MAX_CHUNK_BYTES {
        return content.take();
    }
    Some(rest.split_to(MAX_CHUNK_BYTES))
}

/// Reads a whole body of up to `max_bytes` bytes. Returns `None` if it is longer or interrupted.
pub async fn read_body<B>(mut body: B, max_bytes: usize) -> Option<Bytes>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            if content.len() + data.len() > max_bytes {
                return None;
            }
            content.extend_from_slice(&data);
        }
    }
    Some(content.freeze())
}
