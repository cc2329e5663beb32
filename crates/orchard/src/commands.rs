//! The operators' commands.

use crate::failure::{AskSnafu, ConfigurationSnafu, Failure, UnreadableSnafu};
use crate::settings;
use almanac::Document;
use snafu::ResultExt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Longest wait for a member.
const WAIT: Duration = Duration::from_secs(5);

/// Prints the version.
///
/// # Errors
/// None.
pub fn version() -> Result<(), Failure> {
    println!("orchard {} (messages: {})", env!("CARGO_PKG_VERSION"), graft::VERSION);
    Ok(())
}

/// Prints what a member says of itself.
///
/// # Errors
/// Where it can't be asked.
pub fn status(control: SocketAddr) -> Result<(), Failure> {
    println!("{}", ask(control).context(AskSnafu { control })?);
    Ok(())
}

fn ask(control: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&control, WAIT)?;
    stream.set_read_timeout(Some(WAIT))?;
    stream.set_write_timeout(Some(WAIT))?;
    write!(stream, "GET /fennelpin/status HTTP/1.1\r\nHost: {control}\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let bad = || std::io::Error::new(std::io::ErrorKind::InvalidData, "no answer of a member");
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(bad)?;
    match head.starts_with("HTTP/1.1 200 ") {
        true => Ok(body.to_owned()),
        false => Err(bad()),
    }
}

/// Checks an operator's configuration or a program's settings.
///
/// # Errors
/// Where it is invalid.
pub fn check(path: &Path, is_settings: bool) -> Result<(), Failure> {
    if is_settings {
        let boot = settings::read(path)?;
        println!("{}: settings of {} ({})", path.display(), boot.node_name, boot.role);
        return Ok(());
    }
    let body = std::fs::read(path).context(UnreadableSnafu { path })?;
    let document = Document::read(&body, 0).context(ConfigurationSnafu { path })?;
    println!(
        "{}: version {}, {} routes, {} services",
        path.display(),
        document.version,
        document.routes.len(),
        document.services.len()
    );
    Ok(())
}
