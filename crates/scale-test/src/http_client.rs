//! A small HTTP client for the simulated hosts and the operator.

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

pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
}

/// Head of a response, parsed as far as needed.
struct ResponseHead {
    /// Bytes of the head with its empty line.
    length: usize,
    status: u16,
    content_length: usize,
    closes: bool,
}

impl ResponseHead {
    /// Parses the head in a buffer; `None` where it isn't complete.
    fn parse(buffer: &[u8]) -> io::Result<Option<Self>> {
        let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            return Ok(None);
        };
        let text = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
        let field = |name: &str| {
            let value = text.lines().find_map(|line| line.strip_prefix(name));
            value.map(str::trim)
        };
        let status = text.split(' ').nth(1).and_then(|s| s.parse().ok());
        Ok(Some(Self {
            length: end + 4,
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            content_length: field("content-length:")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0),
            closes: field("connection:") == Some("close"),
        }))
    }
}

impl Connection {
    /// Sends a request and reads the response. After an error the next call opens a new connection.
    pub(crate) async fn call(
        &mut self,
        to: SocketAddrV4,
        path: &str,
        headers: &str,
        body: &[u8],
    ) -> io::Result<Response> {
        let mut stream = self.take_stream(to).await?;
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
        let head = loop {
            if let Some(head) = ResponseHead::parse(&self.buffer)? {
                break head;
            }
            self.read_more(&mut stream).await?;
        };
        let length = head.length + head.content_length;
        while self.buffer.len() < length {
            self.read_more(&mut stream).await?;
        }
        if !head.closes {
            self.stream = Some((to, stream));
        }
        Ok(Response {
            status: head.status,
            body: self.buffer[head.length..length].to_vec(),
        })
    }

    /// The kept connection if it leads to this address, or a new one.
    async fn take_stream(&mut self, to: SocketAddrV4) -> io::Result<TcpStream> {
        if let Some((address, stream)) = self.stream.take() {
            if address == to {
                return Ok(stream);
            }
        }
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn read_more(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        match stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}
