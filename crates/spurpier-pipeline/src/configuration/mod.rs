//! The configuration in force on this node; it only ever moves to a newer version.

mod check;
mod regions;
mod rows;

use std::collections::HashMap;
use std::sync::Arc;

use spurpier_core::locality::AllowedRegions;
use spurpier_core::store_version::StoreVersion;
use spurpier_events::log_event;

use self::check::TenantFinding;
use self::regions::{UnknownRegion, unknown_regions};
pub use self::rows::{allowed_regions, region_names};
use crate::context::Context;
use crate::directory::share_connections;
use crate::events;
use crate::follow::RowSink;
use crate::ports::{Configuration, GroupSettings, KeyDigest, Quota, Route, Row, Table, Tenant};
use crate::quota::TenantQuota;
use crate::tenant::{AdmissionError, Caller};

/// How many findings one log line names; thousands of routes may name the same region.
const MOST_TOLD: usize = 20;

/// How a client's statements are served.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// The route of its database.
    pub route: Arc<Route>,
    /// Whom its statements are run for.
    pub caller: Caller,
    /// Where they may run: where both the route and the tenant allow it.
    pub allowed_regions: AllowedRegions,
}

/// What holds for a tenant.
#[derive(Debug)]
struct KnownTenant {
    name: Arc<str>,
    allowed_regions: AllowedRegions,
}

/// A configuration, indexed.
#[derive(Debug)]
pub struct InForce {
    /// The configuration.
    pub configuration: Configuration,
    routes: HashMap<String, Arc<Route>>,
    groups: HashMap<String, GroupSettings>,
    /// The holders of keys; none if clients are not told apart.
    holders: Option<HashMap<KeyDigest, Arc<KnownTenant>>>,
    /// How much tenants may ask for, by their names.
    quotas: HashMap<String, Quota>,
}

impl InForce {
    /// Indexes a configuration; of two routes for one database, the first one holds.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes = HashMap::new();
        for route in &configuration.routes {
            let entry = routes.entry(route.database.clone());
            entry.or_insert_with(|| Arc::new(route.clone()));
        }
        let groups = configuration.groups.iter();
        let groups = groups.map(|group| (group.name.clone(), group.clone()));
        let tenants = configuration.tenants.iter().flatten();
        let quotas = tenants.filter_map(|tenant| Some((tenant.name.clone(), tenant.quota?)));
        let quotas = quotas.collect();
        let holders = configuration.tenants.as_deref().map(key_holders);
        InForce {
            groups: groups.collect(),
            holders,
            quotas,
            routes,
            configuration,
        }
    }

    /// The route of a database.
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.routes.get(database).map(Arc::clone)
    }

    /// How a client's statements in a database are served.
    ///
    /// # Errors
    ///
    /// [`AdmissionError`] if the client is not served there.
    pub fn admit(
        &self,
        database: &str,
        key: Option<KeyDigest>,
    ) -> Result<Admitted, AdmissionError> {
        let route = self
            .route(database)
            .ok_or(AdmissionError::UnknownDatabase)?;
        let Some(holders) = self.holders.as_ref().filter(|_| !route.is_public) else {
            return Ok(Admitted {
                allowed_regions: route.allowed_regions.clone(),
                caller: Caller::unnamed(key),
                route,
            });
        };
        let holder = key.and_then(|key| holders.get(&key));
        let holder = holder.ok_or(AdmissionError::UnknownKey)?;
        let tenant = Some(Arc::clone(&holder.name));
        Ok(Admitted {
            allowed_regions: route.allowed_regions.intersection(&holder.allowed_regions),
            caller: Caller { tenant, key },
            route,
        })
    }

    /// How much a tenant may ask for; none if that is not bounded.
    pub fn quota(&self, tenant: &str) -> Option<TenantQuota> {
        let quota = self.quotas.get(tenant).copied()?;
        let version = self.configuration.version;
        Some(TenantQuota { quota, version })
    }

    /// Whether clients are told apart by the tenants that hold their keys.
    pub fn has_tenants(&self) -> bool {
        self.holders.is_some()
    }

    /// Whether the operations of any tenant are bounded.
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Requests a second to a server of a group while it is cold; none if that is not bounded.
    pub fn cold_per_second(&self, group: &str) -> Option<f64> {
        self.groups.get(group)?.cold_per_second
    }

    /// Whether the requests to cold servers of any group are bounded.
    pub fn has_cold_rates(&self) -> bool {
        let mut groups = self.groups.values();
        groups.any(|group| group.cold_per_second.is_some())
    }

    /// The connections that each server of a group takes; none if the group is not known.
    pub fn connections(&self, group: &str) -> Option<usize> {
        self.groups.get(group).map(|group| group.connections)
    }
}

fn key_holders(tenants: &[Tenant]) -> HashMap<KeyDigest, Arc<KnownTenant>> {
    let mut holders = HashMap::new();
    for tenant in tenants {
        let holder = Arc::new(KnownTenant {
            name: Arc::from(tenant.name.as_str()),
            allowed_regions: tenant.allowed_regions.clone(),
        });
        let keys = tenant.keys.iter();
        holders.extend(keys.map(|key| (*key, Arc::clone(&holder))));
    }
    holders
}

/// Puts each newer configuration into force.
pub struct ConfigurationSink(pub Arc<Context>);

