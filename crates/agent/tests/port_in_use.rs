//! A start while the agent before still has the port.

use configuration::ProcessSettings;
use std::net::Ipv4Addr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, LocalSet};

/// The listener of the agent before, and the settings of one that listens at the same address.
async fn port_in_use() -> (TcpListener, ProcessSettings) {
    let before = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let agent = before.local_addr().unwrap();
    let json = serde_json::json!({
        "node_name": "edge-1", "role": "agent", "ip_addr": "127.0.0.9", "zone": "z", "region": "r",
        "port_range": [7660, 7675], "seed_nodes": [], "bind": {"agent": agent},
    });
    let settings = ProcessSettings::read(&json.to_string()).unwrap();
    (before, settings)
}

/// Lets other tasks run until the agent has tried to listen.
async fn let_it_try() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test(flavor = "current_thread")]
async fn port_in_use_is_waited_for() {
    let run = async {
        let (before, settings) = port_in_use().await;
        let address = before.local_addr().unwrap();
        let (_seeds, seeds) = watch::channel(Vec::new());
        let agent = spawn_local(agent::run(settings, seeds, std::future::pending()));
        let_it_try().await;
        assert!(!agent.is_finished(), "it waits for the port");
        drop(before);
        while TcpStream::connect(address).await.is_err() {
            assert!(!agent.is_finished(), "it has ended");
            tokio::task::yield_now().await;
        }
        agent.abort();
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(flavor = "current_thread")]
async fn agent_when_asked_to_end_while_it_waits_for_its_port_ends() {
    let run = async {
        let (_before, settings) = port_in_use().await;
        let (_seeds, seeds) = watch::channel(Vec::new());
        let (stop, stopped) = oneshot::channel();
        let shutdown = async { stopped.await.unwrap_or_default() };
        let agent = spawn_local(agent::run(settings, seeds, shutdown));
        let_it_try().await;
        stop.send(()).unwrap();
        assert!(agent.await.unwrap().is_ok());
    };
    LocalSet::new().run_until(run).await;
}
