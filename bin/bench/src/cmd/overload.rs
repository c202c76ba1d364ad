//! Overload scenarios in virtual time, under agatehill and under the baselines.

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

/// Runs overload scenarios in virtual time; the same seed gives the same figures.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Only this deployment: dansk or sutravan.
    #[arg(long)]
    deployment: Option<String>,
    /// Only scenarios whose name contains this.
    #[arg(long)]
    scenario: Option<String>,
    /// Compare agatehill with one mechanism changed at a time, in place of the baselines.
    #[arg(long)]
    variants: bool,
    /// Seed of everything random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Scenarios that run at the same time.
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

/// Runs the command.
pub(crate) fn run(args: &Args) -> eyre::Result<()> {
    let deployments = chosen_deployments(args)?;
    let scenarios = chosen_scenarios(args)?;
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
        let rows = measure(deployment, &jobs, args);
        report::print_table(deployment.name, &rows);
    }
    Ok(())
}

fn measure(
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
                    rows.lock().expect("no run panics").push((idx, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().expect("no run panics");
    rows.sort_by_key(|(idx, _)| *idx);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn chosen_deployments(args: &Args) -> eyre::Result<Vec<DeploymentSpec>> {
    let mut all = vec![DeploymentSpec::dansk(), DeploymentSpec::sutravan()];
    if let Some(name) = &args.deployment {
        all.retain(|deployment| deployment.name == name);
        eyre::ensure!(
            !all.is_empty(),
            "deployment {name:?} is neither dansk nor sutravan"
        );
    }
    Ok(all)
}

fn chosen_scenarios(args: &Args) -> eyre::Result<Vec<ScenarioSpec>> {
    let mut all = SCENARIOS.to_vec();
    if let Some(part) = &args.scenario {
        all.retain(|scenario| scenario.name.contains(part.as_str()));
        eyre::ensure!(!all.is_empty(), "no scenario's name contains {part:?}");
    }
    Ok(all)
}
