//! Texts of requests, responses and events.

/// An event with this id.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Events with these ids.
pub fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// A valid response with a body.
pub fn ok_response(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: seal\r\nContent-Length: {}\r\n\
         Keep-Alive: timeout=5\r\n\r\n{body}",
        body.len()
    )
}

/// A request to a path, with the body `hi` and further field lines.
pub fn request(path: &str, id: &str, more: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: {id}\r\n{more}Content-Length: 2\r\n\r\nhi")
}
