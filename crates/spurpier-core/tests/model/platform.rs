//! The platform and its faults, concurrent operators, and the distribution of policies to nodes.

use std::collections::BTreeMap;
use std::sync::Arc;

use spurpier_core::distribution::{
    DistributionAction, DistributionEvent, FetchedChanges, ReadFailure,
};
use spurpier_core::identity::{DatabaseName, Side};
use spurpier_core::membership::NodeKey;
use spurpier_core::policy::{
    HeadRow, Placement, PlatformFailure, PolicyDocument, PolicyHead, Publish, PublishAction,
    PublishEvent, PublishOutcome, PublishRequest, TransactAnswer,
};
use spurpier_core::time::Timestamp;
use spurpier_rehearsal::oracle::PolicyAccepted;

use super::Breakage;
use super::network::MILLISECOND;
use super::world::{DATABASE, Event, ToNode, World};

const CALL_DURATION: u64 = 5 * MILLISECOND;
const CALL_TIMEOUT: u64 = 300 * MILLISECOND;
const GOSSIP_INTERVAL: u64 = 100 * MILLISECOND;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum PlatformFault {
    #[default]
    None,
    Down,
    Slow,
    /// Transactions take effect, some of them late, and answers may be lost.
    EffectWithoutAnswer,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub fault: PlatformFault,
    head: HeadRow,
    history: BTreeMap<u64, PolicyHead>,
    documents: BTreeMap<String, PolicyDocument>,
    operators: Vec<Publish>,
    gossiped_at: u64,
}

#[derive(Debug)]
pub enum ToOperator {
    Answer(PublishEvent),
    /// A transaction arrives at the platform; `answered` is whether its answer is delivered.
    Transact {
        head_row_version: u64,
        head: PolicyHead,
        answered: bool,
    },
}

fn program(side: Side) -> String {
    let route = "#{ freshness: \"session\", replica: true, patience_ms: 1000 }";
    format!("fn write_side(database) {{ \"{side}\" }}\nfn route(request) {{ {route} }}\n")
}

fn placement_text(placement: &Placement) -> String {
    format!("{} {}", placement.side, placement.epoch)
}

impl Platform {
    pub fn version(&self) -> u64 {
        self.head.head.as_ref().map_or(0, |head| head.version)
    }

    /// The placement of the database's writes in policy version `version`.
    pub fn placement(&self, version: u64) -> Placement {
        let head = self.history.get(&version);
        let document = head.and_then(|head| self.documents.get(&head.digest));
        let placement = document.and_then(|document| document.placements.first());
        let initial = Placement {
            database: DatabaseName::from(DATABASE),
            side: Side::Old,
            epoch: 0,
        };
        placement.cloned().unwrap_or(initial)
    }

    fn transact(&mut self, head_row_version: u64, head: &PolicyHead) -> TransactAnswer {
        if self.head.row_version != head_row_version || self.history.contains_key(&head.version) {
            return TransactAnswer::Conflict;
        }
        self.head = HeadRow {
            row_version: head_row_version + 1,
            head: Some(head.clone()),
        };
        self.history.insert(head.version, head.clone());
        TransactAnswer::Accepted
    }
}

impl World {
    /// Starts an operator that publishes a policy based on version `expect_version`.
    pub fn publish(&mut self, side: Side, expect_version: u64) {
        let operator = self.platform.operators.len();
        let request = PublishRequest {
            publish_id: format!("publish-{operator}"),
            program: program(side),
            expect_version,
            databases: vec![DatabaseName::from(DATABASE)],
        };
        let (publish, action) = Publish::start(request);
        self.platform.operators.push(publish);
        self.perform_operator_action(operator, action);
    }

    fn answer_operator(&mut self, operator: usize, delay: u64, event: PublishEvent) {
        self.schedule_after(
            delay,
            Event::Operator {
                operator,
                body: ToOperator::Answer(event),
            },
        );
    }

    /// How long a call to the platform takes; `None` if it fails.
    fn call_duration(&mut self) -> Option<u64> {
        match self.platform.fault {
            PlatformFault::Down => None,
            PlatformFault::Slow => Some(CALL_DURATION + self.network.random_below(CALL_TIMEOUT)),
            PlatformFault::None | PlatformFault::EffectWithoutAnswer => Some(CALL_DURATION),
        }
    }

    fn perform_operator_action(&mut self, operator: usize, action: PublishAction) {
        let call = self.call_duration();
        let failed = || PlatformFailure {
            why: "down".to_owned(),
        };
        let delay = call.unwrap_or(CALL_DURATION);
        let event = match action {
            PublishAction::Finish(outcome) => {
                if let PublishOutcome::Accepted { head, .. } = outcome {
                    assert!(
                        self.platform.history.contains_key(&head.version),
                        "accepted {head:?}"
                    );
                }
                return;
            }
            PublishAction::ReadHead => {
                let head = self.platform.head.clone();
                PublishEvent::Head(call.map(|_| head).ok_or_else(failed))
            }
            PublishAction::ReadHistory { version } => {
                let head = self.platform.history.get(&version).cloned();
                PublishEvent::History(call.map(|_| head).ok_or_else(failed))
            }
            PublishAction::ReadDocument { digest } => {
                let document = self.platform.documents.get(&digest).cloned();
                PublishEvent::Document(document.filter(|_| call.is_some()).ok_or_else(failed))
            }
            PublishAction::StoreDocument { document, digest } => {
                if call.is_some() {
                    self.platform.documents.insert(digest, document);
                }
                PublishEvent::Stored(call.map(|_| ()).ok_or_else(failed))
            }
            PublishAction::Accept {
                head_row_version,
                head,
            } => {
                self.send_operator_transaction(operator, call, head_row_version, head);
                return;
            }
        };
        self.answer_operator(operator, delay, event);
    }

