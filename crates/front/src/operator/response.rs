//! Builds the HTTP responses of the admin endpoint.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

/// Returns a response with a plain-text body.
pub(super) fn text(body: String) -> Response<Full<Bytes>> {
    response(StatusCode::OK, TEXT, body)
}

/// Returns a response with a JSON body.
pub(super) fn json(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    encoded_json(status, body.to_string())
}

/// Returns a response with a body that is already encoded as JSON.
pub(super) fn encoded_json(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    response(status, JSON, body)
}

/// Returns an error response with the message in its JSON body.
pub(super) fn error(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    json(status, &json!({"error": message}))
}

/// Returns the response to a call whose method is not `allowed`.
pub(super) fn wrong_method(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = error(StatusCode::METHOD_NOT_ALLOWED, &format!("this call takes {allowed}"));
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

fn response(status: StatusCode, content_type: &'static str, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
