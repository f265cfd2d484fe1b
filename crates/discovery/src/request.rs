//! Sends one request to the agent, for the complete endpoint list or for a watch.

use crate::error::RequestError;
use crate::transfer::{TransferStats, Yielding, read_more};
use crate::watch::Watch;
use bytes::BytesMut;
use proto::discovery::{self, EndpointList, MAX_LIST_BYTES};
use proto::http::{self, ResponseReader};
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};

/// The path of the complete list.
const LIST_PATH: &str = "/v1/endpoints";

/// A successful response.
pub(crate) enum Response<S> {
    /// The complete list.
    List(EndpointList),
    /// A watch of the changes after the requested revision.
    Watch(Watch<S>),
}

/// Requests the complete list, or a watch of the changes after `revision`.
pub(crate) async fn send_request<S: AsyncRead + AsyncWrite + Unpin>(
    mut stream: S, addr: SocketAddr, revision: Option<u64>,
) -> Result<Response<S>, RequestError> {
    let path = match revision {
        None => LIST_PATH.to_owned(),
        Some(revision) => format!("{LIST_PATH}?watch=1&from={revision}"),
    };
    let request = http::encode_request("GET", path.as_bytes(), &addr.to_string(), &[]);
    stream.write_all(&request).await?;
    match revision {
        None => read_list(stream).await.map(Response::List),
        Some(_) => Watch::open(stream).await.map(Response::Watch),
    }
}

async fn read_list(mut stream: impl AsyncRead + Unpin) -> Result<EndpointList, RequestError> {
    let mut reader = ResponseReader::new(MAX_LIST_BYTES);
    let mut buffer = BytesMut::new();
    let mut stats = TransferStats::new();
    let (head, body) = loop {
        match reader.next(&mut buffer)? {
            Some(response) => break response,
            None => read_more(&mut stream, &mut buffer, &mut stats, Yielding::Periodic).await?,
        }
    };
    RequestError::check_status(head.status)?;
    let list = discovery::parse_endpoint_list(&body)?;
    stats.log(&list);
    Ok(list)
}
