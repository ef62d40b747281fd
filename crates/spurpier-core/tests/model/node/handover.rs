//! A node's part in the handover of a database to the new side.

use super::*;

impl World {
    /// Advances the handover that the current policy requires.
    pub(super) fn drive_handover(&mut self, node: usize) {
        let Some(version) = self.nodes[node].policy() else {
            return;
        };
        let placement = self.platform.placement(version);
        if placement.side == Side::Old {
            return;
        }
        let state = &mut self.nodes[node];
        let current = state
            .handover
            .take()
            .filter(|current| current.epoch() == placement.epoch);
        let mut handover = current.unwrap_or_else(|| Handover::new(placement.epoch));
        let (old, new) = (state.view(Side::Old).clone(), state.view(Side::New).clone());
        handover.handle_event(&HandoverEvent::SourceView(&old));
        let action = handover.handle_event(&HandoverEvent::TargetView(&new));
        state.handover = Some(handover);
        if state.handover_sent_at + HANDOVER_INTERVAL > self.now {
            return;
        }
        state.handover_sent_at = self.now;
        match action {
            HandoverAction::ReadFence => {
                let statements = vec![Statement::Status, Statement::ReadFence, Statement::Status];
                self.send_handover_statements(node, Side::New, statements);
            }
            HandoverAction::RaiseFence(epoch) => self.send_handover_statements(
                node,
                Side::Old,
                vec![Statement::RaiseFence { epoch }],
            ),
            HandoverAction::OpenFence(epoch) => {
                self.send_handover_statements(node, Side::New, vec![Statement::OpenFence { epoch }])
            }
            // Every node probes both sides periodically.
            HandoverAction::ProbeSource
            | HandoverAction::ProbeTarget
            | HandoverAction::Done
            | HandoverAction::Overtaken => {}
        }
    }

    pub(super) fn send_handover_statements(
        &mut self,
        node: usize,
        side: Side,
        mut statements: Vec<Statement>,
    ) {
        if let Route::Server(index) = route_write(self.nodes[node].view(side), self.timestamp()) {
            let server = servers_of(side).start + index;
            let connection = self.acquire_connection(node, server, 0, &mut statements);
            let leased = self.nodes[node]
                .connections
                .get_mut(&connection)
                .expect("it was acquired");
            leased.outstanding.push_back(HANDOVER_UNIT);
            self.send_request(node, server, connection, statements.into());
        }
    }

    pub(super) fn handle_handover_replies(
        &mut self,
        node: usize,
        connection: u64,
        replies: &[Reply],
    ) {
        let state = &mut self.nodes[node];
        let Some(connection) = state.connections.get_mut(&connection) else {
            return;
        };
        connection.idle = true;
        let side = self.servers[connection.server].side;
        let Some(handover) = state.handover.as_mut() else {
            return;
        };
        if let Some(event) = handover_event(side, replies) {
            handover.handle_event(&event);
        }
    }
}

/// Converts the replies to an action to an event; `None` after a failure that may be transient.
fn handover_event(side: Side, replies: &[Reply]) -> Option<HandoverEvent<'static>> {
    // The answer to the setting of a new connection carries no information.
    let replies = match replies {
        [Reply::Ok, rest @ ..] => rest,
        replies => replies,
    };
    match replies {
        [
            Reply::Status(before),
            Reply::Fence { epoch, open },
            Reply::Status(after),
        ] => {
            let same_term = before.received.term == after.received.term;
            same_term.then_some(HandoverEvent::FenceRead {
                epoch: *epoch,
                open: *open,
                position: after.received,
            })
        }
        [Reply::Committed { position }] if side == Side::Old => {
            Some(HandoverEvent::FenceRaised(*position))
        }
        [Reply::Committed { position }] => Some(HandoverEvent::FenceOpened(*position)),
        [Reply::FenceRefused] => Some(HandoverEvent::FenceConflict),
        _ => None,
    }
}
