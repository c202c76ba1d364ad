//! Contract texts for tests.

use std::fmt::Write;

/// One operation of a contract.
#[derive(Clone, Copy, Debug)]
pub struct TestOperation {
    /// HTTP method and path pattern, separated by a space.
    pub request: &'static str,
    /// The service that runs it.
    pub service: &'static str,
    /// Class of its priority.
    pub class: &'static str,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Longest time until its response, in milliseconds.
    pub deadline_ms: u32,
}

/// Returns revision 1 of the contract of `customer` with `operations`, and two retries a request.
pub fn contract_text(customer: &str, operations: &[TestOperation]) -> String {
    let mut text = format!(
        "customer = \"{customer}\"\nrevision = 1\ncalls_per_second = 4000\ncalls_in_flight = 1200\n\
         retries_per_request = 2\nremember_hours = 48\n"
    );
    for operation in operations {
        let TestOperation {
            request,
            service,
            class,
            idempotent,
            deadline_ms,
        } = operation;
        let (method, path) = request.split_once(' ').expect("a method and a path");
        write!(
            text,
            "\n[[operation]]\nservice = \"{service}\"\nmethod = \"{method}\"\npath = \"{path}\"\n\
             class = \"{class}\"\nidempotent = {idempotent}\ndeadline_ms = {deadline_ms}\n"
        )
        .expect("writing to a string succeeds");
    }
    text
}

/// Returns the contract of customer `dansk` with one idempotent operation of class critical.
pub fn certificate_contract() -> String {
    let operation = TestOperation {
        request: "GET /certificates/{id}",
        service: "techreg",
        class: "critical",
        idempotent: true,
        deadline_ms: 10_000,
    };
    contract_text("dansk", &[operation])
}
