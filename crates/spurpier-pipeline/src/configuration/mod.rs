//! The configuration in effect on this node. Its version never decreases.

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

/// Maximum number of findings in one log line; thousands of routes may name the same region.
const MAX_LOGGED_FINDINGS: usize = 20;

/// A client that may use a database, with the terms of its access.
#[derive(Debug, Clone)]
pub struct AdmittedClient {
    /// The route of the database.
    pub route: Arc<Route>,
    /// The tenant and key on whose behalf statements run.
    pub caller: Caller,
    /// The regions in which statements may run: those that both the route and the tenant allow.
    pub allowed_regions: AllowedRegions,
}

/// The name and the allowed regions of a tenant, looked up by its keys.
#[derive(Debug)]
struct TenantAccess {
    name: Arc<str>,
    allowed_regions: AllowedRegions,
}

/// A configuration with indexes by database, group, key and tenant.
#[derive(Debug)]
pub struct IndexedConfiguration {
    /// The configuration that the indexes are built from.
    pub configuration: Configuration,
    routes: HashMap<String, Arc<Route>>,
    groups: HashMap<String, GroupSettings>,
    /// The tenant that holds each key; none if clients are not identified as tenants.
    holders: Option<HashMap<KeyDigest, Arc<TenantAccess>>>,
    /// The quotas of tenants by name.
    quotas: HashMap<String, Quota>,
}

impl IndexedConfiguration {
    /// Indexes a configuration; of two routes for one database, the first one applies.
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
        IndexedConfiguration {
            groups: groups.collect(),
            holders,
            quotas,
            routes,
            configuration,
        }
    }

    /// Returns the route of a database.
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        self.routes.get(database).map(Arc::clone)
    }

    /// Admits a client to a database. It needs the key of a tenant if clients are identified as
    /// tenants and the route is not public.
    ///
    /// # Errors
    ///
    /// Returns an [`AdmissionError`] if the database has no route, or if a key of a tenant is
    /// needed and no tenant holds the client's key.
    pub fn admit(
        &self,
        database: &str,
        key: Option<KeyDigest>,
    ) -> Result<AdmittedClient, AdmissionError> {
        let route = self
            .route(database)
            .ok_or(AdmissionError::UnknownDatabase)?;
        let holder = self.key_holder(&route, key)?;
        let allowed_regions = match holder {
            Some(holder) => route.allowed_regions.intersection(&holder.allowed_regions),
            None => route.allowed_regions.clone(),
        };
        let tenant = holder.map(|holder| Arc::clone(&holder.name));
        Ok(AdmittedClient {
            route,
            caller: Caller { tenant, key },
            allowed_regions,
        })
    }

    /// Returns the name of the tenant on whose behalf a client uses a route, which need not be part
    /// of this configuration; `None` if the client is not identified as a tenant there.
    ///
    /// # Errors
    ///
    /// Returns [`AdmissionError::UnknownKey`] if a tenant's key is needed and no tenant holds the
    /// client's key.
    pub fn tenant_of(
        &self,
        route: &Route,
        key: Option<KeyDigest>,
    ) -> Result<Option<Arc<str>>, AdmissionError> {
        let holder = self.key_holder(route, key)?;
        Ok(holder.map(|holder| Arc::clone(&holder.name)))
    }

    fn key_holder(
        &self,
        route: &Route,
        key: Option<KeyDigest>,
    ) -> Result<Option<&TenantAccess>, AdmissionError> {
        let Some(holders) = self.holders.as_ref().filter(|_| !route.is_public) else {
            return Ok(None);
        };
        let holder = key.and_then(|key| holders.get(&key));
        let holder = holder.ok_or(AdmissionError::UnknownKey)?;
        Ok(Some(holder))
    }

    /// Returns the quota of a tenant; none if it is not limited.
    pub fn quota(&self, tenant: &str) -> Option<TenantQuota> {
        let quota = self.quotas.get(tenant).copied()?;
        let version = self.configuration.version;
        Some(TenantQuota { quota, version })
    }

    /// Whether clients are identified as tenants by their keys.
    pub fn has_tenants(&self) -> bool {
        self.holders.is_some()
    }

    /// Whether any tenant has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.quotas.is_empty()
    }

    /// Returns the maximum requests per second to a cold server of a group; none if not limited.
    pub fn cold_per_second(&self, group: &str) -> Option<f64> {
        self.groups.get(group)?.cold_per_second
    }

    /// Whether any group limits the requests to its cold servers.
    pub fn has_cold_rates(&self) -> bool {
        let mut groups = self.groups.values();
        groups.any(|group| group.cold_per_second.is_some())
    }

    /// Whether any group acknowledges commits only once replicas have received them.
    pub fn has_synchronous_replicas(&self) -> bool {
        let mut groups = self.configuration.groups.iter();
        groups.any(|group| group.synchronous_replicas > 0)
    }

    /// Returns the connection limit of each server of a group; none if the group is not known.
    pub fn connections(&self, group: &str) -> Option<usize> {
        self.groups.get(group).map(|group| group.connections)
    }
}

