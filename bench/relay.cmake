if(LIMPETLINK_BUILD_PROGRAMS AND LIMPETLINK_BUILD_TESTS)
  limpetlink_program(limpet-plain-relay
    SOURCES plain_relay.cc
    DEPS limpetlink::microhttpd CURL::libcurl)
  limpetlink_program(limpet-relay-bench
    SOURCES relay.cc
    DEPS limpetlink_child_process limpetlink::operators nlohmann_json::nlohmann_json)
  add_dependencies(limpet-relay-bench
    limpet-plain-relay limpet-entry limpet-fake-engine limpet-fake-platform)
endif()
