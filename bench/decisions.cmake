# Targets of the decisions' benchmark.
add_library(limpetlink_bench_decisions STATIC
  engine_model.cc decisions_mix.cc decisions_policies.cc decisions_trial.cc)
target_include_directories(limpetlink_bench_decisions PUBLIC
  ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
target_link_libraries(limpetlink_bench_decisions
  PUBLIC limpetlink::dispatch limpetlink::routing PRIVATE limpetlink_options)
limpetlink_program(limpet_bench_decisions
  SOURCES decisions.cc decisions_cost.cc
  DEPS limpetlink_bench_decisions nlohmann_json::nlohmann_json Threads::Threads)
