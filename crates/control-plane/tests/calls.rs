//! What the control API takes: method, path and headers, each decoded into a call.

use bytes::Bytes;
use configuration::Code;
use control_plane::roster::HostCall;
use control_plane::shell::call::{Call, Head};
use hyper::Method;
use rstest::rstest;

#[rstest]
#[case("POST", "/fennelpin/Configuration.Replace", Ok(Head::Replace))]
#[case("POST", "/fennelpin/Configuration.Amend", Ok(Head::Amend))]
#[case("GET", "/fennelpin/Configuration.Read", Ok(Head::Read))]
#[case("GET", "/fennelpin/status", Ok(Head::Status))]
#[case("POST", "/fennelpin/Hosts.Depart/i-1", Ok(Head::Host("/fennelpin/Hosts.Depart/i-1".into())))]
#[case("GET", "/fennelpin/Configuration.Replace", Err(Code::OtherMethod))]
#[case("POST", "/fennelpin/Configuration.Read", Err(Code::OtherMethod))]
#[case("GET", "/fennelpin/Hosts.Heartbeat/i-1", Err(Code::OtherMethod))]
#[case("POST", "/fennelpin/Configuration.Replace/x", Err(Code::NoSuchCall))]
#[case("POST", "/fennelpin/", Err(Code::NoSuchCall))]
#[case("POST", "/", Err(Code::NoSuchCall))]
fn heads(#[case] method: Method, #[case] path: &str, #[case] head: Result<Head, Code>) {
    assert_eq!(Head::read(&method, path), head);
}

#[rstest]
#[case::number(Some("7"), Ok(7))]
#[case::spaces(Some(" 7 "), Ok(7))]
#[case::zero(Some("0"), Ok(0))]
#[case::missing(None, Err(Code::NoBase))]
#[case::word(Some("x"), Err(Code::NoBase))]
#[case::below_zero(Some("-1"), Err(Code::NoBase))]
#[case::largest(Some("18446744073709551615"), Ok(u64::MAX))]
#[case::beyond_the_largest(Some("18446744073709551616"), Err(Code::NoBase))]
#[case::signed(Some("+7"), Err(Code::NoBase))]
#[case::blank(Some("  "), Err(Code::NoBase))]
#[case::fraction(Some("7.0"), Err(Code::NoBase))]
#[case::list(Some("7, 7"), Err(Code::NoBase))]
fn bases(#[case] text: Option<&str>, #[case] base: Result<u64, Code>) {
    let body = Bytes::from_static(b"{}");
    let call = base.map(|base| Call::Configure {
        base,
        amend: true,
        body: body.clone(),
    });
    assert_eq!(Head::Amend.with(text, body), call);
}

#[rstest]
#[case("/fennelpin/Hosts.Depart/i-1", b"", Ok(HostCall::Depart { host: "i-1".into() }))]
#[case("/fennelpin/Hosts.Depart/", b"", Err(Code::Unreadable))]
#[case("/fennelpin/Hosts.Heartbeat/i-1", b"{", Err(Code::Unreadable))]
#[case("/fennelpin/Hosts.Other/i-1", b"{}", Err(Code::NoSuchCall))]
fn hosts(#[case] path: &str, #[case] body: &'static [u8], #[case] call: Result<HostCall, Code>) {
    let head = Head::read(&Method::POST, path).unwrap();
    assert_eq!(
        head.with(None, Bytes::from_static(body)),
        call.map(Call::Host)
    );
}
