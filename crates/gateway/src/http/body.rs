//! A body that is whole, or comes in pieces.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use bytes::{Bytes, BytesMut};
use futures_lite::Stream;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

/// Bytes that are given to a connection at once. It copies what it has not written yet, so that a
/// long body at once would lie in memory twice.
const PIECE_BYTES: usize = 64 * 1024;

/// A body that is whole, or comes in pieces through a channel.
pub enum Body {
    /// All of it, until it is taken.
    Whole(Option<Bytes>),
    /// Pieces; an error cuts the connection, so that the reader sees that something is missing.
    Pieces(Pin<Box<Receiver<io::Result<Bytes>>>>),
    /// Pieces that are made as the reader takes them; dropped with all that they hold when the
    /// reader leaves; with their length where it is known. An error cuts the connection.
    Stream(Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>, Option<u64>),
}

impl Body {
    /// Makes a body without content.
    pub fn empty() -> Self {
        Self::Whole(None)
    }

    /// Makes a body from a channel of pieces.
    pub fn from_channel(pieces: Receiver<io::Result<Bytes>>) -> Self {
        Self::Pieces(Box::pin(pieces))
    }

    /// Makes a body from a stream of pieces, of a length in all where it is known.
    pub fn from_stream(
        pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
        length: Option<u64>,
    ) -> Self {
        Self::Stream(Box::pin(pieces), length)
    }
}

impl<T: Into<Bytes>> From<T> for Body {
    fn from(content: T) -> Self {
        Self::Whole(Some(content.into()))
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
            Self::Whole(content) => {
                Poll::Ready(take_piece(content).map(|piece| Ok(Frame::data(piece))))
            }
            Self::Pieces(pieces) => {
                pieces.as_mut().poll_next(context).map(|piece| piece.map(|p| p.map(Frame::data)))
            }
            Self::Stream(pieces, _) => {
                pieces.as_mut().poll_next(context).map(|piece| piece.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(content) => {
                SizeHint::with_exact(content.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Stream(_, Some(length)) => SizeHint::with_exact(*length),
            Self::Pieces(_) | Self::Stream(_, None) => SizeHint::default(),
        }
    }
}

/// Takes the next piece of a body; nothing where all is taken.
fn take_piece(content: &mut Option<Bytes>) -> Option<Bytes> {
    let rest = content.as_mut()?;
    if rest.len() <= PIECE_BYTES {
        return content.take();
    }
    Some(rest.split_to(PIECE_BYTES))
}

/// Reads a body whole, up to `most` bytes; `None` where it is longer or breaks off.
pub async fn read_body<B>(mut body: B, most: usize) -> Option<Bytes>
where
    B: HttpBody<Data = Bytes> + Unpin,
{
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            if content.len() + data.len() > most {
                return None;
            }
            content.extend_from_slice(&data);
        }
    }
    Some(content.freeze())
}
