// A baseline of the bench: a session without a token always reads from the primary.
fn write_side(database) {
    "old"
}

fn route(request) {
    let freshness = if request.class == "fresh" { "fresh" } else { "session" };
    let replica = request.statement == "read" && request.class != "no_token";
    #{ freshness: freshness, replica: replica, patience_ms: 5000 }
}
