//! Just as much of an HTTP client as hollow hosts and operators need.

use std::io;
use std::net::SocketAddrV4;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A connection that is kept between calls.
#[derive(Default)]
pub(crate) struct Connection {
    stream: Option<(SocketAddrV4, TcpStream)>,
    buffer: Vec<u8>,
}

/// An answer.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

impl Connection {
    /// Makes a call and reads its answer; after an error the connection is a new one.
    pub(crate) async fn call(
        &mut self,
        to: SocketAddrV4,
        path: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<Answer> {
        let kept = self.stream.take().filter(|(at, _)| *at == to);
        let mut stream = if let Some((_, stream)) = kept {
            stream
        } else {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            stream
        };
        let method = if body.is_empty() && !path.contains("Depart") {
            "GET"
        } else {
            "POST"
        };
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        stream.write_all(&request).await?;
        self.buffer.clear();
        let (head, status, length, close) = loop {
            if let Some(head) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..head]).to_ascii_lowercase();
                let field = |name: &str| {
                    let line = text.lines().find_map(|l| l.strip_prefix(name));
                    line.map(|v| v.trim().to_owned())
                };
                let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
                let status = status.ok_or(io::ErrorKind::InvalidData)?;
                let length: usize = field("content-length:")
                    .and_then(|l| l.parse().ok())
                    .unwrap_or(0);
                break (
                    head + 4,
                    status,
                    length,
                    field("connection:").is_some_and(|c| c == "close"),
                );
            }
            if stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        while self.buffer.len() < head + length {
            if stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let body = self.buffer[head..head + length].to_vec();
        if !close {
            self.stream = Some((to, stream));
        }
        Ok(Answer { status, body })
    }
}
