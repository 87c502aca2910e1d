# The Cassandra door of the example: started with --settings, beside example/config.json.
cassandra {
  listen            = "127.0.0.1:7442"
  cluster           = "example"
  timeout_ms        = 3000
  stores_drop_marks = true

  store {
    port    = 7501
    streams = 128
  }

  map {
    keyspace = "weather"
    kinds    = ["read"]
    workload = "any"
    group    = 1
  }
  map {
    keyspace = "weather"
    kinds    = ["write", "batch", "counter", "conditional"]
    workload = "write"
    group    = 1
  }
}
