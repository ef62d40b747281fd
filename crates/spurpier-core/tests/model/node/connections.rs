//! A node's connections to servers.

use super::*;

impl World {
    /// Sends statements of a unit on its connection; acquires a connection if it has none.
    pub(super) fn send(
        &mut self,
        node: usize,
        unit: u64,
        index: usize,
        mut statements: Vec<Statement>,
    ) {
        let setting = self.nodes[node].units[&unit].spec.setting;
        let server = servers_of(self.nodes[node].units[&unit].side).start + index;
        let connection = self.nodes[node].units[&unit].connection;
        let connection = connection
            .unwrap_or_else(|| self.acquire_connection(node, server, setting, &mut statements));
        let state = &mut self.nodes[node];
        state.units.get_mut(&unit).expect("it is there").connection = Some(connection);
        let leased = state
            .connections
            .get_mut(&connection)
            .expect("it was acquired");
        leased.outstanding.push_back(unit);
        self.send_request(node, server, connection, statements.into());
    }

    pub(super) fn acquire_connection(
        &mut self,
        node: usize,
        server: usize,
        setting: u64,
        statements: &mut Vec<Statement>,
    ) -> u64 {
        let mut connections = self.nodes[node].connections.iter_mut();
        let idle = connections.find(|(_, each)| each.idle && each.server == server);
        if let Some((number, connection)) = idle {
            connection.idle = false;
            if connection.setting != setting && self.breakage != Breakage::SettingsNotReset {
                connection.setting = setting;
                statements.insert(0, Statement::Set { value: setting });
            }
            return *number;
        }
        statements.insert(0, Statement::Set { value: setting });
        let number = self.unique_number();
        let connection = NodeConnection {
            server,
            setting,
            outstanding: VecDeque::new(),
            idle: false,
        };
        self.nodes[node].connections.insert(number, connection);
        number
    }

    /// Releases a unit's connection for reuse by the next unit.
    pub(super) fn release_connection(&mut self, node: usize, unit: u64) {
        let state = &mut self.nodes[node];
        let connection = state
            .units
            .get_mut(&unit)
            .and_then(|running| running.connection.take());
        if let Some(connection) = connection.and_then(|number| state.connections.get_mut(&number)) {
            connection.idle = true;
        }
    }

    pub(super) fn close(&mut self, node: usize, connection: u64) {
        if let Some(state) = self.nodes[node].connections.remove(&connection) {
            self.close_connection(state.server, connection);
        }
    }

    pub(super) fn handle_connection_lost(&mut self, node: usize, connection: u64) {
        let Some(state) = self.nodes[node].connections.remove(&connection) else {
            return;
        };
        self.close_connection(state.server, connection);
        let mut units = self.nodes[node].units.iter();
        let unit = units
            .find(|(_, running)| running.connection == Some(connection))
            .map(|(unit, _)| *unit);
        let Some(unit) = unit else {
            return;
        };
        let running = self.nodes[node].units.get_mut(&unit).expect("it is there");
        running.connection = None;
        if running.machine.is_none() {
            if matches!(running.stage, Stage::Running) {
                running.stage = Stage::AwaitServer;
            }
            return;
        }
        let unkeyed = write_kind(&running.spec) == Some(WriteKind::Unkeyed);
        if self.breakage == Breakage::UnkeyedResent && unkeyed {
            running.stage = Stage::AwaitServer;
            return;
        }
        if self.breakage == Breakage::NotRunAfterLostConnection {
            self.finish(node, unit, Outcome::NotRun, None, None);
            return;
        }
        self.step_machine(node, unit, &CommitEvent::ConnectionLost);
    }

    pub(super) fn handle_answer(&mut self, node: usize, connection: u64, mut replies: Vec<Reply>) {
        let Some(state) = self.nodes[node].connections.get_mut(&connection) else {
            return;
        };
        let Some(unit) = state.outstanding.pop_front() else {
            return;
        };
        if unit == HANDOVER_UNIT {
            self.handle_handover_replies(node, connection, &replies);
            return;
        }
        if matches!(replies.first(), Some(Reply::Ok)) && replies.len() > 1 {
            // The answer to the setting or to BEGIN carries no information.
            replies.remove(0);
        }
        if self.nodes[node]
            .units
            .get(&unit)
            .is_some_and(|running| running.machine.is_some())
        {
            self.handle_write_replies(node, unit, &replies);
        } else {
            self.handle_read_replies(node, unit, replies);
        }
    }
}
