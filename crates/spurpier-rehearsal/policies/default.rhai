// The policy of a rehearsal: all on the old side, reads on replicas where the freshness allows.
fn write_side(database) {
    "old"
}

fn route(request) {
    let freshness = if request.class == "fresh" { "fresh" } else { "session" };
    #{ freshness: freshness, replica: request.statement == "read", patience_ms: 5000 }
}