    fn send_operator_transaction(
        &mut self,
        operator: usize,
        call: Option<u64>,
        head_row_version: u64,
        head: PolicyHead,
    ) {
        let Some(delay) = call else {
            self.answer_operator(
                operator,
                CALL_DURATION,
                PublishEvent::Transacted(TransactAnswer::NotApplied),
            );
            return;
        };
        let lost = self.platform.fault == PlatformFault::EffectWithoutAnswer
            && self.network.random_one_in(2);
        let mut effect_after = delay;
        if lost {
            effect_after = self.network.random_below(2 * CALL_TIMEOUT);
            self.answer_operator(
                operator,
                CALL_TIMEOUT,
                PublishEvent::Transacted(TransactAnswer::Unknown),
            );
        }
        let body = ToOperator::Transact {
            head_row_version,
            head,
            answered: !lost,
        };
        self.schedule_after(effect_after, Event::Operator { operator, body });
    }

    pub fn operator_event(&mut self, operator: usize, body: ToOperator) {
        match body {
            ToOperator::Answer(event) => {
                let action = self.platform.operators[operator].step(event);
                self.perform_operator_action(operator, action);
            }
            ToOperator::Transact {
                head_row_version,
                head,
                answered,
            } => {
                let version = head.version;
                let answer = self.platform.transact(head_row_version, &head);
                if answer == TransactAnswer::Accepted {
                    let before = self.platform.placement(version - 1).side;
                    let moved = self.platform.placement(version).side != before;
                    let moved_databases = moved.then(|| DATABASE.to_owned()).into_iter().collect();
                    self.history.policies_accepted.push(PolicyAccepted {
                        at: self.now,
                        version,
                        moved_databases,
                    });
                }
                if answered {
                    self.answer_operator(operator, CALL_DURATION, PublishEvent::Transacted(answer));
                }
            }
        }
    }

    /// Announces each node's policy version to a random peer, as membership messages do.
    pub fn platform_tick(&mut self) {
        if self.platform.gossiped_at + GOSSIP_INTERVAL > self.now {
            return;
        }
        self.platform.gossiped_at = self.now;
        for from in 0..self.nodes.len() {
            let node = &self.nodes[from];
            if node.up && !node.frozen {
                let version = node.distribution.version();
                let to = self.network.random_below(self.nodes.len() as u64) as usize;
                self.send_peer(
                    from,
                    to,
                    ToNode::PeerVersion {
                        peer: from,
                        version,
                    },
                );
            }
        }
    }

    /// Sends a datagram between nodes, which is lost if the zones are partitioned.
    fn send_peer(&mut self, from: usize, to: usize, body: ToNode) {
        if from != to
            && self
                .network
                .can_send(self.nodes[from].zone, self.nodes[to].zone)
        {
            let incarnation = self.nodes[to].incarnation;
            let delay = self.network.delay();
            self.schedule_after(
                delay,
                Event::Node {
                    node: to,
                    incarnation,
                    body,
                },
            );
        }
    }

    pub fn handle_distribution_event(&mut self, node: usize, event: DistributionEvent) {
        let now = Timestamp::from_micros(self.now);
        if let (
            Breakage::PolicyVersionMayDecrease,
            DistributionEvent::PeerVersion { version, .. },
        ) = (self.breakage, &event)
        {
            self.nodes[node].unchecked_policy = Some(*version);
        }
        for action in self.nodes[node].distribution.handle(now, event) {
            self.perform_distribution_action(node, action);
        }
    }

    fn perform_distribution_action(&mut self, node: usize, action: DistributionAction) {
        let sender = NodeKey(node as u64);
        match action {
            DistributionAction::Send { to, message, .. } => {
                let event = DistributionEvent::Received { sender, message };
                self.send_peer(node, to.0 as usize, ToNode::Distribution(Box::new(event)));
            }
            DistributionAction::Push { message, .. } => {
                for to in 0..self.nodes.len() {
                    let event = DistributionEvent::Received {
                        sender,
                        message: message.clone(),
                    };
                    self.send_peer(node, to, ToNode::Distribution(Box::new(event)));
                }
            }
            DistributionAction::ReadHead => {
                let version = self.platform.version();
                let answer = self
                    .call_duration()
                    .map(|_| version)
                    .ok_or_else(ReadFailure::default);
                self.answer_node(node, DistributionEvent::HeadRead(answer));
            }
            DistributionAction::FetchChanges { .. } => {
                let version = self.platform.version();
                let text = placement_text(&self.platform.placement(version));
                let entries = vec![(Arc::from(DATABASE), Arc::from(text))];
                let whole = FetchedChanges::FullDocument { version, entries };
                let answer = self
                    .call_duration()
                    .map(|_| whole)
                    .ok_or_else(ReadFailure::default);
                self.answer_node(node, DistributionEvent::ChangesFetched(answer));
            }
            DistributionAction::Installed { .. } => {}
        }
    }

    fn answer_node(&mut self, node: usize, event: DistributionEvent) {
        let incarnation = self.nodes[node].incarnation;
        let delay = self.call_duration().unwrap_or(CALL_DURATION);
        self.schedule_after(
            delay,
            Event::Node {
                node,
                incarnation,
                body: ToNode::Distribution(Box::new(event)),
            },
        );
    }
}
