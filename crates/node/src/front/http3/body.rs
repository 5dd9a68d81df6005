//! Request and response bodies on an HTTP/3 stream.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::{Buf, Bytes};
use h3::error::Code;
use h3::server::RequestStream;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::Response;

use crate::quic;

/// The body of a request as it arrives on its stream, checked against the `Content-Length` of its head.
pub(super) struct Http3Body {
    pub(super) stream: RequestStream<quic::RecvStream, Bytes>,
    /// The length that the head gives, if any.
    pub(super) length: Option<u64>,
    /// Bytes received so far.
    pub(super) received: u64,
}

impl Drop for Http3Body {
    /// Asks the client not to send the rest of the body. This is no error, and the response stays valid (RFC
    /// 9114, section 4.1).
    fn drop(&mut self) {
        self.stream.stop_sending(Code::H3_NO_ERROR);
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

impl http_body::Body for Http3Body {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut data = match ready!(self.stream.poll_recv_data(cx)) {
            Ok(Some(data)) => data,
            Ok(None) => {
                // A body shorter than its declared length is malformed (RFC 9114, section 4.1.2).
                let is_short = self.length.is_some_and(|length| length != self.received);
                return Poll::Ready(
                    is_short.then(|| Err("the body is shorter than its Content-Length".into())),
                );
            }
            Err(error) => return Poll::Ready(Some(Err(error.into()))),
        };
        let data = data.copy_to_bytes(data.remaining());
        self.received += data.len() as u64;
        if self.length.is_some_and(|length| self.received > length) {
            return Poll::Ready(Some(Err("the body is longer than its Content-Length".into())));
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map(SizeHint::with_exact).unwrap_or_default()
    }
}

/// Writes a whole response and finishes the stream.
pub(super) async fn write_response(
    send: &mut RequestStream<quic::SendStream<Bytes>, Bytes>,
    response: Response<http_body_util::Full<Bytes>>,
) -> Result<(), h3::error::StreamError> {
    let (mut head, body) = response.into_parts();
    head.headers.remove(HeaderName::from_static("connection"));
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(infallible) => match infallible {},
    };
    head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    send.send_response(Response::from_parts(head, ())).await?;
    if !body.is_empty() {
        send.send_data(body).await?;
    }
    send.finish().await
}
