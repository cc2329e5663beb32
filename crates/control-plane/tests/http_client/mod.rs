//! An HTTP client of the control API for tests, with one request per connection.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::future::Future;
use std::net::SocketAddrV4;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// An HTTP response.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Runs a test that spawns local tasks.
pub fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Reads a connection until its end.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    // A connection reset after the response is as good as its end.
    let _ = stream.read_to_string(&mut text).await;
    text
}

/// Sends one request and reads its response.
///
/// # Errors
/// Returns an error if the connection fails or the response can't be parsed.
pub async fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(to).await?;
    let headers: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\nContent-Length: {length}\r\n{headers}\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    parse_response(&response).ok_or(std::io::ErrorKind::UnexpectedEof.into())
}

fn parse_response(response: &str) -> Option<Answer> {
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        body: body.into(),
    })
}

/// Repeats a request until `is_accepted` accepts its response.
pub async fn call_until(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    is_accepted: impl Fn(&Answer) -> bool,
) -> Answer {
    loop {
        match call(to, method, path, headers, body).await {
            Ok(answer) if is_accepted(&answer) => return answer,
            _ => tokio::task::yield_now().await,
        }
    }
}
