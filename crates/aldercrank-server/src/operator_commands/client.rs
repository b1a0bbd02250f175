//! Sends one request to a server or to the membership service, and waits for its response.

use super::error::{RequestError, ResponseError};
use aldercrank_consensus::{PeerRequest, PeerResponse};
use aldercrank_protocol::http;
use aldercrank_protocol::msgpack_rpc::{
    self, MessageId, ReceivedFields, RequestFields, ResponseHandler, CONSENSUS_METHOD,
};
use serde_json::Value as Json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Limit for connecting, and for each read of a response.
const IO_TIMEOUT: Duration = Duration::from_secs(3);
pub(super) const MAX_RESPONSE_BYTES: usize = 4 << 20;
const READ_BYTES: usize = 16 * 1024;

/// A response of the membership service.
pub(super) struct HttpResponse {
    pub(super) status: u16,
    pub(super) body: String,
}

impl HttpResponse {
    pub(super) fn is_success(&self) -> bool {
        self.status / 100 == 2
    }
}

fn connect(at: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    Ok(stream)
}

/// Sends a request and reads until `parse` returns the complete response.
fn exchange<T>(
    at: SocketAddr,
    request: &[u8],
    mut parse: impl FnMut(&[u8]) -> Result<Option<T>, ResponseError>,
) -> Result<T, ResponseError> {
    let mut stream = connect(at).map_err(ResponseError::Connection)?;
    stream.write_all(request).map_err(ResponseError::Connection)?;
    let (mut received, mut chunk) = (Vec::new(), [0; READ_BYTES]);
    while received.len() < MAX_RESPONSE_BYTES {
        let read = stream.read(&mut chunk).map_err(ResponseError::NoResponse)?;
        if read == 0 {
            return Err(ResponseError::Closed);
        }
        received.extend_from_slice(&chunk[..read]);
        if let Some(response) = parse(&received)? {
            return Ok(response);
        }
    }
    Err(ResponseError::TooLong)
}

/// The response of a server to a status request, as far as it was received.
#[derive(Default)]
enum StatusResponse {
    #[default]
    Pending,
    Received(Box<PeerResponse>),
    /// The server rejected the request or failed to serve it, or its result can't be decoded.
    Unusable,
}

impl ResponseHandler for StatusResponse {
    fn completed(&mut self, _: MessageId, result: &[u8], _: ReceivedFields) {
        *self = rmp_serde::from_slice(result)
            .map_or(StatusResponse::Unusable, |response| StatusResponse::Received(Box::new(response)));
    }
    fn rejected(&mut self, _: MessageId, _: ReceivedFields) {
        *self = StatusResponse::Unusable;
    }
    fn failed(&mut self, _: MessageId, _: &str, _: ReceivedFields) {
        *self = StatusResponse::Unusable;
    }
    fn health_reported(&mut self, _: MessageId, _: bool, _: ReceivedFields) {}
    fn closing(&mut self) {}
}

/// Requests the status of a server.
pub(super) fn request_status(at: SocketAddr) -> Result<Json, RequestError> {
    let body = rmp_serde::to_vec(&PeerRequest::Status)?;
    let mut request = Vec::new();
    msgpack_rpc::write_request(
        &mut request,
        MessageId(1),
        CONSENSUS_METHOD,
        &RequestFields::default(),
        &body,
    );
    let response = exchange(at, &request, |received| {
        let mut response = StatusResponse::default();
        msgpack_rpc::read_response(received, MAX_RESPONSE_BYTES, &mut response)
            .map_err(ResponseError::InvalidMessage)?;
        Ok(match response {
            StatusResponse::Pending => None,
            StatusResponse::Received(response) => Some(Some(response)),
            StatusResponse::Unusable => Some(None),
        })
    });
    let status = response.and_then(|response| match response.as_deref() {
        Some(PeerResponse::Status { text }) => {
            serde_json::from_str(text).map_err(ResponseError::InvalidStatus)
        }
        _ => Err(ResponseError::NoVersionedConfig),
    });
    status.map_err(|error| RequestError::Response { at, error })
}

/// Sends an HTTP request to the membership service.
pub(super) fn request_http(at: SocketAddr, request: &[u8]) -> Result<HttpResponse, RequestError> {
    let mut reader = http::ResponseReader::default();
    let response = exchange(at, request, |received| {
        let response = reader.read(received).map_err(ResponseError::InvalidHttp)?;
        Ok(response.map(|response| HttpResponse {
            status: response.status,
            body: String::from_utf8_lossy(&received[response.body]).into_owned(),
        }))
    });
    response.map_err(|error| RequestError::Response { at, error })
}
