//! An agent starts while a previous process still uses its port.

use configuration::ProcessSettings;
use std::net::Ipv4Addr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, LocalSet};

/// The listener of a previous agent, and the settings of an agent with the same address.
async fn listener_on_agent_port() -> (TcpListener, ProcessSettings) {
    let previous_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let agent_addr = previous_listener.local_addr().unwrap();
    let json = serde_json::json!({
        "node_name": "edge-1", "role": "agent", "ip_addr": "127.0.0.9", "zone": "z", "region": "r",
        "port_range": [7660, 7675], "seed_nodes": [], "bind": {"agent": agent_addr},
    });
    let settings = ProcessSettings::read(&json.to_string()).unwrap();
    (previous_listener, settings)
}

/// Lets other tasks run until the agent has tried to bind its port.
async fn let_agent_try_to_bind() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test(flavor = "current_thread")]
async fn agent_waits_for_port_in_use() {
    let run = async {
        let (previous_listener, settings) = listener_on_agent_port().await;
        let address = previous_listener.local_addr().unwrap();
        let (_seeds, seeds) = watch::channel(Vec::new());
        let agent = spawn_local(agent::run(settings, seeds, std::future::pending()));
        let_agent_try_to_bind().await;
        assert!(!agent.is_finished(), "the agent did not wait for the port");
        drop(previous_listener);
        while TcpStream::connect(address).await.is_err() {
            assert!(!agent.is_finished(), "the agent ended");
            tokio::task::yield_now().await;
        }
        agent.abort();
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(flavor = "current_thread")]
async fn agent_ends_on_shutdown_while_waiting_for_its_port() {
    let run = async {
        let (_previous_listener, settings) = listener_on_agent_port().await;
        let (_seeds, seeds) = watch::channel(Vec::new());
        let (shutdown_sender, shutdown_receiver) = oneshot::channel();
        let shutdown = async { shutdown_receiver.await.unwrap_or_default() };
        let agent = spawn_local(agent::run(settings, seeds, shutdown));
        let_agent_try_to_bind().await;
        shutdown_sender.send(()).unwrap();
        assert!(agent.await.unwrap().is_ok());
    };
    LocalSet::new().run_until(run).await;
}
