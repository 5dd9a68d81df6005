//! Changes of tenants, of their registration paths and of the servers there.

use super::*;

impl Tenants {
    /// Applies a tenant's current state in the catalogue.
    pub fn update(&self, view: TenantView) {
        let uid = view.uid;
        let mut entries = self.entries.borrow_mut();
        if let Some(old) = entries.get(&uid) {
            let mut routes = self.routes.borrow_mut();
            for (_, route_match) in route_matches_of(&old.view.name, &old.view.spec) {
                // Another tenant may have taken over this route.
                if routes.get(&route_match) == Some(&uid) {
                    routes.remove(&route_match);
                }
            }
        }
        let active = view.state == TenantState::Active;
        let entry = match entries.get_mut(&uid) {
            Some(entry) => entry,
            None if !active => {
                // The tenant was deleted in an earlier run of the node, and no requests are left from that
                // run.
                let _ = self.drained.send(uid);
                return;
            }
            None => entries.entry(uid).or_insert_with(|| TenantEntry {
                usage: Rc::new(TenantUsage { uid, ..TenantUsage::default() }),
                quota: RefCell::new(Quota::new(view.spec.quota_per_s, self.limits.nodes)),
                active_pool: None,
                admissions: Vec::new(),
                pools: Vec::new(),
                meter: None,
                drivers: Rc::default(),
                last_used: Cell::new(Instant::now()),
                sources: None,
                path: None,
                previous_path: None,
                next_change: None,
                drain_filter: self.drain_filter.clone(),
                view: view.clone(),
            }),
        };
        let (old, new) = (entry.view.spec.clone(), view.spec.clone());
        entry.view = view;
        if let Some(sources) = &mut entry.sources {
            sources.apply_update(LIST_SOURCE, catalogue_update(&entry.view.members));
        }
        let affected = self.switch_path(entry);
        entry.send_server_list();
        // The number of tenants that share the path's servers has changed.
        for other in affected {
            self.refresh_tenant(&mut entries, other);
        }
        let Some(entry) = entries.get_mut(&uid) else { return };
        if !active {
            entry.usage.is_deleted.set(true);
            entry.active_pool = None;
            entry.admissions.iter().filter_map(Weak::upgrade).for_each(|admission| admission.close());
            self.live.borrow_mut().insert(uid);
            if let Some(clients) = self.clients.borrow().upgrade() {
                clients.close_tenant_connections(uid);
            }
            return;
        }
        if old.quota_per_s != new.quota_per_s {
            *entry.quota.borrow_mut() = Quota::new(new.quota_per_s, self.limits.nodes);
        }
        // A balancer's settings are fixed for its lifetime: a new pool takes the requests from now on, and
        // the old one ends after the requests that it holds.
        if (&old.classes, &old.pool) != (&new.classes, &new.pool) {
            entry.active_pool = None;
        } else if let Some(pool) = &entry.active_pool {
            pool.weight.set(new.share.weight);
            if let Some(meter) = &entry.meter {
                meter.set_tenant(uid, new.share.weight);
            }
        }
        if old.admission != new.admission {
            if let Some(pool) = entry.active_pool.clone() {
                let empty = is_empty(&entry.servers());
                self.configure_admission(entry, &pool, empty);
            }
        }
        let mut routes = self.routes.borrow_mut();
        routes.extend(
            route_matches_of(&entry.view.name, &new).into_iter().map(|(_, route_match)| (route_match, uid)),
        );
    }

    /// Switches a tenant to the registration path that its specification names, and returns the other tenants
    /// whose share of the servers changed.
    fn switch_path(&self, entry: &mut TenantEntry) -> Vec<Uid> {
        let mut paths = self.paths.borrow_mut();
        let Some(paths) = paths.as_mut() else { return Vec::new() };
        let uid = entry.view.uid;
        let active = entry.view.state == TenantState::Active;
        let wanted = entry.view.spec.membership.ephemeral.clone().filter(|_| active);
        if entry.path.as_ref().map(|(path, _)| path) == wanted.as_ref() {
            return Vec::new();
        }
        let mut affected = Vec::new();
        for (path, source) in entry.previous_path.take().into_iter().chain(entry.path.take()) {
            if wanted.is_some() && entry.previous_path.is_none() {
                // The earlier path counts until the new one has been read.
                entry.previous_path = Some((path, source));
                continue;
            }
            paths.remove_tenant(&path, uid);
            affected.extend(paths.tenants(&path));
            if let Some(sources) = &mut entry.sources {
                sources.remove_source(source);
            }
        }
        if let Some(path) = wanted {
            let Some((source, read)) = paths.add_tenant(&path, uid) else {
                tracing::info!(
                    "tenant {}: too many registration paths are watched; using the catalogue's servers alone",
                    entry.view.name
                );
                return affected;
            };
            let sources = entry.sources();
            sources.set_limits(paths.merge_limits.clone());
            sources.add_source(source, &format!("ephemeral {path}"));
            entry.path = Some((path.clone(), source));
            if read {
                affected.extend(paths.tenants(&path));
                entry.apply_path_servers(paths);
            }
        }
        affected.retain(|other| *other != uid);
        affected
    }

    /// Applies a tenant's path update and sends the server list to its pools.
    fn refresh_tenant(&self, entries: &mut HashMap<Uid, TenantEntry>, uid: Uid) {
        if let (Some(entry), Some(paths)) = (entries.get_mut(&uid), self.paths.borrow_mut().as_mut()) {
            entry.apply_path_servers(paths);
            entry.send_server_list();
        }
    }

    /// Applies an update of a registration path to all tenants that name the path.
    pub fn apply_update(&self, path: &str, source: SourceId, update: ChildrenUpdate) {
        let tenants = {
            let mut paths = self.paths.borrow_mut();
            let Some(paths) = paths.as_mut() else { return };
            if !paths.apply(path, source, update) {
                return;
            }
            paths.tenants(path)
        };
        let mut entries = self.entries.borrow_mut();
        for uid in tenants {
            self.refresh_tenant(&mut entries, uid);
        }
    }
}
