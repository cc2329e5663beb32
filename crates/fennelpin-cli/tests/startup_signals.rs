//! Signals that come while a program starts.

use fennelpin_cli::local::cluster::Program;
use rstest::rstest;
use rustix::fs::{mknodat, FileType, Mode, CWD};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// What doesn't happen within this time doesn't happen.
const LONG: Duration = Duration::from_secs(20);

/// A program's settings, and where it listens once it runs.
fn settings(program: Program, dir: &Path) -> (Value, SocketAddr) {
    // Each program has an address of its own.
    let ip = Ipv4Addr::new(127, 19, std::process::id() as u8, 1 + program as u8);
    let port = TcpListener::bind((ip, 0))
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
        .min(65_000);
    let at = |offset: u16| SocketAddr::from((ip, port + offset));
    let (name, listens, bind) = match program {
        Program::ControlPlane => ("control-plane", at(6), json!({"control": at(6)})),
        Program::Agent => ("agent", at(1), json!({"agent": at(1)})),
        Program::Proxy => (
            "proxy",
            at(7),
            json!({"front": at(7), "readiness": at(8), "agent": at(1)}),
        ),
    };
    let settings = json!({"role": name, "node_name": "n", "zone": "a", "ip_addr": ip, "bind": bind,
        "port_range": [port, port + 5], "state_dir": dir.join("disk")});
    (settings, listens)
}

fn start(program: &str, settings: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_fennelpin-cli"))
        .args([program, "--until-input-ends", "--settings"])
        .arg(settings)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// A program that reads its settings from a pipe, at the moment at which it waits for them; and the pipe.
fn start_reading_settings(program: Program, dir: &Path) -> (Child, File, Value, SocketAddr) {
    std::fs::create_dir(dir.join("disk")).unwrap();
    let (settings, listens) = settings(program, dir);
    let path = dir.join("settings.json");
    mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).unwrap();
    let child = start(settings["role"].as_str().unwrap(), &path);
    // Opens once the program has opened the other end.
    let pipe = File::options().write(true).open(&path).unwrap();
    // Whoever reads the settings again finds a plain file.
    let plain = dir.join("plain.json");
    std::fs::write(&plain, settings.to_string()).unwrap();
    std::fs::rename(&plain, &path).unwrap();
    (child, pipe, settings, listens)
}

/// The platform may stop a program in the first moments of its start. That is a stop like others.
#[rstest]
fn program_when_sigterm_comes_before_settings_are_read_then_ends_in_order(
    #[values(Program::ControlPlane, Program::Agent, Program::Proxy)] program: Program,
) {
    let dir = tempfile::tempdir().unwrap();
    let (mut child, mut pipe, settings, _) = start_reading_settings(program, dir.path());
    kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    // Fails where nobody reads any more.
    let _ = pipe.write_all(settings.to_string().as_bytes());
    drop(pipe);
    let status = child.wait().unwrap();
    assert!(status.success(), "{program:?}: {status}");
}

/// The program reads its settings from a pipe, so that it can be told that they have changed before it knows them.
#[rstest]
fn program_when_sighup_comes_before_settings_are_read_then_keeps_running(
    #[values(Program::ControlPlane, Program::Agent, Program::Proxy)] program: Program,
) {
    let dir = tempfile::tempdir().unwrap();
    let (mut child, mut pipe, settings, listens) = start_reading_settings(program, dir.path());
    kill_process(Pid::from_child(&child), Signal::HUP).unwrap();
    // Fails where nobody reads any more.
    let _ = pipe.write_all(settings.to_string().as_bytes());
    drop(pipe);

    let end = Instant::now() + LONG;
    while TcpStream::connect(listens).is_err() {
        let ended = child.try_wait().unwrap();
        assert!(ended.is_none(), "{program:?} has ended: {ended:?}");
        assert!(Instant::now() < end, "{program:?} doesn't listen");
        std::thread::yield_now();
    }
    child.kill().unwrap();
    child.wait().unwrap();
}
