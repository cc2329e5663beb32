//! The machines: how members come, start and end.

use super::{Node, What, World};
use crate::faults::Planted;
use crate::plan::ms;
use configuration::FaultBudget;
use control_plane::member::{Config, Input, Member};
use protocol::{Addr, MemberInfo, Record};
use rand_core::RngCore;
use std::time::Duration;

impl World<'_> {
    pub(super) fn add(&mut self, id: u64) {
        let n = self.nodes.len() as u32;
        let addr = Addr { ip: 0x0a00_0001 + n, port: 7660 };
        let zone = format!("z{}", n % 3);
        let seat = MemberInfo {
            id,
            name: format!("core-{n}"),
            addr,
            control: Addr { port: 80, ..addr },
            zone,
            region: "r".into(),
        };
        self.nodes.push(Node {
            seat,
            member: None,
            life: 0,
            records: vec![],
            frozen: false,
            gone: false,
            wake: ms(0),
            disk: (false, false, 1),
            held_back: vec![],
        });
    }

    pub(super) fn start(&mut self, n: usize) {
        if self.nodes[n].gone {
            return;
        }
        let first = self.nodes[n].life == 0 && n < self.plan.members;
        let seeds: Vec<MemberInfo> = self.nodes.iter().take(3).map(|n| n.seat.clone()).collect();
        let random = u64::from(self.rng.next_u32());
        let losses = self.plan.losses - u32::from(self.plan.planted == Planted::TooFewReplicas);
        let node = &mut self.nodes[n];
        node.life += 1;
        if self.plan.planted == Planted::ForgetsPromises {
            node.records.retain(|r| !matches!(protocol::read_one(r), Ok(Record::Promised { .. })));
        }
        let config = Config {
            me: node.seat.clone(),
            bootstrap_voters: (first
                || (self.plan.planted == Planted::WipedVotes && node.records.is_empty()))
            .then_some(seeds),
            budget: FaultBudget { machine_losses: losses, zones: 0, region_losses: 0 },
            lease: ms(1000),
            patience: ms(900),
            stall: ms(600),
        };
        node.member = Some(Member::new(config, &node.records, self.now, random));
        self.at(self.now, n, What::Hello);
        self.step(n, Input::Tick);
    }

    pub(super) fn down(&mut self, n: usize, back: Duration) {
        // What the dead process still had under way comes to nothing.
        self.nodes[n].member = None;
        self.nodes[n].held_back.clear();
        let lost: Vec<u64> = self.queue.iter().filter(|q| q.0 .2 == n).map(|q| q.0 .1).collect();
        for number in lost {
            if !matches!(self.what.get(&number), Some(What::Fault(_) | What::Heal(_) | What::Call)) {
                self.what.remove(&number);
            }
        }
        self.at(self.now + back, n, What::Start);
    }
}
