//! What the control API takes: method, path and headers, each decoded into a call.

use bytes::Bytes;
use configuration::ResultCode;
use control_plane::host_registry::HostRequest;
use control_plane::runtime::control_request::{Call, Head};
use hyper::Method;
use rstest::rstest;

#[rstest]
#[case("POST", "/fennelpin/Configuration.Replace", Ok(Head::Replace))]
#[case("POST", "/fennelpin/Configuration.Amend", Ok(Head::Amend))]
#[case("GET", "/fennelpin/Configuration.Read", Ok(Head::Read))]
#[case("GET", "/fennelpin/status", Ok(Head::Status))]
#[case("POST", "/fennelpin/Hosts.Depart/i-1", Ok(Head::Host("/fennelpin/Hosts.Depart/i-1".into())))]
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
fn heads(#[case] method: Method, #[case] path: &str, #[case] head: Result<Head, ResultCode>) {
    assert_eq!(Head::read(&method, path), head);
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
fn bases(#[case] text: Option<&str>, #[case] base: Result<u64, ResultCode>) {
    let body = Bytes::from_static(b"{}");
    let call = base.map(|base| Call::Configure {
        base,
        amend: true,
        body: body.clone(),
    });
    assert_eq!(Head::Amend.with(text, body), call);
}

#[rstest]
#[case("/fennelpin/Hosts.Depart/i-1", b"", Ok(HostRequest::Depart { host: "i-1".into() }))]
#[case("/fennelpin/Hosts.Depart/", b"", Err(ResultCode::Unreadable))]
#[case("/fennelpin/Hosts.Heartbeat/i-1", b"{", Err(ResultCode::Unreadable))]
#[case("/fennelpin/Hosts.Other/i-1", b"{}", Err(ResultCode::NoSuchCall))]
fn hosts(
    #[case] path: &str,
    #[case] body: &'static [u8],
    #[case] call: Result<HostRequest, ResultCode>,
) {
    let head = Head::read(&Method::POST, path).unwrap();
    assert_eq!(
        head.with(None, Bytes::from_static(body)),
        call.map(Call::Host)
    );
}
