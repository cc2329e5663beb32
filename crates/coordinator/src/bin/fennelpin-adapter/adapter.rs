//! The instances, and the batches of events that the simulator sends them.

use crate::error::{InputError, WireError};
use crate::fields::Fields;
use crate::wire::{self, RawEntry, WireNames};
use base64::{engine::general_purpose::STANDARD, Engine};
use coordinator::core::settings::from_ms;
use coordinator::peers::LoadPublisher;
use coordinator::{Action, Event, Router};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::time::Duration;

/// One router with its names.
struct Instance {
    router: Router,
    names: WireNames,
    load_publisher: Option<LoadPublisher>,
    /// What the router asked for in this batch so far.
    actions: Vec<Action>,
    /// Whether the batch had an event for it: only then its turn ends with the batch.
    has_events: bool,
}

/// All instances, and the server lists by the slot that they were sent for.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u32, Vec<RawEntry>>,
}

impl Adapter {
    /// Plays batches until the input ends, and writes the replies.
    ///
    /// # Errors
    /// If a line can't be read, the input ends within a batch, or the output fails.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), InputError> {
        let mut now = None;
        let mut line_number = 0u64;
        let mut lines = input.lines().map_while(io::Result::ok);
        while let Some(line) = lines.next() {
            line_number += 1;
            let rows = &mut (&mut lines).inspect(|_| line_number += 1);
            let step = self.handle_line(&line, rows, &mut now, &mut output);
            step.map_err(|error| InputError {
                line: line_number,
                error,
            })?;
        }
        if now.is_some() {
            return Err(InputError {
                line: line_number,
                error: WireError::BatchCutShort,
            });
        }
        Ok(())
    }

    /// Handles a line within or outside a batch. `now` is the time of the batch, if there is one.
    fn handle_line(
        &mut self,
        line: &str,
        rows: &mut dyn Iterator<Item = String>,
        now: &mut Option<Duration>,
        output: &mut impl Write,
    ) -> Result<(), WireError> {
        let mut fields = Fields::new(line);
        match (fields.word(), *now) {
            ("frame", None) => *now = Some(from_ms(fields.number("clock")?)),
            ("over_to_you", Some(clock)) => {
                let mut reply = String::new();
                self.end_turn(clock, &mut reply);
                reply.push_str("ack\n");
                *now = None;
                output.write_all(reply.as_bytes())?;
                output.flush()?;
            }
            ("", None) => {}
            (word, None) => return Err(WireError::OutsideBatch(word.to_owned())),
            (_, Some(clock)) => self.handle_message(clock, &mut fields, rows)?,
        }
        Ok(())
    }

    fn handle_message(
        &mut self,
        now: Duration,
        fields: &mut Fields,
        rows: &mut dyn Iterator<Item = String>,
    ) -> Result<(), WireError> {
        if fields.word() == "snapshot_rows" {
            return self.read_list(fields, rows);
        }
        let who: u32 = fields.value("who")?;
        match fields.word() {
            "start" => {
                let instance = Instance::start(now, fields)?;
                self.instances.insert(who, instance);
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
        let event = match fields.word() {
            "memo" => {
                instance.receive_gossip(now, fields)?;
                None
            }
            "roster_change" => {
                let kind = fields.text("scope")?;
                let slot = fields.optional().and_then(|slot| slot.parse().ok());
                let list = slot.and_then(|slot: u32| self.lists.get(&slot));
                let entries = list.map_or(&[][..], Vec::as_slice);
                Some(instance.names.server_list(kind, entries)?)
            }
            _ => instance.names.read_event(fields)?,
        };
        if let Some(event) = event {
            instance.router.handle(now, event, &mut instance.actions);
        }
        instance.has_events = true;
        Ok(())
    }

    /// Reads a server list with its rows, which follow on lines of their own.
    fn read_list(
        &mut self,
        fields: &mut Fields,
        rows: &mut dyn Iterator<Item = String>,
    ) -> Result<(), WireError> {
        let slot = fields.value("slot")?;
        let count: usize = fields.value("elements")?;
        let mut entries = Vec::new();
        for _ in 0..count {
            let row = rows.next().ok_or(WireError::ListCutShort)?;
            entries.push(wire::read_entry(&mut Fields::new(&row))?);
        }
        self.lists.insert(slot, entries);
        Ok(())
    }

    fn end_turn(&mut self, now: Duration, reply: &mut String) {
        for (who, instance) in &mut self.instances {
            if instance.has_events {
                instance.end_turn(*who, now, reply);
            }
        }
    }
}

impl Instance {
    /// Reads a `start`.
    fn start(now: Duration, fields: &mut Fields) -> Result<Self, WireError> {
        let seed: i128 = fields.value("nonce64")?;
        let (settings, names) = wire::read_settings(fields.tail("options")?)?;
        let router = Router::new(settings, seed as u64);
        // Instances start anew with the clock further on: a later incarnation has a larger number.
        let incarnation = now.as_micros() as u64;
        let load_publisher = names
            .gossip
            .map(|gossip| LoadPublisher::new(gossip, incarnation, seed as u64));
        Ok(Self {
            router,
            names,
            load_publisher,
            actions: Vec::new(),
            has_events: true,
        })
    }

    fn receive_gossip(&mut self, now: Duration, fields: &mut Fields) -> Result<(), WireError> {
        let from = fields.value("author")?;
        // What can't be decoded is a peer's fault, and no reason to stop.
        let datagram = STANDARD.decode(fields.text("blob")?).unwrap_or_default();
        if let Some(publisher) = &mut self.load_publisher {
            let _ = publisher.receive(now, from, &datagram);
        }
        Ok(())
    }

    /// Lets the router decide; writes its gossip and its actions.
    fn end_turn(&mut self, who: u32, now: Duration, reply: &mut String) {
        let (router, names, actions) = (&mut self.router, &self.names, &mut self.actions);
        if let Some(publisher) = &mut self.load_publisher {
            publisher.report_peer_loads(now, router, actions);
        }
        router.handle(now, Event::TurnEnded, actions);
        let update = self.load_publisher.as_mut().and_then(|publisher| {
            publisher.next_update(now, router, actions, |id| names.server(id))
        });
        if let Some(update) = update {
            let blob = STANDARD.encode(update.bytes());
            writeln!(reply, "broadcast_to {who} all {blob}").expect("writing to a string");
        }
        for action in actions.drain(..) {
            names.write_action(who, &action, reply);
        }
        self.has_events = false;
    }
}
