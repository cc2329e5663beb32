//! The proxy under test, which runs on a task of the test's process.

use super::{request, unused_address, FakeHost, TestConnection};
use balancing::HostInfo;
use configuration::{Configuration, ProcessSettings};
use proxy::counters::{Counters, SharedCounters};
use proxy::{ConfigurationAge, Error, FleetSnapshot};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

/// Proxy that serves on a task of its own, with handles to control and observe it.
pub struct Proxy {
    pub client_address: SocketAddrV4,
    pub readiness_address: SocketAddrV4,
    pub fleet: watch::Sender<Option<Arc<FleetSnapshot>>>,
    pub stop: Option<oneshot::Sender<()>>,
    pub serving: JoinHandle<Result<Counters, Error>>,
    pub counters: Rc<SharedCounters>,
    configuration_age: Option<Duration>,
    /// Ids and addresses of the members that receive quota requests; empty by default.
    pub quota_members: Vec<(u64, SocketAddrV4)>,
}

/// Routes to service `s` with up to three attempts: `/pure/`, `/once/` (mutating), `/live/` (stream), `/more/`
/// (resumable stream), and with a deadline of 150 ms `/quick/` (pure) and `/quick/once/` (mutating).
pub const ROUTES: &str = r#"
    {"name":"p","hostname":"x.example","path_prefix":"/pure/","route_class":"pure","deadline_ms":8000,"target_ms":100,"service":"s","max_tries":3},
    {"name":"o","hostname":"x.example","path_prefix":"/once/","route_class":"mutating","deadline_ms":8000,"service":"s","max_tries":3},
    {"name":"l","hostname":"x.example","path_prefix":"/live/","route_class":"streaming","deadline_ms":8000,"service":"s","max_tries":3},
    {"name":"m","hostname":"x.example","path_prefix":"/more/","route_class":"streaming","deadline_ms":8000,"service":"s","max_tries":3,"resumable":true},
    {"name":"q","hostname":"x.example","path_prefix":"/quick/","route_class":"pure","deadline_ms":150,"service":"s","max_tries":3},
    {"name":"d","hostname":"x.example","path_prefix":"/quick/once/","route_class":"mutating","deadline_ms":150,"service":"s","max_tries":3}"#;

/// Returns a configuration with these routes, services `s` and `t`, and small limits on requests.
pub fn configuration(version: u64, routes: &str) -> Arc<Configuration> {
    let text = format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"s"}},{{"name":"t"}}],"limits":{{"max_header_bytes":4096,"max_body_bytes":100000}}}}"#
    );
    Arc::new(Configuration::read(text.as_bytes(), version - 1).unwrap())
}

/// Settings of the process that a test can change.
pub struct ProxyOptions {
    pub grace_s: f64,
    pub retry_slack: f64,
    pub fd_limit: u64,
    pub memory_mb: u64,
    pub link_mbps: f64,
    /// Address at which the proxy receives prefix hints; by default it receives none.
    pub hints: Option<SocketAddrV4>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Further bounds as JSON fields, each preceded by a comma.
    pub more_bounds: String,
    /// Upper bound of the configuration's age; `None` if unknown.
    pub configuration_age: Option<Duration>,
}

impl Default for ProxyOptions {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            retry_slack: 1000.0,
            fd_limit: 1024,
            memory_mb: 256,
            link_mbps: 1000.0,
            hints: None,
            bootstrap: false,
            more_bounds: String::new(),
            configuration_age: Some(Duration::ZERO),
        }
    }
}

impl Proxy {
    /// Starts a proxy that has no snapshot of the fleet yet.
    pub async fn without_configuration() -> Self {
        Self::with_options(ProxyOptions::default()).await
    }

