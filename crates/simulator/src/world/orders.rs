//! Several operators: orders of one number with different content, one content from two senders, answers that are
//! lost or late, taken orders sent again. Each answer of each member is checked, lost or not.

use super::{What, World};
use crate::faults::Moment;
use crate::plan::{ms, Orders};
use crate::planted::Planted;
use configuration::{Configuration, ResultCode};
use control_plane::member::Input;
use protocol::Command;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

/// Tickets of operators' calls begin here.
pub(super) const FIRST_TICKET: u64 = 1 << 40;
/// A call without a clear answer is made again after this.
const TRY_AGAIN: Duration = Duration::from_millis(1000);
/// After a fault has struck or healed, orders made from here on have to be answered in time.
const SETTLED: Duration = Duration::from_millis(3000);
/// Longest time to a clear answer in calm.
const ANSWER_BOUND: Duration = Duration::from_millis(4000);
/// Drains are remembered at least for this.
const DRAINS_KEPT: Duration = Duration::from_secs(115);

/// What an operator is told.
#[derive(Debug)]
pub(super) enum Told {
    Taken,
    Refused,
    Read(u64),
}

/// A configuration that was sent.
pub(super) struct Content {
    pub(super) base: u64,
    pub(super) version: u64,
    body: Arc<Vec<u8>>,
    /// Acknowledged, or seen in force.
    taken: bool,
    refused: Option<ResultCode>,
}

impl Content {
    /// The next content that is sent, with so many bytes of padding.
    pub(super) fn new(book: &OrderBook, base: u64, version: u64, padding: usize) -> Self {
        let body = Arc::new(body(book.contents.len(), version, padding));
        Self {
            base,
            version,
            body,
            taken: false,
            refused: None,
        }
    }
}

/// An order that its operator has no clear answer to.
pub(super) struct Order {
    pub(super) content: usize,
    pub(super) operator: usize,
    made: Duration,
    /// Whether a member has given a clear answer, which may have been lost; also where none is due, as the base may
    /// never come.
    clear: bool,
    tried: Duration,
}

#[derive(Clone)]
enum Asked {
    Order(u64),
    Again,
    Read(usize),
    Drain(String),
}

struct Attempt {
    asked: Asked,
    content: Option<usize>,
    /// Newest version that was acknowledged when it was sent.
    known: u64,
}

/// What operators have sent and were told.
#[derive(Default)]
pub(super) struct OrderBook {
    pub(super) contents: Vec<Content>,
    pub(super) open: BTreeMap<u64, Order>,
    attempts: BTreeMap<u64, Attempt>,
    numbers: u64,
    /// What each operator knows to be in force.
    pub(super) known: BTreeMap<usize, u64>,
    /// Newest version that was acknowledged to anyone.
    pub(super) newest: u64,
    /// When newest versions were acknowledged.
    pub(super) acknowledged_at: VecDeque<(Duration, u64)>,
    pub(super) confirmed: BTreeMap<u64, usize>,
    confirmed_on: BTreeMap<u64, usize>,
    pub(super) in_force: BTreeMap<u64, usize>,
    /// The ledger after each change that was shown: configuration and drains.
    by_index: BTreeMap<u64, (Option<usize>, u64)>,
    drained: BTreeMap<String, Duration>,
}

