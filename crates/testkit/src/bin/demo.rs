//! Demo: a hosted node with two tenants and stand-in servers, on loopback, until Ctrl-C.

use std::error::Error;
use std::time::Duration;

use woodgap_testkit::admin::tenant_spec;
use woodgap_testkit::backend::{Backend, ServerBehavior};
use woodgap_testkit::hosted::{TestNode, ACME_SECRET, OPERATOR_SECRET};

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut servers = Vec::new();
    for _ in 0..4 {
        servers.push(Backend::start(ServerBehavior::Serve(Duration::from_millis(20))).await?);
    }
    let mut node = tokio::task::spawn_blocking(TestNode::start).await??;
    let addrs: Vec<_> = servers.iter().map(|server| server.addr).collect();
    node.admin.create_tenant("acme", &tenant_spec(2_000), &addrs[..2]).await?;
    node.admin.create_tenant("rygbi-de", &tenant_spec(2_000), &addrs[2..]).await?;
    let (addr, admin) = (node.addr, node.admin.addr);
    println!("Two tenants, acme and rygbi-de, with two servers each.\n");
    println!("clients:        http://{addr}");
    println!(
        "administration: http://{admin}/v1 (operator's token: {OPERATOR_SECRET}, acme's: {ACME_SECRET})\n"
    );
    println!("A request of acme that may be repeated, and one that must never run twice:\n");
    let headers = "-H 'X-Lane: lookup' -H 'X-Remaining-Ms: 2000'";
    println!("  curl -i {headers} -H 'X-Txn: a1' -H 'X-Org: acme' 'http://{addr}/api?key=7f3a'");
    let headers = "-H 'X-Lane: renew' -H 'X-Remaining-Ms: 2000'";
    println!("  curl -i -d hello {headers} -H 'X-Txn: a2' -H 'X-Org: acme' 'http://{addr}/api?key=7f3a'\n");
    println!("The tenants, the status of one, and the changes from now on:\n");
    let token = format!("-H 'Authorization: Bearer {OPERATOR_SECRET}'");
    println!("  curl -s {token} http://{admin}/v1/tenants");
    println!("  curl -s {token} http://{admin}/v1/tenants/acme/status");
    println!("  curl -s {token} 'http://{admin}/v1/changes?after=6'\n");
    println!("Drain a server (its ETag is in the first response), and delete a tenant:\n");
    println!("  curl -i {token} http://{admin}/v1/tenants/acme/backends/s0");
    let body = format!("{{\"address\": \"{}\", \"phase\": \"terminating\"}}", addrs[0]);
    println!(
        "  curl -i {token} -X PUT -H 'If-Match: \"r2\"' -H 'Content-Type: application/json' -d '{body}' \
        http://{admin}/v1/tenants/acme/backends/s0"
    );
    println!("  curl -i {token} -X DELETE -H 'If-Match: \"r4\"' http://{admin}/v1/tenants/rygbi-de\n");
    println!("Press Ctrl-C to stop.");
    tokio::signal::ctrl_c().await?;
    tokio::task::spawn_blocking(move || node.stop()).await??;
    Ok(())
}