fn key_holders(tenants: &[Tenant]) -> HashMap<KeyDigest, Arc<TenantAccess>> {
    let mut holders = HashMap::new();
    for tenant in tenants {
        let holder = Arc::new(TenantAccess {
            name: Arc::from(tenant.name.as_str()),
            allowed_regions: tenant.allowed_regions.clone(),
        });
        let keys = tenant.keys.iter();
        holders.extend(keys.map(|key| (*key, Arc::clone(&holder))));
    }
    holders
}

/// Applies each newer configuration and the evacuations of zones.
pub struct ConfigurationSink(pub Arc<Context>);

impl ConfigurationSink {
    /// Applies the known rows: evacuations first, so that a node knows them when it becomes ready.
    fn apply_known(&self) {
        let known = &self.0.known_tables;
        let rows = known.rows(Table::Configuration);
        let (evacuated, rows) = rows
            .into_iter()
            .partition::<Vec<Row>, _>(rows::is_evacuated);
        self.0.locality.evacuations.apply(
            &rows::evacuated_zones(&evacuated),
            known.version(Table::Configuration),
            known.previously_reported_at(Table::Configuration),
        );
        self.schedule_hold_expiry();
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
    /// Schedules the end of evacuations whose rows the store has lost: they end unless the operator
    /// writes them again in time.
    fn schedule_hold_expiry(&self) {
        let Some(retained_until) = self.0.locality.evacuations.retained_until() else {
            return;
        };
        let context = Arc::clone(&self.0);
        tokio::spawn(async move {
            tokio::time::sleep_until(context.clock.instant(retained_until)).await;
            ConfigurationSink(context).apply_known();
        });
    }
}

impl RowSink for ConfigurationSink {
    fn replace(&mut self, _rows: &[Row], _version: StoreVersion) {
        self.apply_known();
    }

    fn change(&mut self, _rows: &[Row]) {
        self.apply_known();
    }

    fn derives_rows(&self) -> bool {
        true
    }

    /// Keeps the known configuration if it is newer than the reported one. After the store was
    /// restored from an older copy, it and nodes that start meanwhile report an older configuration
    /// until the operator writes the newest one again.
    fn newest(&self, reported: Vec<Row>) -> Vec<Row> {
        let known = self.0.known_tables.rows(Table::Configuration);
        if rows::document_version(&reported) >= rows::document_version(&known) {
            return reported;
        }
        let evacuated = reported.into_iter().filter(rows::is_evacuated);
        let settings = known.into_iter().filter(|row| !rows::is_evacuated(row));
        let mut newest: Vec<Row> = evacuated.chain(settings).collect();
        newest.sort_by(|one, other| one.key.cmp(&other.key));
        newest
    }

    /// The store reports the configuration as one row, and each evacuation as a row of its own.
    fn peer_table(&self, stored: &[Row], is_whole: bool) -> Option<Vec<Row>> {
        if stored.is_empty() && !is_whole {
            return None;
        }
        let known = self.0.known_tables.rows(Table::Configuration);
        let (evacuated, known) = known
            .into_iter()
            .partition::<Vec<Row>, _>(rows::is_evacuated);
        let entries = &self.0.entries;
        let zone_of = |row: &Row| entries.evacuated_zone(row);
        let mut rows = rows::evacuated_rows(stored, is_whole, &evacuated, zone_of);
        rows.extend(self.configuration_rows(stored, known));
        rows.sort_by(|one, other| one.key.cmp(&other.key));
        Some(rows)
    }
}

impl ConfigurationSink {
    /// Returns the rows of the configuration after an answer of the store. A stored configuration
    /// that cannot be decoded or has faults is ignored, and the known rows are returned.
    fn configuration_rows(&self, stored: &[Row], known: Vec<Row>) -> Vec<Row> {
        let Some((configuration, version)) = self.stored_configuration(stored) else {
            return known;
        };
        let findings = check::check_tenants(&configuration);
        if !findings.is_empty() {
            self.0
                .metrics
                .record_refused_configuration(configuration.version);
            log_refused(configuration.version, &findings);
            return known;
        }
        rows::split(&configuration, version, &known)
    }

    /// Returns the latest readable configuration among rows of the store, and the version of its
    /// row. Rows of evacuated zones are skipped.
    fn stored_configuration(&self, stored: &[Row]) -> Option<(Configuration, StoreVersion)> {
        let entries = &self.0.entries;
        let others = stored
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

/// Logs why a configuration was refused. The findings contain no keys of clients.
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
    let named = unknown
        .iter()
        .take(MAX_LOGGED_FINDINGS)
        .map(ToString::to_string);
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

/// Puts a configuration into effect if it is newer than the current one.
fn put_into_force(context: &Context, configuration: Configuration) {
    let version = configuration.version;
    for group in &configuration.groups {
        let replicas = group.synchronous_replicas;
        context
            .group(&group.name)
            .set_synchronous_replicas(replicas);
    }
    let unknown = unknown_regions(&configuration, &context.locality.known_regions());
    let newer = Arc::new(IndexedConfiguration::new(configuration));
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
        context.metrics.record_unknown_regions(unknown.len());
        log_unknown_regions(version, &unknown);
    }
}
