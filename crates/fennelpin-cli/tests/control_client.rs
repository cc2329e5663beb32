//! Tests of reading the answers of members: what isn't a whole answer is none, and another member is called.

use fennelpin_cli::control_client::{ControlAnswer, ControlCall, ControlClient};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread::JoinHandle;
use std::time::Duration;

/// Guards against taking for an answer what a member in trouble, or another program at its address, sends.
#[rstest]
#[case::status_000("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}")]
#[case::status_under_100("HTTP/1.1 020 OK\r\nContent-Length: 2\r\n\r\n{}")]
#[case::status_over_599("HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\n{}")]
#[case::signed_status("HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n{}")]
#[case::long_status("HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n{}")]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::blank_in_a_name("HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}")]
#[case::control_byte_in_a_name("HTTP/1.1 200 OK\r\nX\u{1}: 2\r\n\r\n{}")]
#[case::two_lengths("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}")]
#[case::length_that_is_none("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}")]
#[case::cut_length("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}")]
#[case::bytes_behind_the_length("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{}")]
#[case::cut_chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")]
#[case::cut_head("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")]
#[case::nothing("")]
fn malformed_or_incomplete_answer_is_none(#[case] text: &str) {
    assert_eq!(ControlAnswer::read(text.as_bytes()), None);
}

#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 200)]
#[case::chunks(
    "HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n",
    503
)]
#[case::end_of_connection("HTTP/1.1 412 X\r\n\r\n{}", 412)]
fn whole_answer_is_read_in_each_framing(#[case] text: &str, #[case] status: u16) {
    let answer = ControlAnswer::read(text.as_bytes()).expect("an answer");
    assert_eq!((answer.status, &answer.body[..]), (status, &b"{}"[..]));
}

/// Starts a member that answers one call with this text.
fn start_member(text: &'static str) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            request.push(byte[0]);
        }
        stream.write_all(text.as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
    });
    (address, serving)
}

#[test]
fn member_that_answers_status_000_is_passed_over() {
    let (broken, broken_member) = start_member("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}");
    let (sound, sound_member) = start_member("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]");
    let client = ControlClient {
        addresses: vec![broken, sound],
        timeout: Duration::from_secs(10),
    };
    let call = ControlCall {
        name: "status",
        ..ControlCall::default()
    };
    let answer = client.call(&call).expect("an answer");
    assert_eq!((answer.status, &answer.body[..]), (200, &b"[]"[..]));
    broken_member.join().unwrap();
    sound_member.join().unwrap();
}
