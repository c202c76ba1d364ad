//! `agatehill-keeper serve SETTINGS`: runs the keeper until SIGTERM or `POST /drain`.

use crate::hub::KeeperHub;
use agatehill_config::KeeperSettings;
use agatehill_operator::{contracts::contract_routes, inspect::inspect_routes};
use agatehill_peer::keeper::KeeperServer;
use agatehill_process::{
    connection::SharedLimits,
    drain::DrainSignal,
    health::{self, ReadyFlag},
    serve::HttpServer,
};
use eyre::WrapErr;
use gotham::router::{Router, build_simple_router};
use std::path::PathBuf;

/// Runs the keeper until SIGTERM or `POST /drain`.
///
/// Prints `ready operator=ADDR peer=ADDR` once it listens on both addresses.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Settings file in TOML.
    settings: PathBuf,
}

/// Runs the subcommand.
pub(crate) fn run(args: Args) -> eyre::Result<()> {
    let settings: KeeperSettings = agatehill_config::load(&args.settings)?;
    agatehill_config::log::init(&settings.log)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: KeeperSettings) -> eyre::Result<()> {
    let drain = DrainSignal::open()?;
    let ready = ReadyFlag::default();
    let hub = KeeperHub::open(&settings)?;
    let addr = settings.listen.peer;
    let peer = KeeperServer::bind(addr, hub.clone(), hub.budget().peers.clone())
        .await
        .wrap_err_with(|| format!("cannot listen on peer address {addr}"))?;
    let addr = settings.listen.operator;
    let router = operator_router(hub.clone(), ready.clone(), drain.clone());
    let budget = hub.budget().operators.clone();
    let operator = HttpServer::bind_within(addr, router, SharedLimits::default(), budget)
        .await
        .wrap_err_with(|| format!("cannot listen on operator address {addr}"))?;
    tokio::spawn(hub.budget().all.clone().report());
    ready.set(true);
    println!(
        "ready operator={} peer={}",
        operator.local_addr(),
        peer.local_addr()
    );
    drain.wait().await;
    ready.set(false);
    operator.stop().await;
    hub.transfer_leadership().await;
    Ok(())
}

fn operator_router(hub: KeeperHub, ready: ReadyFlag, drain: DrainSignal) -> Router {
    build_simple_router(|route| {
        contract_routes(route, hub.clone());
        inspect_routes(route, hub);
        health::add_routes(route, ready, drain);
    })
}
