//! What the ingress side knows of one client between its requests.

use spurpier_core::identity::{DatabaseName, GroupId, NodeName, RequestKey, SessionId};
use spurpier_core::position::Position;
use spurpier_core::session::{PositionToken, ReadFloors, SessionSettings};
use spurpier_protocol::unit::SessionSetting;

use super::prepared::{Portals, PreparedStatements};
use super::startup_options::StartupOptions;

/// The longest session name, class or request key, in bytes.
pub(super) const LONGEST_NAME: usize = 256;

/// The state of one client session.
pub(super) struct ClientSession {
    /// The session's name.
    pub id: SessionId,
    /// The user.
    pub user: String,
    /// The database.
    pub database: DatabaseName,
    /// The class that policies see, empty without one.
    pub class: String,
    /// The key of the next write.
    pub request_key: Option<RequestKey>,
    /// The settings.
    pub settings: SessionSettings,
    /// The prepared statements.
    pub statements: PreparedStatements,
    /// The portals of the open transaction block or batch.
    pub portals: Portals,
    floors: ReadFloors,
    units: u64,
}

impl ClientSession {
    /// A session at its start; without a name of its own it gets one that no other has.
    pub fn new(node: &NodeName, options: StartupOptions) -> Self {
        let database = options.database();
        let id = options.session.unwrap_or_else(|| {
            let number: u128 = rand::random();
            format!("{node}-{number:032x}")
        });
        let mut session = ClientSession {
            id: SessionId::from(id),
            user: options.user,
            database,
            class: options.class,
            request_key: None,
            settings: SessionSettings::new(options.settings),
            statements: PreparedStatements::default(),
            portals: Portals::default(),
            floors: ReadFloors::new(),
            units: 0,
        };
        session.raise_floors(&options.position);
        session
    }

    /// The number of the next unit.
    pub fn next_unit_number(&mut self) -> u64 {
        self.units += 1;
        self.units
    }

    /// The floor in a group.
    pub fn floor(&self, group: &GroupId) -> Option<Position> {
        self.floors.floor(group)
    }

    /// Raises the floor in a group and says whether it rose.
    pub fn raise_floor(&mut self, group: &GroupId, position: Position) -> bool {
        self.floors.raise(group, position)
    }

    /// Raises the floors to a token's and says whether any rose. Positions in other databases
    /// are passed over: they do not matter here, and the memory for them would have no bound.
    pub fn raise_floors(&mut self, token: &PositionToken) -> bool {
        let mut rose = false;
        for (group, position) in token.positions() {
            if group.database == self.database {
                rose |= self.floors.raise(group, *position);
            }
        }
        rose
    }

    /// The position token as text.
    pub fn position(&self) -> String {
        self.floors.token().to_string()
    }

    /// The settings as a unit carries them.
    pub fn unit_settings(&self) -> Vec<SessionSetting> {
        let settings = self.settings.committed().iter();
        let convert = |(name, value): &(String, String)| SessionSetting {
            name: name.clone(),
            value: value.clone(),
        };
        settings.map(convert).collect()
    }
}
