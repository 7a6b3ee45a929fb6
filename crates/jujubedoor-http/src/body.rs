//! The body type of requests and responses, and helpers that create and read bodies.

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// An error while a body is received or sent.
///
/// The messages are also sent to callers, as the detail of an error response.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the limit, in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The connection was lost, or the peer sent malformed data.
    #[error("the body did not arrive whole: {0}")]
    Incomplete(String),
}

/// The body of a request or response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body from bytes that are already in memory.
pub fn full<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body whose chunks are received from a channel.
///
/// An error sent to the channel closes the connection, so that the body is incomplete for the receiver.
pub fn channel(capacity: usize) -> (mpsc::Sender<Result<Bytes, BodyError>>, Body) {
    let (tx, rx) = mpsc::channel(capacity);
    let frames = ReceiverStream::new(rx).map(|chunk: Result<Bytes, BodyError>| chunk.map(Frame::data));
    (tx, StreamBody::new(frames).boxed_unsync())
}

/// Reads a body into memory. Fails if it is longer than `max_bytes`.
///
/// The chunks are copied into one buffer, since each of them may keep a much larger read buffer allocated.
pub async fn collect<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(Limited::new(body, max_bytes));
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(e) if e.is::<http_body_util::LengthLimitError>() => {
                return Err(BodyError::TooLong(max_bytes));
            }
            Err(e) => return Err(BodyError::Incomplete(e.to_string())),
        }
    }
    Ok(bytes.freeze())
}

/// Creates a response with a JSON body.
pub fn json<T>(status: u16, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let text = serde_json::to_vec(value).unwrap_or_default();
    respond(status, "application/json", text)
}

/// Creates a response with a body that is already in memory.
pub fn respond<B>(status: u16, content_type: &str, bytes: B) -> Response<Body>
where
    B: Into<Bytes>,
{
    let builder = Response::builder().status(status).header("content-type", content_type);
    builder.body(full(bytes)).unwrap_or_else(|_| Response::new(full("")))
}
