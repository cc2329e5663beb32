//! The operator's address: ready, figures, hosts out by hand. Its server has a thread and a runtime of its
//! own, so that it answers while the core is busy; it reads what the core publishes, and waits for it only
//! for the word that an order is in force.

use super::hot_restart::never;
use super::list_overlay::{Order, Request as Asked};
use super::manual_ejection::EjectionError;
use super::Readiness;
use crate::counters::Counters;
use crate::net::http::{self, Answering, Gated, Incoming, Limits, Request, Response, Service};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Callers at once; one more takes the place of whoever has been asking for longest.
const CALLERS: usize = 24;
/// Callers that are on their way out, beside those.
const LEAVING: usize = 4;
/// Answers are due within 1 s: an order that is not in force by then is answered with a no.
const ORDER_WAIT: Duration = Duration::from_millis(800);
/// Longest id of a host that is looked for.
const LONGEST_ID: usize = 256;

/// What the desk answers from.
pub struct AdminServer {
    readiness: Readiness,
    counters: Counters,
    members: mpsc::Sender<Asked>,
}

impl AdminServer {
    /// A desk whose orders go to this actor of the list.
    pub fn new(readiness: Readiness, counters: Counters, members: mpsc::Sender<Asked>) -> Self {
        Self {
            readiness,
            counters,
            members,
        }
    }

    /// Serves on a thread of its own for as long as the process lives.
    ///
    /// # Errors
    /// If the thread or its runtime can't be had.
    pub fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let limits = Limits {
            clients: CALLERS,
            most: CALLERS + LEAVING,
            serve_on: Duration::ZERO,
            answer_by: Duration::ZERO,
            patience: Duration::ZERO,
            one_call: true,
            beside: never(),
        };
        let work = move || {
            runtime.block_on(async move {
                let listener = match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => listener,
                    Err(e) => return log::error!(error:% = e; "operator's address"),
                };
                let (_never, stop) = watch::channel(false);
                let incoming = Incoming::Listener(Gated {
                    listener,
                    beside: never(),
                });
                http::serve(incoming, Arc::new(self), limits, Counters::default(), stop).await;
            });
        };
        std::thread::Builder::new()
            .name("desk".into())
            .spawn(work)
            .map(drop)
    }

    fn ready(&self) -> Response {
        match self.readiness.obstacle() {
            None => Response::text(200, "ready\n"),
            Some(why) => Response::text(503, format!("{why}\n")),
        }
    }

    fn figures(&self) -> Response {
        let lines = self
            .counters
            .figures()
            .into_iter()
            .map(|(name, n)| format!("{name}={n}\n"));
        Response::text(200, lines.collect::<String>())
    }

    fn order(&self, id: &str, offline: bool) -> Answering {
        let host = percent_encoding::percent_decode_str(id)
            .decode_utf8()
            .unwrap_or_default()
            .into_owned();
        if host.is_empty() || host.len() > LONGEST_ID {
            return done(Response::text(404, "no such district host\n"));
        }
        let (reply, word) = oneshot::channel();
        let said = if offline { "offline\n" } else { "online\n" };
        if self
            .members
            .try_send(Asked::Order(Order {
                host,
                offline,
                reply,
            }))
            .is_err()
        {
            return done(Response::text(503, "too many orders wait\n"));
        }
        Box::pin(async move {
            match tokio::time::timeout(ORDER_WAIT, word).await {
                Ok(Ok(Ok(()))) => Response::text(200, said),
                Ok(Ok(Err(refusal))) => {
                    let status = if refusal == EjectionError::Unknown {
                        404
                    } else {
                        503
                    };
                    Response::text(status, format!("{refusal}\n"))
                }
                Ok(Err(_)) => Response::text(503, "stopping\n"),
                Err(_) => Response::text(503, "not in force yet: call again\n"),
            }
        })
    }
}

fn done(response: Response) -> Answering {
    Box::pin(std::future::ready(response))
}

impl Service for AdminServer {
    fn answer(&self, request: Request) -> Answering {
        let path: Vec<&str> = request.path.split('/').skip(1).collect();
        let method = match path[..] {
            ["control", "ready" | "counters"] => "GET",
            ["control", "district-hosts", _, "offline" | "online"] => "POST",
            _ => return done(Response::text(404, "no such path\n")),
        };
        if request.method != method {
            let no = Response::text(405, format!("only {method} here\n"));
            return done(no.with("Allow", method.to_owned()));
        }
        match path[..] {
            ["control", "ready"] => done(self.ready()),
            ["control", "counters"] => done(self.figures()),
            [_, _, id, what] => self.order(id, what == "offline"),
            _ => done(Response::text(404, "no such path\n")),
        }
    }

    fn error(&self, status: u16, reason: &str) -> Response {
        Response::text(status, format!("{reason}\n"))
    }
}
