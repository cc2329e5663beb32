//! Builders for the texts of requests, responses and events.

/// Returns the text of an event with this id.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Returns the text of events with these ids.
pub fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// Returns a valid 200 response with the attempt's id and a body.
pub fn ok_response(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nFennelpin-Attempt-Id: {id}\r\nFennelpin-Host-Seal: seal\r\nContent-Length: {}\r\n\
         Keep-Alive: timeout=5\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a request to a path with the attempt's id, further field lines, and the body `hi`.
pub fn request(path: &str, id: &str, extra_fields: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: x.example\r\nFennelpin-Attempt-Id: {id}\r\n{extra_fields}Content-Length: 2\r\n\r\nhi")
}