    /// Starts a proxy with these settings that has no snapshot of the fleet yet.
    pub async fn with_options(options: ProxyOptions) -> Self {
        let ProxyOptions {
            grace_s,
            retry_slack,
            fd_limit,
            memory_mb,
            link_mbps,
            hints,
            bootstrap,
            more_bounds,
            configuration_age,
        } = options;
        // Hints are received at the third port of the range.
        let (ip, ports) = hints.map_or((Ipv4Addr::LOCALHOST, (7000, 7001)), |address| {
            (*address.ip(), (address.port() - 2, address.port()))
        });
        let (front, readiness) = (unused_address().await, unused_address().await);
        let text = format!(
            r#"{{"node_name":"n","role":"r","ip_addr":"{ip}","zone":"a","port_range":[{},{}],"bootstrap":{bootstrap},
                "bind":{{"front":"{front}","readiness":"{readiness}"}},"bounds":{{"grace_s":{grace_s},"retry_slack":{retry_slack}{more_bounds}}},
                "limits":{{"memory_mb":{memory_mb},"fd_limit":{fd_limit},"link_mbps":{link_mbps}}}}}"#,
            ports.0, ports.1
        );
        let settings = ProcessSettings::read(&text).unwrap();
        let (fleet, fleet_updates) = watch::channel(None);
        let (stop, stopped) = oneshot::channel::<()>();
        let stopped = async move {
            if stopped.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let counters = Rc::new(SharedCounters::default());
        let serve_task = tokio::task::spawn_local(proxy::serve_with_counters(
            settings,
            fleet_updates,
            counters.clone(),
            stopped,
        ));
        // The listeners are bound once the task has run.
        while !serve_task.is_finished()
            && TcpStream::connect(SocketAddr::V4(readiness)).await.is_err()
        {
            tokio::task::yield_now().await;
        }
        Self {
            client_address: front,
            readiness_address: readiness,
            fleet,
            stop: Some(stop),
            serving: serve_task,
            counters,
            configuration_age,
            quota_members: Vec::new(),
        }
    }

    /// Starts a proxy with [`ROUTES`] and these hosts.
    pub async fn new(hosts: &[&FakeHost]) -> Self {
        let proxy = Self::without_configuration().await;
        proxy
            .apply_fleet(
                configuration(1, ROUTES),
                hosts.iter().map(|host| host.info.clone()).collect(),
            )
            .await;
        proxy
    }

    /// Starts a proxy with [`ROUTES`] and one host.
    pub async fn with_one_host() -> (FakeHost, Self) {
        let host = FakeHost::new("h1", "s").await;
        let proxy = Self::new(&[&host]).await;
        (host, proxy)
    }

    /// Starts a proxy with [`ROUTES`] and two hosts.
    pub async fn with_two_hosts() -> (FakeHost, FakeHost, Self) {
        let host_1 = FakeHost::new("h1", "s").await;
        let host_2 = FakeHost::new("h2", "s").await;
        let proxy = Self::new(&[&host_1, &host_2]).await;
        (host_1, host_2, proxy)
    }

    /// Starts a proxy with [`ROUTES`] and one host, whose graceful shutdown may take `grace_s` seconds.
    pub async fn with_grace(grace_s: f64, host: &FakeHost) -> Self {
        let proxy = Self::with_options(ProxyOptions {
            grace_s,
            ..ProxyOptions::default()
        })
        .await;
        proxy
            .apply_fleet(configuration(1, ROUTES), vec![host.info.clone()])
            .await;
        proxy
    }

    /// Passes a configuration and hosts to the proxy, and waits until it has applied them.
    pub async fn apply_fleet(&self, configuration: Arc<Configuration>, hosts: Vec<HostInfo>) {
        self.apply_fleet_with_peers(configuration, hosts, vec![])
            .await;
    }

    /// Does the same as [`Proxy::apply_fleet`], with the addresses at which other proxies receive prefix hints.
    pub async fn apply_fleet_with_peers(
        &self,
        configuration: Arc<Configuration>,
        hosts: Vec<HostInfo>,
        peers: Vec<SocketAddrV4>,
    ) {
        let configuration_age = self.configuration_age;
        self.fleet
            .send(Some(Arc::new(FleetSnapshot {
                configuration,
                hosts,
                proxy_count: 2,
                peer_hint_addresses: peers,
                quota_members: self.quota_members.clone(),
                configuration_age: ConfigurationAge::new(move || configuration_age),
            })))
            .unwrap();
        for _ in 0..4 {
            tokio::task::yield_now().await;
        }
    }

    /// Opens a client connection.
    pub async fn client(&self) -> TestConnection {
        TestConnection::connect(self.client_address).await
    }

    /// Returns the status code of the readiness probe.
    pub async fn readiness_status(&self) -> u16 {
        let mut probe = TestConnection::connect(self.readiness_address).await;
        probe
            .send("GET /fennelpin/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            .await;
        probe.read_message().await.unwrap().status()
    }

    /// Sends a request with the attempt id `one` on a new connection, and returns the connection.
    pub async fn send_request(&self, path: &str) -> TestConnection {
        let mut client = self.client().await;
        client.send(&request(path, "one", "")).await;
        client
    }

    /// Signals the proxy to shut down.
    pub fn signal_stop(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    /// Shuts the proxy down, waits for its end, and returns its counters.
    pub async fn stop(mut self) -> Counters {
        self.stop.take().unwrap().send(()).unwrap();
        self.serving.await.unwrap().unwrap()
    }
}
