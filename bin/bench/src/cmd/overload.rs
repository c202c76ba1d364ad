//! Simulates overload scenarios under agatehill and under the baselines.

use crate::overload::{
    control::ControlSpec,
    deployment::DeploymentSpec,
    report::{self, ReportRow},
    scenario::{SCENARIOS, ScenarioSpec},
    simulation::OverloadSimulation,
};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

/// Simulates overload scenarios in virtual time; the same seed gives the same figures.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Simulate only this deployment: dansk or sutravan.
    #[arg(long)]
    deployment: Option<String>,
    /// Simulate only scenarios whose name contains this text.
    #[arg(long)]
    scenario: Option<String>,
    /// Compare agatehill with variants that change one mechanism each, instead of the baselines.
    #[arg(long)]
    variants: bool,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of simulations that run in parallel.
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

/// Simulates the selected scenarios and prints a table for each deployment.
pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let deployments = selected_deployments(args)?;
    let scenarios = selected_scenarios(args)?;
    let controls = match args.variants {
        true => ControlSpec::variants(),
        false => vec![
            ControlSpec::agatehill(),
            ControlSpec::random_shedding(),
            ControlSpec::none(),
        ],
    };
    for deployment in &deployments {
        let jobs: Vec<_> = scenarios
            .iter()
            .flat_map(|scenario| controls.iter().map(move |control| (scenario, control)))
            .collect();
        let rows = simulate(deployment, &jobs, args);
        report::print_table(deployment.name, &rows);
    }
    Ok(())
}

/// Runs the jobs on `args.threads` threads; returns their rows in the order of the jobs.
fn simulate(
    deployment: &DeploymentSpec,
    jobs: &[(&ScenarioSpec, &ControlSpec)],
    args: &Args,
) -> Vec<ReportRow> {
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..args.threads.max(1) {
            scope.spawn(|| {
                loop {
                    let idx = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, control)) = jobs.get(idx) else {
                        return;
                    };
                    let figures = OverloadSimulation::run(deployment, scenario, control, args.seed);
                    let row = ReportRow {
                        scenario: scenario.name,
                        control: control.name,
                        figures,
                    };
                    rows.lock().expect("no simulation panics").push((idx, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().expect("no simulation panics");
    rows.sort_by_key(|(idx, _)| *idx);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn selected_deployments(args: &Args) -> eyre::Result<Vec<DeploymentSpec>> {
    let mut all = vec![DeploymentSpec::dansk(), DeploymentSpec::sutravan()];
    if let Some(name) = &args.deployment {
        all.retain(|deployment| deployment.name == name);
        eyre::ensure!(
            !all.is_empty(),
            "unknown deployment {name:?}: expected dansk or sutravan"
        );
    }
    Ok(all)
}

fn selected_scenarios(args: &Args) -> eyre::Result<Vec<ScenarioSpec>> {
    let mut all = SCENARIOS.to_vec();
    if let Some(part) = &args.scenario {
        all.retain(|scenario| scenario.name.contains(part.as_str()));
        eyre::ensure!(
            !all.is_empty(),
            "no scenario has a name that contains {part:?}"
        );
    }
    Ok(all)
}
