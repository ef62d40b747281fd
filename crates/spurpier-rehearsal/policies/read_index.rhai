// A baseline of the bench: every read waits for the read index of its arrival.
fn write_side(database) {
    "old"
}

fn route(request) {
    #{ freshness: "fresh", replica: request.statement == "read", patience_ms: 5000 }
}
