//! A caller of the control API: one call on a connection of its own.

use std::net::SocketAddrV4;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// Makes one call.
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
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    read(&answer).ok_or(std::io::ErrorKind::UnexpectedEof.into())
}

fn read(answer: &str) -> Option<Answer> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        body: body.into(),
    })
}

/// Makes a call again and again until its answer will do.
pub async fn call_until(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    will_do: impl Fn(&Answer) -> bool,
) -> Answer {
    loop {
        match call(to, method, path, headers, body).await {
            Ok(answer) if will_do(&answer) => return answer,
            _ => tokio::task::yield_now().await,
        }
    }
}
