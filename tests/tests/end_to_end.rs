//! One call through keeper, daemon and backend server as separate processes.

use agatehill_tests::{
    bed::{TestBed, ZONE},
    contract::certificate_contract,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_call_reaches_the_backend_server_beside_its_daemon() {
    let mut bed = TestBed::open(&[ZONE]);
    let keepers = bed.start_keepers();
    bed.put_contract(
        keepers[0].addr("operator"),
        "dansk",
        &certificate_contract(),
    )
    .await;
    let spec = bed.add_daemon(ZONE);
    let daemon = bed.start_daemon(&spec);
    let _backend = bed.start_backend(&daemon, "techreg", &[]);
    bed.wait_served(&daemon, "dansk", "/call/techreg/certificates/7")
        .await;

    let headers = [("agatehill-customer", "dansk"), ("idempotency-key", "r-1")];
    let addr = daemon.addr("caller");
    let request = bed
        .client
        .send("GET", addr, "/call/techreg/certificates/7", &headers, "")
        .await;
    let response = request.expect("a response");
    assert_eq!(response.status, 200);
    assert_eq!(response.header("agatehill-outcome"), "answered");
}
