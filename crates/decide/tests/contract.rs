//! Accepted and refused contract texts, and which operation a request matches.

use agatehill_decide::contract::ContractSpec;
use rstest::rstest;

const CONTRACT: &str = r#"
customer = "dansk"
revision = 7
calls_per_second = 4000
calls_in_flight = 1200
retries_per_request = 2
remember_hours = 48

[[operation]]
service = "techreg"
method = "GET"
path = "/certificates/{id}"
class = "critical"
idempotent = true
deadline_ms = 1500

[[operation]]
service = "gasdata"
method = "POST"
path = "/logbook"
class = "normal"
idempotent = false
deadline_ms = 3000

[[operation]]
service = "techreg"
method = "GET"
path = "/certificates/{id}/pages/last"
class = "background"
idempotent = true
deadline_ms = 1500
"#;

#[rstest]
#[case::unknown_key(
    "revision = 7",
    "revison = 7",
    "line 3: key \"revison\": unknown field"
)]
#[case::unknown_operation_key(
    "deadline_ms = 1500",
    "deadline = 1500",
    "line 15: key \"operation[0].deadline\": unknown field"
)]
#[case::missing("calls_in_flight = 1200", "", "key \"calls_in_flight\": missing field")]
#[case::missing_in_operation(
    "class = \"normal\"",
    "",
    "line 17: key \"operation[1].class\": missing field"
)]
#[case::customer(
    "\"dansk\"",
    "\"da nsk\"",
    "line 2: key \"customer\": customer \"da nsk\" must be 1 to 64"
)]
#[case::service(
    "\"gasdata\"",
    "\"\"",
    "line 18: key \"operation[1].service\": service \"\" must be 1 to 64"
)]
#[case::revision_0(
    "revision = 7",
    "revision = 0",
    "line 3: key \"revision\": must be above 0"
)]
#[case::negative(
    "revision = 7",
    "revision = -7",
    "line 3: key \"revision\": invalid value"
)]
#[case::no_calls(
    "calls_per_second = 4000",
    "calls_per_second = 0",
    "line 4: key \"calls_per_second\": must be above 0"
)]
#[case::none_in_flight(
    "calls_in_flight = 1200",
    "calls_in_flight = 0",
    "line 5: key \"calls_in_flight\": must be above 0"
)]
#[case::retries(
    "= 2\n",
    "= 101\n",
    "line 6: key \"retries_per_request\": must be at most 100"
)]
#[case::not_remembered(
    "remember_hours = 48",
    "remember_hours = 0",
    "line 7: key \"remember_hours\": must be above 0, since operation[1] is not idempotent"
)]
#[case::remembered_too_long(
    "remember_hours = 48",
    "remember_hours = 9000",
    "line 7: key \"remember_hours\": must be at most 8784"
)]
#[case::method(
    "\"GET\"",
    "\"get\"",
    "line 11: key \"operation[0].method\": method \"get\" is not one of DELETE, GET"
)]
#[case::class(
    "\"critical\"",
    "\"urgent\"",
    "line 13: key \"operation[0].class\": unknown variant `urgent`"
)]
#[case::relative(
    "\"/logbook\"",
    "\"logbook\"",
    "line 20: key \"operation[1].path\": \"logbook\": must start with a slash"
)]
#[case::query(
    "\"/logbook\"",
    "\"/logbook?x\"",
    "line 20: key \"operation[1].path\": \"/logbook?x\": must be a path"
)]
#[case::open_brace(
    "{id}\"",
    "{id\"",
    "line 12: key \"operation[0].path\": \"/certificates/{id\": segment \"{id\" must be text"
)]
#[case::half_variable(
    "{id}\"",
    "c-{id}\"",
    "line 12: key \"operation[0].path\": \"/certificates/c-{id}\": segment \"c-{id}\""
)]
#[case::no_name(
    "{id}\"",
    "{}\"",
    "line 12: key \"operation[0].path\": \"/certificates/{}\": segment \"{}\""
)]
#[case::deadline_0(
    "= 3000",
    "= 0",
    "line 23: key \"operation[1].deadline_ms\": must be 1 to 3600000"
)]
#[case::duplicate(
    "/certificates/{id}/pages/last",
    "/certificates/{number}",
    "line 28: key \"operation[2].path\": operation[0] with path \"/certificates/{id}\" matches all"
)]
#[case::not_toml("[[operation]]", "[[operation]", "line 9: ")]
fn an_invalid_contract_is_refused_with_line_and_key(
    #[case] from: &str,
    #[case] to: &str,
    #[case] reason: &str,
) {
    assert!(CONTRACT.contains(from), "{from:?} is not in the contract");
    let error = ContractSpec::parse(&CONTRACT.replacen(from, to, 1)).unwrap_err();
    let message = error.to_string();
    assert!(
        message.starts_with(reason),
        "{message:?} does not start with {reason:?}"
    );
}

#[rstest]
#[case::variable("techreg", "GET", "/certificates/7", Some("/certificates/{id}"))]
#[case::deeper(
    "techreg",
    "GET",
    "/certificates/7/pages/last",
    Some("/certificates/{id}/pages/last")
)]
#[case::other_service("gasdata", "POST", "/logbook", Some("/logbook"))]
#[case::wrong_service("gasdata", "GET", "/certificates/7", None)]
#[case::unknown_service("certdesk", "GET", "/certificates/7", None)]
#[case::wrong_method("techreg", "POST", "/certificates/7", None)]
#[case::empty_segment("techreg", "GET", "/certificates/", None)]
#[case::too_deep("techreg", "GET", "/certificates/7/8", None)]
#[case::trailing_slash("techreg", "GET", "/certificates/7/", None)]
fn a_request_matches_at_most_one_operation(
    #[case] service: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] template: Option<&str>,
) {
    let spec = ContractSpec::parse(CONTRACT).unwrap();
    let found = spec.operation(service, method, path);
    assert_eq!(found.map(|operation| operation.path.as_str()), template);
}
