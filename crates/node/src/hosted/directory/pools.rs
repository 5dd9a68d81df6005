//! Starts, configures and stops the pools of tenants.

use super::*;

impl Tenants {
    /// Starts a pool for a tenant.
    pub(super) fn start_pool(&self, entry: &mut TenantEntry) -> Rc<PoolHandle> {
        let servers_now = entry.servers();
        let spec = &entry.view.spec;
        let (settings, names) = balancer_settings(spec, self.limits.nodes);
        let (tx, rx) = mpsc::unbounded_channel();
        let (uid, weight) = (entry.view.uid, spec.share.weight);
        let meter = TenantMeter::new(self.core.clone(), uid, weight);
        let upstream_settings = UpstreamSettings {
            dial_timeout: Duration::from_millis(spec.pool.dial_timeout_ms),
            keepalive: Duration::from_millis(spec.pool.keepalive_ms),
            drain_grace: DRAIN_GRACE,
            open_cap: self.limits.held_requests,
            report: spec.pool.report.clone(),
        };
        let servers = Servers::new(upstream_settings, self.sockets.clone(), Some(meter.clone()));
        servers.set_authorities(self.limits.authorities.clone());
        let seed = self.seed_rng.borrow_mut().u64(..);
        let mut driver = Driver::new(&settings, seed, None, servers, None, &tx, Some(meter.clone()));
        driver.start(&servers_now);
        let (drivers, pool_meter) = (entry.drivers.clone(), meter.clone());
        drivers.set(drivers.get() + 1);
        spawn_local(async move {
            metered(Some(meter), driver.run(rx)).await;
            drivers.set(drivers.get() - 1);
        });
        entry.pools.push(tx.downgrade());
        entry.meter = Some(pool_meter);
        let usage = entry.usage.clone();
        let weight = Cell::new(weight);
        let admission = RefCell::default();
        let pool =
            Rc::new(PoolHandle { settings, names, org_is_tenant: false, tx, usage, weight, admission });
        let empty = is_empty(&servers_now);
        self.configure_admission(entry, &pool, empty);
        entry.active_pool = Some(pool.clone());
        self.live.borrow_mut().insert(uid);
        pool
    }

    /// Creates, reconfigures or disables a pool's admission queue, as its tenant's specification says.
    pub(super) fn configure_admission(&self, entry: &mut TenantEntry, pool: &PoolHandle, empty: bool) {
        let Some(defaults) = &self.limits.admission else { return };
        let wanted = defaults.for_tenant(&entry.view.spec.admission);
        let seed = self.seed_rng.borrow_mut().u64(..);
        let resolve =
            |config: AdmissionConfig| (AdmissionSettings { seed, ..config.settings }, Rc::new(config.keys));
        let mut current = pool.admission.borrow_mut();
        entry.admissions.retain(|admission| admission.strong_count() > 0);
        match wanted.map(resolve) {
            None => {
                *current = None;
                entry.admissions.iter().filter_map(Weak::upgrade).for_each(|admission| admission.disable());
            }
            Some((settings, keys)) => {
                // The queues of earlier pools apply the new settings to the requests that they still hold.
                entry
                    .admissions
                    .iter()
                    .filter_map(Weak::upgrade)
                    .for_each(|admission| admission.configure(settings));
                let admission = match current.take() {
                    Some((admission, _)) => admission,
                    None => {
                        let admission = PoolAdmission::new(settings, &pool.settings.classes);
                        entry.admissions.push(Rc::downgrade(&admission));
                        admission
                    }
                };
                admission.set_pool_empty(empty);
                *current = Some((admission, keys));
            }
        }
    }

    /// Periodically stops idle pools, sends due list changes and reports tenants that have drained.
    pub(super) async fn sweep(tenants: Weak<Tenants>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let Some(tenants) = tenants.upgrade() else { return };
            tenants.core.forget_idle_tenants();
            let mut entries = tenants.entries.borrow_mut();
            tenants.live.borrow_mut().retain(|uid| {
                let Some(entry) = entries.get_mut(uid) else { return false };
                if entry.usage.is_deleted.get() {
                    let busy = entry.drivers.get() > 0 || entry.usage.connections.get() > 0;
                    if !busy {
                        entries.remove(uid);
                        let _ = tenants.drained.send(*uid);
                    }
                    return busy;
                }
                let unused = entry.last_used.get().elapsed() >= tenants.limits.pool_idle;
                if unused && entry.active_pool.as_ref().is_some_and(|pool| Rc::strong_count(pool) == 1) {
                    entry.active_pool = None;
                }
                if entry.next_change.is_some_and(|next_change| next_change <= Instant::now()) {
                    entry.send_server_list();
                }
                entry.pools.retain(|pool| pool.strong_count() > 0);
                let runs = entry.active_pool.is_some() || entry.drivers.get() > 0;
                if !runs && entry.path.is_none() {
                    entry.sources = None;
                }
                runs
            });
        }
    }
}