/// A configuration with services beside the one that its route names, of about so many bytes.
fn body(token: usize, version: u64, padding: usize) -> Vec<u8> {
    let more: String = (0..padding / 20)
        .map(|n| format!(r#",{{"name":"s{token}-{n}"}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"o{token}","hostname":"h.example","path_prefix":"/","route_class":"pure","deadline_ms":1000,"service":"s"}}],"services":[{{"name":"s"}}{more}],"limits":{{}}}}"#
    )
    .into_bytes()
}

/// Which content a configuration is.
fn token(document: &Configuration) -> Option<usize> {
    document
        .routes
        .first()?
        .value
        .name
        .strip_prefix('o')?
        .parse()
        .ok()
}

fn hash_of(drains: &[String]) -> u64 {
    let mut sorted: Vec<&String> = drains.iter().collect();
    sorted.sort_unstable();
    let mut hasher = DefaultHasher::new();
    sorted.hash(&mut hasher);
    hasher.finish()
}

impl OrderBook {
    /// Notes a configuration seen in force; what that breaks.
    fn note_in_force(&mut self, document: &Configuration) -> Result<Option<usize>, String> {
        if document.version == 0 {
            return Ok(None);
        }
        let version = document.version;
        let known =
            token(document).filter(|t| self.contents.get(*t).is_some_and(|c| c.version == version));
        let Some(index) = known else {
            return Err(format!("{version} is in force, which nobody sent"));
        };
        let other = *self.in_force.entry(version).or_insert(index);
        if other != index {
            return Err(format!("{version} is content {other} and {index}"));
        }
        if self.confirmed.get(&version).is_some_and(|c| *c != index) {
            return Err(format!(
                "content {index} is in force as {version}, another one was confirmed"
            ));
        }
        let content = &mut self.contents[index];
        content.taken = true;
        if let Some(code) = content.refused {
            return Err(format!(
                "content {index} ({version}) is in force, it was refused with {code:?}"
            ));
        }
        Ok(Some(index))
    }

    /// Notes the answer to an order; what it breaks. Whether it was clear.
    fn note_answer(
        &mut self,
        now: Duration,
        index: usize,
        code: ResultCode,
    ) -> Result<bool, String> {
        let (base, version) = (self.contents[index].base, self.contents[index].version);
        match code.status() {
            200 => {
                if let Some(code) = self.contents[index].refused {
                    return Err(format!(
                        "content {index} ({version}) confirmed, it was refused with {code:?}"
                    ));
                }
                let other = *self.confirmed.entry(version).or_insert(index);
                let beside = *self.confirmed_on.entry(base).or_insert(index);
                if other != index || beside != index {
                    return Err(format!(
                        "contents {index}, {other} and {beside} were confirmed as {version} on {base}"
                    ));
                }
                if self.in_force.get(&version).is_some_and(|i| *i != index) {
                    return Err(format!(
                        "content {index} confirmed as {version}, another one is in force"
                    ));
                }
                self.contents[index].taken = true;
                if version > self.newest {
                    self.newest = version;
                    self.acknowledged_at.push_back((now, version));
                }
                Ok(true)
            }
            400..=499 => {
                if self.contents[index].taken {
                    let later = self.in_force.range(version + 1..).count();
                    return Err(format!(
                        "content {index} ({version}) refused with {code:?}, it was taken; {later} seen after it"
                    ));
                }
                let newest = self.in_force.keys().next_back().copied().unwrap_or(0);
                if code != ResultCode::OtherBase || newest == base {
                    return Err(format!(
                        "{version} on {base} refused with {code:?} while {newest} is in force"
                    ));
                }
                self.contents[index].refused = Some(code);
                Ok(true)
            }
            _ => Ok(false),
        }
    }

    /// Whether a ledger's configuration is what was shown under its number.
    pub(super) fn is_shown(&self, index: u64, document: &Configuration) -> bool {
        index == 0
            || self
                .by_index
                .get(&index)
                .is_some_and(|s| s.0 == token(document))
    }

    /// Of what is confirmed nothing may be left out of the chain of bases that led to what is in force.
    pub(super) fn left_out(&self) -> Option<String> {
        let (mut version, index) = self.in_force.iter().next_back().map(|(v, i)| (*v, *i))?;
        let mut index = index;
        let mut chain = vec![version];
        loop {
            version = self.contents[index].base;
            chain.push(version);
            let of_version = |c: &&usize| self.contents[**c].version == version;
            let candidates: Vec<usize> = (0..self.contents.len())
                .filter(|c| of_version(&c) && self.contents[*c].refused.is_none())
                .collect();
            let sure = self
                .in_force
                .get(&version)
                .or(self.confirmed.get(&version))
                .copied();
            match sure.or(candidates
                .first()
                .copied()
                .filter(|_| candidates.len() == 1))
            {
                Some(next) => index = next,
                None => break,
            }
        }
        let lost = self
            .confirmed
            .keys()
            .rev()
            .find(|v| **v > version && !chain.contains(v))?;
        Some(format!(
            "{lost} was confirmed and is not among what led to {}",
            chain[0]
        ))
    }
}

impl World<'_> {
    fn orders(&self) -> Orders {
        self.plan.orders.unwrap_or_default()
    }

    /// An operator makes a call, and makes those again that have no clear answer.
    pub(super) fn operator_calls(&mut self, operator: usize) {
        let orders = self.orders();
        let late = |o: &Order, now: Duration| o.operator == operator && now >= o.tried + TRY_AGAIN;
        let again: Vec<u64> = self
            .orders
            .open
            .iter()
            .filter(|o| late(o.1, self.now))
            .map(|o| *o.0)
            .collect();
        for number in again {
            let content = self.orders.open.get_mut(&number).map(|o| {
                o.tried = self.now;
                o.content
            });
            self.try_call(Asked::Order(number), content, true);
        }
        let waits = |o: &&Order| {
            o.operator == operator && !self.orders.is_guess(self.orders.contents[o.content].base)
        };
        let open = self.orders.open.values().filter(waits).count();
        match self.pick(10) {
            0 => self.try_call(Asked::Read(operator), None, false),
            1 => {
                self.orders.numbers += 1;
                let host = format!("i-{}", self.orders.numbers);
                self.try_call(Asked::Drain(host), None, false);
            }
            _ if open < orders.at_once => self.make_order(operator, &orders),
            _ => {}
        }
        let next = ms(5 + self.pick(orders.pause.as_millis() as u64));
        self.at(self.now + next, 0, What::Operator(operator));
    }

    fn make_order(&mut self, operator: usize, orders: &Orders) {
        let content = match self.guessed_content(operator, orders) {
            Some(guessed) => guessed,
            None => self.content_of_order(operator, orders),
        };
        self.orders.numbers += 1;
        let number = self.orders.numbers;
        let clear = self.orders.is_guess(self.orders.contents[content].base);
        let order = Order {
            content,
            operator,
            made: self.now,
            clear,
            tried: self.now,
        };
        self.orders.open.insert(number, order);
        self.try_call(Asked::Order(number), Some(content), false);
    }

    /// What an operator sends that builds on what it knows: something new, or what another one has under way, or a
    /// rival of that.
    fn content_of_order(&mut self, operator: usize, orders: &Orders) -> usize {
        let others: Vec<usize> = self
            .orders
            .open
            .values()
            .filter(|o| o.operator != operator)
            .map(|o| o.content)
            .collect();
        let other = if others.is_empty() || self.pick(4) > 0 {
            None
        } else {
            Some(others[self.pick(others.len() as u64) as usize])
        };
        match other {
            Some(same) if self.pick(2) == 0 => same,
            other => {
                let base = self.orders.known.get(&operator).copied().unwrap_or(0);
                let version = base + 1 + self.pick(3);
                let (base, version) = other.map_or((base, version), |o| {
                    (
                        self.orders.contents[o].base,
                        self.orders.contents[o].version,
                    )
                });
                let padding = self.pick(orders.padding as u64 + 1) as usize;
                let content = Content::new(&self.orders, base, version, padding);
                self.orders.contents.push(content);
                self.orders.contents.len() - 1
            }
        }
    }

    /// A taken order is sent again.
    pub(super) fn order_again(&mut self, content: usize) {
        self.try_call(Asked::Again, Some(content), false);
    }

    /// Sends a call to a member.
    fn try_call(&mut self, asked: Asked, content: Option<usize>, again: bool) {
        let Some(member) = self.called_member(matches!(asked, Asked::Read(_)), again) else {
            return;
        };
        self.orders.numbers += 1;
        let ticket = FIRST_TICKET + self.orders.numbers;
        let is_order = matches!(asked, Asked::Order(_));
        self.orders.attempts.insert(
            ticket,
            Attempt {
                asked,
                content,
                known: self.orders.newest,
            },
        );
        self.note(|_| format!("call {ticket} of content {content:?} goes to {member}"));
        let way = Duration::from_micros(300 + self.pick(1000));
        self.at(self.now + way, member, What::Order { ticket });
        if is_order {
            self.moment(Moment::OrderSent, member);
        }
    }

    /// A call reaches a member.
    pub(super) fn order_arrives(&mut self, n: usize, ticket: u64) {
        let Some(attempt) = self.orders.attempts.get(&ticket) else {
            return;
        };
        let command = match (&attempt.asked, attempt.content) {
            (Asked::Drain(host), _) => Command::Drain { host: host.clone() },
            (_, Some(content)) => {
                let content = &self.orders.contents[content];
                let body = content.body.to_vec();
                Command::Configure {
                    base: content.base,
                    amend: false,
                    body,
                }
            }
            _ => Command::Read { reserved: 0 },
        };
        if let (Command::Read { .. }, Some(shown)) = (&command, self.shown_without_lease(n)) {
            return self.order_answered(n, ticket, ResultCode::Ok, &shown);
        }
        self.member_learns(n);
        self.step(n, Input::Command { ticket, command });
    }

    /// A planted bug: what a member without a lease shows.
    fn shown_without_lease(&self, n: usize) -> Option<Vec<u8>> {
        let bug = matches!(
            self.plan.planted,
            Planted::ReadsAnywhere | Planted::RestoredAsFresh
        );
        self.nodes[n].shown.clone().filter(|_| bug)
    }

    /// A member answers a call: what may not be is a breach, whether the answer is lost or not.
    pub(super) fn order_answered(&mut self, n: usize, ticket: u64, code: ResultCode, body: &[u8]) {
        self.note(|_| format!("call {ticket} is answered by {n} with {code:?}"));
        let Some(attempt) = self.orders.attempts.remove(&ticket) else {
            return self.breach(n, format!("an answer to call {ticket}, which is not open"));
        };
        match self.check_answer(&attempt, code, body) {
            Err(breach) => self.breach(n, breach),
            Ok(Some(told)) => {
                let orders = self.orders();
                if let Asked::Order(number) = &attempt.asked {
                    self.answered_in_time(n, *number);
                }
                if self.pick(100) >= orders.lost {
                    let late = Duration::from_micros(self.pick(orders.late.as_micros() as u64 + 1));
                    self.orders.attempts.insert(ticket, attempt);
                    self.at(self.now + late, 0, What::Told { ticket, told });
                }
            }
            Ok(None) => {}
        }
    }

    fn check_answer(
        &mut self,
        attempt: &Attempt,
        code: ResultCode,
        body: &[u8],
    ) -> Result<Option<Told>, String> {
        let known = attempt.known;
        if let Some(content) = attempt.content {
            let fresh = !self.orders.contents[content].taken;
            let clear = self.orders.note_answer(self.now, content, code)?;
            self.report.acknowledged += u64::from(clear && code == ResultCode::Ok);
            if clear && code == ResultCode::Ok && fresh {
                // Somebody's order has just become safe.
                let acting = self.last_acting.unwrap_or(0);
                self.moment(Moment::Acknowledged, acting);
            }
            return Ok(clear.then_some(if code == ResultCode::Ok {
                Told::Taken
            } else {
                Told::Refused
            }));
        }
        match (&attempt.asked, code) {
            (Asked::Drain(host), ResultCode::Ok) => {
                self.report.acknowledged += 1;
                self.orders.drained.insert(host.clone(), self.now);
                Ok(None)
            }
            (Asked::Read(_), ResultCode::Ok) => {
                let document = Configuration::read(body, 0)
                    .map_err(|_| "a read that can't be read".to_owned())?;
                let version = document.version;
                if version < known {
                    return Err(format!("read {version} after {known} was acknowledged"));
                }
                self.orders.note_in_force(&document)?;
                Ok(Some(Told::Read(version)))
            }
            (Asked::Read(_), ResultCode::NoConfiguration) if known > 0 => {
                Err(format!("read nothing after {known} was acknowledged"))
            }
            (_, code) if (400..500).contains(&code.status()) => {
                Err(format!("refused with {code:?}"))
            }
            _ => Ok(None),
        }
    }

    fn is_steady(&self, made: Duration) -> bool {
        !self.plan.safety_only && made > self.calm_since + SETTLED
    }

    fn answered_in_time(&mut self, n: usize, number: u64) {
        let Some(order) = self.orders.open.get_mut(&number).filter(|o| !o.clear) else {
            return;
        };
        order.clear = true;
        let (made, took) = (order.made, self.now - order.made);
        if self.is_steady(made) {
            self.report.slowest = self.report.slowest.max(took);
            if took > ANSWER_BOUND {
                self.breach(n, format!("an order in calm times took {took:?}"));
            }
        }
    }

    /// An operator hears an answer.
    pub(super) fn operator_told(&mut self, ticket: u64, told: Told) {
        let Some(attempt) = self.orders.attempts.remove(&ticket) else {
            return;
        };
        if let Asked::Read(operator) = attempt.asked {
            if let Told::Read(version) = told {
                let known = self.orders.known.entry(operator).or_insert(0);
                *known = version.max(*known);
            }
            return;
        }
        let Asked::Order(number) = attempt.asked else {
            return;
        };
        let Some(order) = self.orders.open.remove(&number) else {
            return;
        };
        if !matches!(told, Told::Taken) {
            return self.try_call(Asked::Read(order.operator), None, false);
        }
        let version = self.orders.contents[order.content].version;
        let known = self.orders.known.entry(order.operator).or_insert(0);
        *known = version.max(*known);
        if self.pick(100) < self.orders().again {
            for _ in 0..=self.pick(2) {
                let later = ms([300, 3_000, 30_000][self.pick(3) as usize]);
                let at = self.now + ms(self.pick(later.as_millis() as u64));
                self.at(
                    at,
                    0,
                    What::Again {
                        content: order.content,
                    },
                );
            }
        }
    }

    /// A primary shows the newest acknowledged ledger.
    pub(super) fn order_shown(
        &mut self,
        n: usize,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) {
        if let Err(breach) = self.order_same(index, document, drains) {
            return self.breach(n, breach);
        }
        if let Err(breach) = self.orders.note_in_force(document) {
            return self.breach(n, breach);
        }
        let newest = self.orders.newest;
        if document.version < newest {
            self.breach(
                n,
                format!("{} shown after {newest} was acknowledged", document.version),
            );
        }
        let now = self.now;
        let has_to_stay =
            |d: &(&String, &Duration)| now < *d.1 + DRAINS_KEPT && !drains.contains(d.0);
        if let Some((lost, _)) = self.orders.drained.iter().find(has_to_stay) {
            let lost = lost.clone();
            self.breach(n, format!("drain of {lost} lost"));
        }
        self.keep_shown(n, document);
    }

    /// Whatever is shown under one number is the same.
    pub(super) fn order_same(
        &mut self,
        index: u64,
        document: &Configuration,
        drains: &[String],
    ) -> Result<(), String> {
        let this = (token(document), hash_of(drains));
        let same = *self.orders.by_index.entry(index).or_insert(this);
        if same == this {
            Ok(())
        } else {
            Err(format!("change {index} is {same:?} and {this:?}"))
        }
    }

    /// For planted bugs.
    pub(super) fn keep_shown(&mut self, n: usize, document: &Configuration) {
        if document.version > 0
            && matches!(
                self.plan.planted,
                Planted::ReadsAnywhere | Planted::RestoredAsFresh
            )
        {
            self.nodes[n].shown = Some(document.to_json().into_bytes());
        }
    }

    /// An order made in calm times that still has no clear answer.
    pub(super) fn stuck_order(&self) -> Option<String> {
        let stuck =
            |o: &&Order| !o.clear && self.is_steady(o.made) && self.now > o.made + ANSWER_BOUND;
        let order = self.orders.open.values().find(stuck)?;
        let content = &self.orders.contents[order.content];
        Some(format!(
            "no clear answer since {:?} to {} on {}",
            order.made, content.version, content.base
        ))
    }
}
