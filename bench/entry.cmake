limpetlink_program(limpet-bench-entry
  SOURCES entry_slopes.cc
  DEPS limpetlink::entry)
if(LIMPETLINK_BUILD_TESTS)
  limpetlink_program(limpet-bench-fleet
    SOURCES fleet_slopes.cc
    DEPS limpetlink::core_world)
endif()
