//! Reads: choosing a server, and holding the answer back until everything it reflects is confirmed.

use super::*;

impl World {
    pub(super) fn route_read_unit(&mut self, node: usize, unit: u64, view: &GroupView) {
        let running = &self.nodes[node].units[&unit];
        let mut demand = running.demand.clone();
        if self.breakage == Breakage::FloorIgnored {
            (demand.floor, demand.upstream_floor) = (Position::ZERO, Position::ZERO);
        }
        let load = ServerLoad {
            slots: 5,
            ..ServerLoad::default()
        };
        let waited = self.timestamp().since(running.arrived);
        let replica_wait = MAX_REPLICA_WAIT.saturating_sub(waited);
        let zone = zone_name(self.nodes[node].zone);
        let Route::Server(index) = route_read(
            view,
            &demand,
            &[load; ZONES],
            &zone,
            replica_wait,
            self.timestamp(),
        ) else {
            return;
        };
        let observed = view.servers[index].observed.as_ref();
        let term_before = observed.map_or(0, |observed| observed.status.received.term);
        let row_key = running.spec.row_key.clone();
        let read = Statement::Read {
            unit,
            row_key,
            tag: tag_of(unit),
        };
        let running = self.nodes[node].units.get_mut(&unit).expect("it is there");
        running.term_before = term_before;
        running.stage = Stage::Running;
        self.send(
            node,
            unit,
            index,
            vec![read, Statement::ReadFence, Statement::Status],
        );
    }

    pub(super) fn handle_read_replies(&mut self, node: usize, unit: u64, replies: Vec<Reply>) {
        self.release_connection(node, unit);
        let Some(running) = self.nodes[node].units.get_mut(&unit) else {
            return;
        };
        let mut replies = replies.into_iter();
        let (
            Some(Reply::Rows {
                tag,
                values,
                setting,
            }),
            Some(Reply::Fence { epoch, .. }),
            Some(Reply::Status(status)),
        ) = (replies.next(), replies.next(), replies.next())
        else {
            running.stage = Stage::AwaitServer;
            return;
        };
        let ignores_fence = self.breakage == Breakage::ReadsIgnoreFence;
        if running.placement.is_superseded_by(epoch) && !ignores_fence {
            self.finish(node, unit, Outcome::NotRun, None, None);
            return;
        }
        // A newer term may have truncated the log between the read and the status.
        let same_log = running.term_before == status.received.term;
        let skipped = self.breakage == Breakage::ReadConfirmationSkipped;
        if !same_log && !skipped {
            running.stage = Stage::AwaitServer;
            return;
        }
        let answer = ReadAnswer {
            tag,
            values,
            setting,
        };
        running.stage = Stage::AwaitConfirmation { answer, status };
        self.progress(node, unit);
        if self.nodes[node].units.contains_key(&unit) {
            self.probe_all(node);
        }
    }

    pub(super) fn time_out_read(&mut self, node: usize, unit: u64, now: Timestamp) {
        let Some(running) = self.nodes[node].units.get(&unit) else {
            return;
        };
        if running.machine.is_none() && now.since(running.arrived) > UNIT_TIMEOUT {
            self.finish(node, unit, Outcome::NotRun, None, None);
        }
    }
}
