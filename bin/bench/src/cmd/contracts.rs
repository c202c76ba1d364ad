//! Measures contracts: size, parsing, memory and lookup.

use crate::cost::{mean_nanos, measure_memory};
use agatehill_decide::{
    contract::{ContractSpec, ContractTable},
    contract_history::{ContractHistory, ContractPut},
    name::CustomerName,
    replicated_state::ReplicatedState,
};
use eyre::Result;
use std::{fmt::Write, sync::Arc};

/// Measures contracts in a daemon's table and in the keepers' history.
#[derive(clap::Args, Debug)]
pub(crate) struct Args {
    /// Number of contracts.
    #[arg(long, default_value_t = 1_000)]
    contracts: u64,
    /// Number of operations in each contract.
    #[arg(long, default_value_t = 10)]
    operations: u64,
    /// Number of services that the operations are distributed over.
    #[arg(long, default_value_t = 840)]
    services: u64,
    /// Number of timed lookups.
    #[arg(long, default_value_t = 1_000_000)]
    lookups: u64,
}

/// Fills both tables with generated contracts and prints the figures.
pub(crate) fn run(args: &Args) -> Result<()> {
    let Args {
        contracts,
        operations,
        ..
    } = *args;
    let text = |number| contract_text(number, operations, args.services);
    let parse_nanos = mean_nanos(contracts.min(1_000), |number| parse(&text(number)));
    let text_nanos = mean_nanos(contracts.min(1_000), text);

    let (table, table_bytes) = measure_memory(|| {
        let mut table = ContractTable::default();
        for number in 0..contracts {
            table.apply(Arc::new(parse(&text(number))));
        }
        table
    })?;
    let customers: Vec<_> = (0..contracts).map(customer_name).collect();
    let lookup_nanos = mean_nanos(args.lookups, |number| {
        let spec = table.get(&customers[(number % contracts) as usize])?;
        let operation = number % operations;
        let service = service_name(operation % args.services);
        spec.operation(&service, "GET", &format!("/items-{operation}/7"))
            .map(|found| found.deadline_ms)
    });
    let key_nanos = mean_nanos(args.lookups, |number| {
        let operation = number % operations;
        let service = service_name(operation % args.services);
        (service, format!("/items-{operation}/7"))
    });

    let mut apply_nanos = 0.0;
    let (history, history_bytes) = measure_memory(|| {
        let mut history = ContractHistory::default();
        apply_nanos = mean_nanos(contracts, |number| {
            history.apply(number + 1, contract_put(number, text(number)))
        });
        history
    })?;
    println!(
        "contracts={contracts} operations={operations} text_bytes={} parse_us={:.1} \
         daemon_bytes_each={} lookup_ns={:.0} book_apply_us={:.1} book_bytes_each={}",
        text(0).len(),
        (parse_nanos - text_nanos) / 1e3,
        table_bytes / contracts,
        lookup_nanos - key_nanos,
        (apply_nanos - text_nanos) / 1e3,
        history_bytes / contracts
    );
    drop(history);
    Ok(())
}

fn parse(text: &str) -> ContractSpec {
    ContractSpec::parse(text).expect("a generated contract is valid")
}

fn contract_put(number: u64, text: String) -> ContractPut {
    ContractPut {
        customer: customer_name(number),
        revision: 1,
        text: text.into(),
    }
}

fn customer_name(number: u64) -> CustomerName {
    let name = format!("customer-{number}");
    CustomerName::try_from(name).expect("the name is valid")
}

fn service_name(number: u64) -> String {
    format!("service-{number}")
}

fn contract_text(number: u64, operations: u64, services: u64) -> String {
    let mut text = format!(
        "customer = \"{}\"\nrevision = 1\ncalls_per_second = 4000\ncalls_in_flight = 1200\n\
         retries_per_request = 2\nremember_hours = 48\n",
        customer_name(number)
    );
    for operation in 0..operations {
        let service = service_name(operation % services);
        write!(
            text,
            "\n[[operation]]\nservice = \"{service}\"\nmethod = \"GET\"\n\
             path = \"/items-{operation}/{{id}}\"\nclass = \"normal\"\nidempotent = true\n\
             deadline_ms = 1500\n"
        )
        .expect("writing to a string cannot fail");
    }
    text
}
