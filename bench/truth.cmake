limpetlink_program(streams_bench
  SOURCES streams_bench.cc
  DEPS limpetlink::streams)
limpetlink_program(idempotency_bench
  SOURCES idempotency_bench.cc
  DEPS limpetlink::idempotency)
