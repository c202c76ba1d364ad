//! What a child call inherits from the requests in flight of its chain.

use agatehill_decide::{
    chain::{ChainBudget, ChainGuard, ChainIndex, ChainRecord, ParentError},
    name::{ChainId, CustomerName},
    priority::CallPriority,
    time::MonoTime,
};
use rstest::rstest;

#[derive(Clone, Debug, Eq, PartialEq)]
struct FixedBudget(u32);

impl ChainBudget for FixedBudget {
    fn remaining(&self) -> u32 {
        self.0
    }
}

type Record = ChainRecord<FixedBudget>;

fn record(customer: &str, priority: u16, deadline_ms: u64, remaining: u32) -> Record {
    ChainRecord {
        chain: ChainId(7),
        customer: customer.try_into().unwrap(),
        priority: CallPriority(priority),
        deadline: MonoTime::from_millis(deadline_ms),
        budget: FixedBudget(remaining),
    }
}

#[rstest]
#[case::no_parent(vec![], None, Err(ParentError::Missing))]
#[case::one_parent(vec![record("a", 5, 9, 2)], None, Ok(record("a", 5, 9, 2)))]
#[case::most_conservative(
    vec![record("a", 5, 9, 2), record("a", 6, 8, 1), record("a", 1, 10, 4)], None,
    Ok(record("a", 6, 8, 1)))]
#[case::two_customers(
    vec![record("a", 5, 9, 2), record("b", 6, 8, 1)], None, Err(ParentError::Ambiguous))]
#[case::named_customer(vec![record("a", 5, 9, 2), record("b", 6, 8, 1)], Some("a"), Ok(record("a", 5, 9, 2)))]
#[case::other_customer_named(vec![record("a", 5, 9, 2)], Some("c"), Err(ParentError::Ambiguous))]
fn child_call_inherits_from_its_parents(
    #[case] parents: Vec<Record>,
    #[case] customer: Option<&str>,
    #[case] inherited: Result<Record, ParentError>,
) {
    let index = ChainIndex::default();
    let customer: Option<CustomerName> = customer.map(|name| name.try_into().unwrap());
    let guards: Vec<ChainGuard<_>> = parents.into_iter().map(|r| index.enter(r)).collect();
    assert_eq!(index.parent(ChainId(7), customer.as_ref()), inherited);
    assert_eq!(index.parent(ChainId(8), None), Err(ParentError::Missing));
    drop(guards);
    assert!(index.is_empty());
    assert_eq!(index.parent(ChainId(7), None), Err(ParentError::Missing));
}