impl ConfigurationSink {
    /// Takes in what is known; evacuations first, so that a node which becomes ready knows them.
    fn put_known_into_force(&self) {
        let known = &self.0.known_tables;
        let rows = known.rows(Table::Configuration);
        let (evacuated, rows) = rows
            .into_iter()
            .partition::<Vec<Row>, _>(rows::is_evacuated);
        self.0.locality.evacuations.apply(
            &rows::evacuated_zones(&evacuated),
            known.version(Table::Configuration),
            known.told_before(Table::Configuration),
        );
        self.look_again_at_held();
        if rows.is_empty() {
            return;
        }
        match rows::join(&rows) {
            Ok(configuration) => {
                put_into_force(&self.0, configuration);
                share_connections(&self.0);
            }
            Err(key) => log_malformed(&key),
        }
    }
}

impl ConfigurationSink {
    /// Has zones taken back whose rows the store has lost, if the operator has not written them again
    /// in time.
    fn look_again_at_held(&self) {
        let Some(retained_until) = self.0.locality.evacuations.retained_until() else {
            return;
        };
        let context = Arc::clone(&self.0);
        tokio::spawn(async move {
            tokio::time::sleep_until(context.clock.instant(retained_until)).await;
            ConfigurationSink(context).put_known_into_force();
        });
    }
}

impl RowSink for ConfigurationSink {
    fn replace(&mut self, _rows: &[Row], _version: StoreVersion) {
        self.put_known_into_force();
    }

    fn change(&mut self, _rows: &[Row]) {
        self.put_known_into_force();
    }

    fn derives_rows(&self) -> bool {
        true
    }

    /// The operator writes the newest configuration again after the store's return; until then the
    /// store, and nodes that start meanwhile, tell an older one.
    fn newest(&self, told: Vec<Row>) -> Vec<Row> {
        let known = self.0.known_tables.rows(Table::Configuration);
        if rows::document_version(&told) >= rows::document_version(&known) {
            return told;
        }
        let evacuated = told.into_iter().filter(rows::is_evacuated);
        let settings = known.into_iter().filter(|row| !rows::is_evacuated(row));
        let mut newest: Vec<Row> = evacuated.chain(settings).collect();
        newest.sort_by(|one, other| one.key.cmp(&other.key));
        newest
    }

    /// The store's row of the configuration tells all of it; evacuations are told one by one.
    fn whole_table(&self, told: &[Row], is_whole: bool) -> Option<Vec<Row>> {
        if told.is_empty() && !is_whole {
            return None;
        }
        let known = self.0.known_tables.rows(Table::Configuration);
        let (evacuated, known) = known
            .into_iter()
            .partition::<Vec<Row>, _>(rows::is_evacuated);
        let entries = &self.0.entries;
        let zone_of = |row: &Row| entries.evacuated_zone(row);
        let mut rows = rows::evacuated_rows(told, is_whole, &evacuated, zone_of);
        rows.extend(self.configuration_rows(told, known));
        rows.sort_by(|one, other| one.key.cmp(&other.key));
        Some(rows)
    }
}

impl ConfigurationSink {
    /// The rows of the configuration after the store has told of its rows; one that cannot be read
    /// or has faults tells nothing new.
    fn configuration_rows(&self, told: &[Row], known: Vec<Row>) -> Vec<Row> {
        let Some((configuration, version)) = self.told_configuration(told) else {
            return known;
        };
        let findings = check::check_tenants(&configuration);
        if !findings.is_empty() {
            self.0
                .metrics
                .note_refused_configuration(configuration.version);
            log_refused(configuration.version, &findings);
            return known;
        }
        rows::split(&configuration, version, &known)
    }

    /// The configuration among rows that the store has told, and its row's version; rows of other
    /// kinds may stand beside it.
    fn told_configuration(&self, told: &[Row]) -> Option<(Configuration, StoreVersion)> {
        let entries = &self.0.entries;
        let others = told
            .iter()
            .rev()
            .filter(|row| !row.gone && entries.evacuated_zone(row).is_none());
        others.into_iter().find_map(|row| {
            let configuration = entries.configuration(row);
            if configuration.is_none() {
                log_malformed(&row.key);
            }
            Some((configuration?, row.version))
        })
    }
}

/// What names a configuration's faults holds no key.
fn log_refused(version: u64, findings: &[TenantFinding]) {
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    log_event!(
        events::CONFIGURATION_REFUSED,
        version = version,
        findings = findings.join("; ")
    );
}

fn log_unknown_regions(version: u64, unknown: &[UnknownRegion]) {
    if unknown.is_empty() {
        return;
    }
    let named = unknown.iter().take(MOST_TOLD).map(ToString::to_string);
    let named: Vec<String> = named.collect();
    log_event!(
        events::REGIONS_UNKNOWN,
        version = version,
        count = unknown.len(),
        findings = named.join("; ")
    );
}

fn log_malformed(key: &str) {
    log_event!(events::ROW_MALFORMED, table = "configuration", key = key);
}

/// Puts a configuration into force if it is newer than the one that is.
fn put_into_force(context: &Context, configuration: Configuration) {
    let version = configuration.version;
    for group in &configuration.groups {
        let replicas = group.synchronous_replicas;
        context
            .group(&group.name)
            .set_synchronous_replicas(replicas);
    }
    let unknown = unknown_regions(&configuration, &context.locality.known_regions());
    let newer = Arc::new(InForce::new(configuration));
    let changed = context.configuration.send_if_modified(|current| {
        let known = current.as_ref().map(|known| known.configuration.version);
        if known.is_some_and(|known| known >= version) {
            return false;
        }
        *current = Some(newer);
        true
    });
    if changed {
        log_event!(events::CONFIGURATION_IN_FORCE, version = version);
        context.metrics.note_unknown_regions(unknown.len());
        log_unknown_regions(version, &unknown);
    }
}
