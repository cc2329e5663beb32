//! What the control API takes: method, path and headers, decoded into a request.

use bytes::Bytes;
use configuration::ResultCode;
use control_plane::host_registry::HostRequest;
use control_plane::runtime::control_request::{ControlRequest, Endpoint};
use hyper::Method;
use rstest::rstest;

#[rstest]
#[case("POST", "/fennelpin/Configuration.Replace", Ok(Endpoint::Replace))]
#[case("POST", "/fennelpin/Configuration.Amend", Ok(Endpoint::Amend))]
#[case("GET", "/fennelpin/Configuration.Read", Ok(Endpoint::Read))]
#[case("GET", "/fennelpin/status", Ok(Endpoint::Status))]
#[case("POST", "/fennelpin/Hosts.Depart/i-1", Ok(Endpoint::Host("/fennelpin/Hosts.Depart/i-1".into())))]
#[case(
    "GET",
    "/fennelpin/Configuration.Replace",
    Err(ResultCode::OtherMethod)
)]
#[case("POST", "/fennelpin/Configuration.Read", Err(ResultCode::OtherMethod))]
#[case("GET", "/fennelpin/Hosts.Heartbeat/i-1", Err(ResultCode::OtherMethod))]
#[case(
    "POST",
    "/fennelpin/Configuration.Replace/x",
    Err(ResultCode::NoSuchCall)
)]
#[case("POST", "/fennelpin/", Err(ResultCode::NoSuchCall))]
#[case("POST", "/", Err(ResultCode::NoSuchCall))]
fn endpoint_when_decoded_follows_method_and_path(
    #[case] method: Method,
    #[case] path: &str,
    #[case] endpoint: Result<Endpoint, ResultCode>,
) {
    assert_eq!(Endpoint::decode(&method, path), endpoint);
}

#[rstest]
#[case::number(Some("7"), Ok(7))]
#[case::spaces(Some(" 7 "), Ok(7))]
#[case::zero(Some("0"), Ok(0))]
#[case::missing(None, Err(ResultCode::NoBase))]
#[case::word(Some("x"), Err(ResultCode::NoBase))]
#[case::below_zero(Some("-1"), Err(ResultCode::NoBase))]
#[case::largest(Some("18446744073709551615"), Ok(u64::MAX))]
#[case::beyond_the_largest(Some("18446744073709551616"), Err(ResultCode::NoBase))]
#[case::signed(Some("+7"), Err(ResultCode::NoBase))]
#[case::blank(Some("  "), Err(ResultCode::NoBase))]
#[case::fraction(Some("7.0"), Err(ResultCode::NoBase))]
#[case::list(Some("7, 7"), Err(ResultCode::NoBase))]
fn base_version_when_decoded_is_one_plain_number(
    #[case] text: Option<&str>,
    #[case] base: Result<u64, ResultCode>,
) {
    let body = Bytes::from_static(b"{}");
    let request = base.map(|base| ControlRequest::Configure {
        base,
        amend: true,
        body: body.clone(),
    });
    assert_eq!(Endpoint::Amend.into_request(text, body, 0), request);
}

#[rstest]
#[case("/fennelpin/Hosts.Depart/i-1", b"", Ok(HostRequest::Depart { host: "i-1".into() }))]
#[case("/fennelpin/Hosts.Depart/", b"", Err(ResultCode::Unreadable))]
#[case("/fennelpin/Hosts.Heartbeat/i-1", b"{", Err(ResultCode::Unreadable))]
#[case("/fennelpin/Hosts.Other/i-1", b"{}", Err(ResultCode::NoSuchCall))]
fn host_request_when_decoded_names_its_host(
    #[case] path: &str,
    #[case] body: &'static [u8],
    #[case] request: Result<HostRequest, ResultCode>,
) {
    let endpoint = Endpoint::decode(&Method::POST, path).unwrap();
    assert_eq!(
        endpoint.into_request(None, Bytes::from_static(body), 0),
        request.map(ControlRequest::Host)
    );
}
