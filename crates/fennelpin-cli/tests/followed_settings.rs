//! The settings file is followed: the agent pulls from the members that it names.

use configuration::{Configuration, ProcessSettings};
use fennelpin_cli::process_settings::follow_seeds;
use replication::{client, Mirror, Puller, SharedMirror, Snapshot};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(20);

/// A member's listener on a port whose next one is free for the agent.
async fn listen(ip: &str) -> (TcpListener, u16) {
    loop {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        if port < u16::MAX && TcpListener::bind(("127.0.0.1", port + 1)).await.is_ok() {
            return (listener, port);
        }
    }
}

fn document(version: u64) -> Arc<Configuration> {
    let text = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
    Arc::new(Configuration::read(text.as_bytes(), 0).unwrap())
}

/// A member whose ledger has this version.
fn member(id: u64, version: u64, listener: TcpListener) {
    let shared = SharedMirror::new(Mirror::new(id, Duration::from_millis(1200)));
    shared.update(|m, _| m.set_replicated_state(version, document(version), &[]));
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(replication::serve(
                stream,
                Vec::new(),
                shared.clone(),
                |_| (),
            ));
        }
    });
}

fn proxy(
    boot: &ProcessSettings,
) -> (
    Arc<SharedMirror>,
    mpsc::UnboundedSender<client::ClientCommand>,
) {
    let shared = SharedMirror::new(Mirror::new(0, Duration::from_millis(1200)).without_history());
    let (control, told) = mpsc::unbounded_channel();
    let mut puller = Puller::new(&boot.node_name, 1, None).seeds_only();
    puller.set_seeds(&[replication::agent_addr(boot)]);
    tokio::spawn(client::run(
        puller,
        replication::non_member_info(boot),
        replication::subscriber(boot, 0),
        shared.clone(),
        told,
    ));
    (shared, control)
}

async fn until(views: &mut watch::Receiver<Arc<Snapshot>>, version: u64) {
    timeout(LONG, views.wait_for(|v| v.configuration.version == version))
        .await
        .expect("it comes")
        .unwrap();
}

/// The settings change from one member to another, which alone has the second version.
async fn other_seeds(ips: [&str; 2], hang_up: bool) {
    let (listener, port) = listen(ips[0]).await;
    member(11, 1, listener);
    member(12, 2, TcpListener::bind((ips[1], port)).await.unwrap());
    let text = |seed: &str| {
        format!(
            r#"{{"node_name":"e","role":"a","ip_addr":"127.0.0.9","zone":"z","port_range":[{port},{}],
            "seed_nodes":["{seed}:9"]}}"#,
            port + 15
        )
    };
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("boot.json");
    let write = |seed: &str, modified: std::time::SystemTime| {
        std::fs::write(&file, text(seed)).unwrap();
        std::fs::File::options()
            .append(true)
            .open(&file)
            .unwrap()
            .set_modified(modified)
            .unwrap();
    };
    let start = std::time::SystemTime::now();
    write(ips[0], start);
    let boot = ProcessSettings::read(&text(ips[0])).unwrap();
    let seeds = follow_seeds(file.clone(), &boot).unwrap();
    spawn_local(agent::run(boot.clone(), seeds, std::future::pending()));
    let (shared, _control) = proxy(&boot);
    let mut views = shared.subscribe();
    until(&mut views, 1).await;
    if hang_up {
        write(ips[1], start);
        let pid = std::process::id().to_string();
        assert!(std::process::Command::new("kill")
            .args(["-HUP", &pid])
            .status()
            .unwrap()
            .success());
    } else {
        write(ips[1], start + Duration::from_secs(5));
    }
    until(&mut views, 2).await;
}

#[tokio::test]
async fn seeds_when_settings_file_changes_then_followed() {
    LocalSet::new()
        .run_until(other_seeds(["127.0.0.4", "127.0.0.5"], false))
        .await;
}

#[tokio::test]
async fn seeds_when_sighup_comes_then_followed() {
    LocalSet::new()
        .run_until(other_seeds(["127.0.0.10", "127.0.0.11"], true))
        .await;
}

/// A file that can't be read changes nothing; once it can, it counts.
#[tokio::test]
async fn settings_when_half_written_then_read_again() {
    let follow = async {
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("boot.json");
        let text = |seed: &str| {
            format!(
                r#"{{"node_name":"e","role":"a","ip_addr":"127.0.0.9","zone":"z","port_range":[7,22],
                "seed_nodes":["{seed}:9"]}}"#
            )
        };
        let boot = ProcessSettings::read(&text("127.0.0.2")).unwrap();
        std::fs::write(&file, &text("127.0.0.3")[..40]).unwrap();
        let mut seeds = follow_seeds(file.clone(), &boot).unwrap();
        tokio::time::pause();
        assert!(
            timeout(Duration::from_secs(9), seeds.changed())
                .await
                .is_err(),
            "nothing is known yet"
        );
        // Whatever its time says: it is looked at until it has been read.
        let old = std::fs::metadata(&file).unwrap().modified().unwrap();
        std::fs::write(&file, text("127.0.0.3")).unwrap();
        std::fs::File::options()
            .append(true)
            .open(&file)
            .unwrap()
            .set_modified(old)
            .unwrap();
        timeout(LONG, seeds.changed())
            .await
            .expect("it comes")
            .unwrap();
        assert_eq!(*seeds.borrow(), ["127.0.0.3:9".parse().unwrap()]);
    };
    LocalSet::new().run_until(follow).await;
}
