//! What the node reports of its tenants and their servers.

use super::*;

impl Tenants {
    /// Returns the servers of the named tenants, and whether each accepts new requests.
    pub fn servers(&self, names: &BTreeSet<String>) -> Vec<crate::hosted::TenantServers> {
        let mut entries = self.entries.borrow_mut();
        let wanted = |entry: &&mut TenantEntry| {
            entry.view.state == TenantState::Active && names.contains(&entry.view.name)
        };
        let listed = |entry: &mut TenantEntry| {
            let list = entry.sources().merged_list();
            let servers = list.entries.into_iter().filter(|server| server.state != ServerState::Terminated);
            let servers = servers.map(|server| (server.addr, server.state == ServerState::InService));
            (entry.view.name.clone(), servers.collect())
        };
        entries.values_mut().filter(wanted).map(listed).collect()
    }

    /// Returns the status of all servers of the running pools.
    pub async fn server_statuses(&self) -> Vec<ServerStatus> {
        let pools: Vec<mpsc::UnboundedSender<DriverMessage>> = {
            let entries = self.entries.borrow();
            let pools = entries.values().flat_map(|entry| &entry.pools);
            pools.filter_map(mpsc::WeakUnboundedSender::upgrade).collect()
        };
        let mut all = Vec::new();
        for pool in pools {
            let (reply, statuses) = oneshot::channel();
            let _ = pool.send(DriverMessage::InspectServers(reply));
            all.extend(statuses.await.unwrap_or_default());
        }
        all
    }

    /// Returns the number of requests held, over all tenants.
    pub fn held_requests(&self) -> usize {
        self.entries.borrow().values().map(|entry| entry.usage.held_requests.get()).sum()
    }

    /// Returns the status of a tenant; `None` if this node does not know it.
    pub async fn tenant_status(&self, uid: Uid) -> Option<TenantStatus> {
        let (mut status, pool) = {
            let entries = self.entries.borrow();
            let entry = entries.get(&uid)?;
            let usage = &entry.usage;
            let status = TenantStatus {
                pools: entry.drivers.get(),
                held_requests: usage.held_requests.get(),
                connections: usage.connections.get(),
                request_counts: [usage.served.get(), usage.refused.get(), usage.failed.get()],
                core: self.core.usage_of(uid).1,
                servers: Vec::new(),
                sources: entry
                    .sources
                    .as_ref()
                    .filter(|_| entry.path.is_some())
                    .map_or(Vec::new(), |v| v.status()),
                omitted: match (self.paths.borrow().as_ref(), &entry.path) {
                    (Some(paths), Some((path, _))) => paths.omitted(path),
                    _ => Vec::new(),
                },
                admission: entry.active_pool.as_ref().and_then(|pool| {
                    pool.admission.borrow().as_ref().map(|(admission, _)| admission.snapshot())
                }),
            };
            (status, entry.active_pool.as_ref().map(|pool| pool.tx.clone()))
        };
        if let Some(pool) = pool {
            let (reply, statuses) = oneshot::channel();
            let _ = pool.send(DriverMessage::InspectServers(reply));
            status.servers = statuses.await.unwrap_or_default();
        }
        Some(status)
    }
}
