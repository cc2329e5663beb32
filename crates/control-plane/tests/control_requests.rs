//! Decoding of control API requests from method, path, header and body.

use bytes::Bytes;
use configuration::ResultCode;
use control_plane::host_registry::HostRequest;
use control_plane::runtime::control_request::{ControlRequest, Endpoint};
use control_plane::runtime::coordination_endpoint::CoordinationEndpoint;
use hyper::Method;
use protocol::CoordinationRequest;
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
#[case::negative(Some("-1"), Err(ResultCode::NoBase))]
#[case::largest(Some("18446744073709551615"), Ok(u64::MAX))]
#[case::above_the_largest(Some("18446744073709551616"), Err(ResultCode::NoBase))]
#[case::signed(Some("+7"), Err(ResultCode::NoBase))]
#[case::blank(Some("  "), Err(ResultCode::NoBase))]
#[case::fraction(Some("7.0"), Err(ResultCode::NoBase))]
#[case::list(Some("7, 7"), Err(ResultCode::NoBase))]
fn base_version_header_must_be_one_unsigned_decimal_number(
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
fn host_request_is_decoded_with_its_host(
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

#[rstest]
#[case("POST", "Locks.Begin/l1f", CoordinationEndpoint::AcquireLock("l1f".into()))]
#[case("POST", "Locks.Heartbeat/l1f", CoordinationEndpoint::RenewLock("l1f".into()))]
#[case("POST", "Locks.Finish/l1f", CoordinationEndpoint::ReleaseLock("l1f".into()))]
#[case("POST", "Locks.Free/l1f", CoordinationEndpoint::FreeLock("l1f".into()))]
#[case("GET", "Locks.List", CoordinationEndpoint::ListLocks)]
#[case("POST", "numbers/n2", CoordinationEndpoint::NextNumber("n2".into()))]
#[case("POST", "Cells.Replace/g1.2d", CoordinationEndpoint::PutCell("g1.2d".into()))]
#[case("GET", "Cells.Read/g1.2d", CoordinationEndpoint::ReadCell("g1.2d".into()))]
#[case("GET", "Cells.List", CoordinationEndpoint::ListCells(String::new()))]
#[case("GET", "Cells.List/g1.", CoordinationEndpoint::ListCells("g1.".into()))]
#[case("GET", "watch/g1.?after=930&wait_ms=2000", CoordinationEndpoint::Watch { group: "g1.".into(), query: "after=930&wait_ms=2000".into() })]
fn coordination_endpoint_when_decoded_follows_method_and_path(
    #[case] method: Method,
    #[case] operation: &str,
    #[case] endpoint: CoordinationEndpoint,
) {
    let path = format!("/fennelpin/{operation}");
    let decoded = Endpoint::decode(&method, &path);
    assert_eq!(decoded, Ok(Endpoint::Coordination(endpoint)));
    let wrong_method = if method == Method::GET {
        Method::POST
    } else {
        Method::GET
    };
    assert_eq!(
        Endpoint::decode(&wrong_method, &path),
        Err(ResultCode::OtherMethod)
    );
}

#[rstest]
#[case::no_name("Locks.Begin/")]
#[case::no_name_and_no_slash("numbers")]
#[case::two_parts("Cells.Read/g1/a")]
#[case::group_without_dot("watch/g1")]
#[case::dot_before_the_end("watch/g1.a.")]
fn coordination_endpoint_with_an_invalid_name_is_rejected(#[case] operation: &str) {
    let path = format!("/fennelpin/{operation}");
    for method in [Method::GET, Method::POST] {
        assert_eq!(Endpoint::decode(&method, &path), Err(ResultCode::BadValue));
    }
}

/// Decodes a watch of the group `g.` with this query.
fn decode_watch(query: &str) -> Result<ControlRequest, ResultCode> {
    let path = format!("/fennelpin/watch/g.{query}");
    Endpoint::decode(&Method::GET, &path)?.into_request(None, Bytes::new(), 0)
}

#[rstest]
#[case::both("?after=7&wait_ms=2000", 7, 2000)]
#[case::other_order("?wait_ms=1.5&after=7", 7, 1)]
#[case::no_wait("?after=0", 0, 0)]
#[case::above_the_largest_wait("?after=1&wait_ms=99999999", 1, 30_000)]
fn watch_is_decoded_with_its_revision_and_wait(
    #[case] query: &str,
    #[case] after: u64,
    #[case] wait_ms: u32,
) {
    let group = "g.".into();
    let request = CoordinationRequest::Watch {
        group,
        after,
        wait_ms,
    };
    assert_eq!(decode_watch(query), Ok(ControlRequest::Coordinate(request)));
}

#[rstest]
#[case::no_revision("?wait_ms=10")]
#[case::no_query("")]
#[case::word("?after=x")]
#[case::negative("?after=1&wait_ms=-1")]
#[case::not_a_number("?after=1&wait_ms=NaN")]
fn watch_without_a_revision_or_with_an_invalid_wait_is_rejected(#[case] query: &str) {
    assert_eq!(decode_watch(query), Err(ResultCode::BadValue));
}

#[rstest]
#[case::zero("0")]
#[case::negative("-5")]
#[case::too_long("600001")]
fn lock_with_an_invalid_hold_time_is_rejected(#[case] hold_ms: &str) {
    let endpoint = Endpoint::decode(&Method::POST, "/fennelpin/Locks.Begin/l").unwrap();
    let body = Bytes::from(format!(r#"{{"holder":"a","hold_ms":{hold_ms}}}"#));
    assert_eq!(
        endpoint.into_request(None, body, 0),
        Err(ResultCode::BadValue)
    );
}
