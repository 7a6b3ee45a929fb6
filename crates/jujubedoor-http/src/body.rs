//! The body type of requests and responses.

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// Why a body did not arrive whole or cannot be sent whole.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The connection broke or the other side sent something malformed.
    #[error("the body did not arrive whole: {0}")]
    Incomplete(String),
}

/// A body of a request or response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Creates a body of bytes that are all there.
pub fn full<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a body whose chunks come from a channel; an error breaks the connection.
pub fn channel(capacity: usize) -> (mpsc::Sender<Result<Bytes, BodyError>>, Body) {
    let (tx, rx) = mpsc::channel(capacity);
    let frames = ReceiverStream::new(rx).map(|chunk: Result<Bytes, BodyError>| chunk.map(Frame::data));
    (tx, StreamBody::new(frames).boxed_unsync())
}

/// Collects a body up to a number of bytes.
pub async fn collect(body: Incoming, most: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, most).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong(most)),
        Err(e) => Err(BodyError::Incomplete(e.to_string())),
    }
}

/// Creates a response with a JSON body.
pub fn json<T>(status: u16, value: &T) -> Response<Body>
where
    T: Serialize,
{
    let text = serde_json::to_vec(value).unwrap_or_default();
    respond(status, "application/json", text)
}

/// Creates a response with a body of bytes.
pub fn respond<B>(status: u16, content_type: &str, bytes: B) -> Response<Body>
where
    B: Into<Bytes>,
{
    let builder = Response::builder().status(status).header("content-type", content_type);
    builder.body(full(bytes)).unwrap_or_else(|_| Response::new(full("")))
}
