//! The operator's configuration documents.

/// A route of the host `a.example`.
#[derive(Clone, Copy)]
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'static str,
    pub timeout_s: f64,
    pub priority: u32,
    pub service: &'static str,
}

/// Returns the document of `version`, built on `base`.
pub fn document(base: u64, version: u64, routes: &[Route<'_>]) -> String {
    let paths: Vec<_> = routes
        .iter()
        .map(|route| {
            format!(
                r#"{{"name":"r{}","pathPrefix":"{}","kind":"{}","timeoutS":{},"targetLatencyS":1.5,"priority":{},"service":"{}","maxAttempts":2}}"#,
                route.prefix.replace('/', "-"), route.prefix, route.kind, route.timeout_s, route.priority, route.service
            )
        })
        .collect();
    let mut services: Vec<_> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services: Vec<_> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","healthPath":"/health","maxConnections":472,"protocol":"h1","tls":false}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"baseVersion":{base},"virtualHosts":[{{"host":"a.example","paths":[{}]}}]}}"#,
        services.join(","),
        paths.join(",")
    )
}
