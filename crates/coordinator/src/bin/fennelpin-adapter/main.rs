//! Runs one router per instance on the bench's wire: batches of events in, replies out.

mod wire;

use base64::{engine::general_purpose::STANDARD, Engine};
use coordinator::peers::LoadPublisher;
use coordinator::{Action, Event, Router};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use std::time::Duration;
use wire::{Fields, RawEntry, Result, Words};

struct Instance {
    router: Router,
    words: Words,
    load_publisher: Option<LoadPublisher>,
    /// What the router asked for in this batch so far.
    actions: Vec<Action>,
    touched: bool,
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u32, Vec<RawEntry>>,
}

impl Adapter {
    fn line(
        &mut self,
        now: Duration,
        line: &str,
        rows: &mut dyn Iterator<Item = String>,
    ) -> Result<()> {
        let mut f = Fields::new(line);
        if f.what() == "snapshot_rows" {
            let slot = f.value("slot")?;
            let count: usize = f.value("elements")?;
            let mut entries = Vec::new();
            for _ in 0..count {
                let row = rows
                    .next()
                    .ok_or("snapshot_rows: the input ends within the list")?;
                entries.push(wire::entry(&mut Fields::new(&row))?);
            }
            self.lists.insert(slot, entries);
            return Ok(());
        }
        let who: u32 = f.value("who")?;
        match f.what() {
            "start" => {
                let seed: i128 = f.value("nonce64")?;
                let (settings, words) = wire::settings(f.tail("options")?)?;
                let router = Router::new(settings, seed as u64);
                // Instances start anew with the clock further on: a later life has a larger number.
                let incarnation = now.as_micros() as u64;
                let load_publisher = words
                    .talk
                    .map(|talk| LoadPublisher::new(talk, incarnation, seed as u64));
                let fresh = Instance {
                    router,
                    words,
                    load_publisher,
                    actions: Vec::new(),
                    touched: true,
                };
                self.instances.insert(who, fresh);
                return Ok(());
            }
            "exit" => {
                self.instances.remove(&who);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&who) else {
            return Ok(());
        };
        if f.what() == "memo" {
            let from = f.value("author")?;
            // What can't be read is a peer's fault, and no reason to stop.
            let blob = STANDARD.decode(f.text("blob")?).unwrap_or_default();
            let _ = instance
                .load_publisher
                .as_mut()
                .map(|v| v.receive(now, from, &blob));
            instance.touched = true;
            return Ok(());
        }
        let event = if f.what() == "roster_change" {
            let kind = f.text("scope")?;
            let slot = f.optional().and_then(|s| s.parse().ok());
            let list = slot.and_then(|s: u32| self.lists.get(&s));
            Some(instance.words.list(kind, list.map_or(&[], Vec::as_slice))?)
        } else {
            instance.words.event(&mut f)?
        };
        if let Some(event) = event {
            instance.router.handle(now, event, &mut instance.actions);
        }
        instance.touched = true;
        Ok(())
    }

    fn end_turn(&mut self, now: Duration, reply: &mut String) {
        for (who, instance) in self.instances.iter_mut().filter(|(_, i)| i.touched) {
            let Instance {
                router,
                words,
                load_publisher,
                actions,
                ..
            } = instance;
            load_publisher
                .iter_mut()
                .for_each(|v| v.report_peer_loads(now, router, actions));
            router.handle(now, Event::TurnEnded, actions);
            let word = load_publisher
                .as_mut()
                .and_then(|v| v.next_update(now, router, actions, |id| words.server(id)));
            if let Some(word) = word {
                let blob = STANDARD.encode(word.bytes());
                writeln!(reply, "broadcast_to {who} all {blob}").expect("writing to a string");
            }
            for action in instance.actions.drain(..) {
                instance.words.action(*who, &action, reply);
            }
            instance.touched = false;
        }
    }

    /// Plays batches until the input ends.
    fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<()> {
        let mut now = None;
        let mut count = 0u64;
        let mut lines = input.lines().map_while(io::Result::ok);
        while let Some(line) = lines.next() {
            count += 1;
            let step = match (line.split(' ').next().unwrap_or(""), now) {
                ("frame", None) => {
                    let mut f = Fields::new(&line);
                    f.number("clock")
                        .map(|clock| now = Some(wire::from_ms(clock)))
                }
                ("over_to_you", Some(clock)) => {
                    let mut reply = String::new();
                    self.end_turn(clock, &mut reply);
                    reply.push_str("ack\n");
                    now = None;
                    let sent = output
                        .write_all(reply.as_bytes())
                        .and_then(|()| output.flush());
                    sent.map_err(|e| format!("output: {e}"))
                }
                ("", None) => Ok(()),
                (word, None) => Err(format!("'{word}' stands outside a batch")),
                (_, Some(clock)) => {
                    self.line(clock, &line, &mut (&mut lines).inspect(|_| count += 1))
                }
            };
            step.map_err(|e| format!("line {count}: {e}"))?;
        }
        if now.is_some() {
            return Err(format!("line {count}: the input ends within a batch"));
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    match Adapter::default().run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fennelpin-adapter: {message}");
            ExitCode::from(2)
        }
    }
}
