//! The router instances, and the processing of batches of events for them.

use crate::error::{InputError, WireError};
use crate::fields::Fields;
use crate::wire::{self, RawServerEntry, WireNames};
use base64::{engine::general_purpose::STANDARD, Engine};
use coordinator::core::settings::from_ms;
use coordinator::peers::LoadPublisher;
use coordinator::{Action, Event, Router};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write};
use std::time::Duration;

/// One router, with the names that the simulator uses for its objects.
struct Instance {
    router: Router,
    names: WireNames,
    load_publisher: Option<LoadPublisher>,
    /// Actions of the router in this batch so far.
    actions: Vec<Action>,
    /// Whether the batch had an event for this instance. Only then does its turn end with the batch.
    has_events: bool,
}

/// All instances by their number, and the server lists by their slot.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u32, Vec<RawServerEntry>>,
}

impl Adapter {
    /// Processes batches until the input ends, and writes the replies.
    ///
    /// # Errors
    /// If a message is invalid, the input ends within a batch, or the output fails.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), InputError> {
        let mut now = None;
        let mut line_number = 0u64;
        let mut lines = input.lines().map_while(io::Result::ok);
        while let Some(line) = lines.next() {
            line_number += 1;
            let rows = &mut (&mut lines).inspect(|_| line_number += 1);
            let handled = self.handle_line(&line, rows, &mut now, &mut output);
            handled.map_err(|error| InputError {
                line: line_number,
                error,
            })?;
        }
        if now.is_some() {
            return Err(InputError {
                line: line_number,
                error: WireError::TruncatedBatch,
            });
        }
        Ok(())
    }

    /// Handles a line. `now` is the time of the current batch, or `None` outside a batch.
    fn handle_line(
        &mut self,
        line: &str,
        rows: &mut dyn Iterator<Item = String>,
        now: &mut Option<Duration>,
        output: &mut impl Write,
    ) -> Result<(), WireError> {
        let mut fields = Fields::new(line);
        match (fields.message_type(), *now) {
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
            (message_type, None) => return Err(WireError::OutsideBatch(message_type.to_owned())),
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
        if fields.message_type() == "snapshot_rows" {
            return self.read_server_list(fields, rows);
        }
        let instance_id: u32 = fields.value("who")?;
        match fields.message_type() {
            "start" => {
                let instance = Instance::start(now, fields)?;
                self.instances.insert(instance_id, instance);
                return Ok(());
            }
            "exit" => {
                self.instances.remove(&instance_id);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&instance_id) else {
            return Ok(());
        };
        let event = match fields.message_type() {
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

    /// Reads a server list. Its entries follow on separate lines.
    fn read_server_list(
        &mut self,
        fields: &mut Fields,
        rows: &mut dyn Iterator<Item = String>,
    ) -> Result<(), WireError> {
        let slot = fields.value("slot")?;
        let count: usize = fields.value("elements")?;
        let mut entries = Vec::new();
        for _ in 0..count {
            let row = rows.next().ok_or(WireError::TruncatedServerList)?;
            entries.push(wire::read_server_entry(&mut Fields::new(&row))?);
        }
        self.lists.insert(slot, entries);
        Ok(())
    }

    fn end_turn(&mut self, now: Duration, reply: &mut String) {
        for (instance_id, instance) in &mut self.instances {
            if instance.has_events {
                instance.end_turn(*instance_id, now, reply);
            }
        }
    }
}

impl Instance {
    /// Creates an instance from a `start` message.
    fn start(now: Duration, fields: &mut Fields) -> Result<Self, WireError> {
        let seed: i128 = fields.value("nonce64")?;
        let (settings, names) = wire::read_settings(fields.tail("options")?)?;
        let router = Router::new(settings, seed as u64);
        // The clock advances between restarts of an instance, so a later incarnation has a larger number.
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
        // An undecodable datagram is the fault of a peer, and no reason to stop.
        let datagram = STANDARD.decode(fields.text("blob")?).unwrap_or_default();
        if let Some(publisher) = &mut self.load_publisher {
            let _ = publisher.receive(now, from, &datagram);
        }
        Ok(())
    }

    /// Ends the turn of the router, and writes its gossip and its actions.
    fn end_turn(&mut self, instance_id: u32, now: Duration, reply: &mut String) {
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
            writeln!(reply, "broadcast_to {instance_id} all {blob}").expect("writing to a string");
        }
        for action in actions.drain(..) {
            names.write_action(instance_id, &action, reply);
        }
        self.has_events = false;
    }
}
