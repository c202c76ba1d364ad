//! The budget of repeats, over many daemons and a chain of services.

use agatehill_decide::{name::ServiceName, repeat_budget::RepeatBudget};

/// The bound on arrivals beyond the first of each request, over all daemons: a part of the requests
/// and a number that is free.
const RATIO: f64 = 0.2;
const FREE: f64 = 47.0;
const DAEMONS: usize = 24;

fn service() -> ServiceName {
    ServiceName::try_from("gasdata").unwrap()
}

/// Every first try fails, everywhere. The repeats of all daemons together stay within the bound, also
/// at the last service of a chain, which gets the calls of all repeats above it.
#[test]
fn repeats_of_all_daemons_stay_within_the_bound() {
    const DEPTH: usize = 4;
    let service = service();
    for requests_each in [0, 1, 5, 50, 2_000] {
        let mut repeats = 0;
        for _ in 0..DAEMONS {
            let mut budget = RepeatBudget::default();
            for _ in 0..requests_each {
                budget.earn(&service);
                repeats += usize::from(budget.spend(&service));
            }
        }
        let bound = RATIO * (DAEMONS * requests_each) as f64 + FREE;
        assert!(
            (DEPTH * repeats) as f64 <= bound,
            "{repeats} repeats, {requests_each} each"
        );
    }
}

#[test]
fn what_is_saved_up_is_bounded() {
    let service = service();
    let mut budget = RepeatBudget::default();
    (0..10_000).for_each(|_| budget.earn(&service));
    let repeats = (0..100).filter(|_| budget.spend(&service)).count();
    assert_eq!(repeats, 1);
}
