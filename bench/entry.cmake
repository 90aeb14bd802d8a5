limpetlink_program(limpet-bench-entry
  SOURCES entry_slopes.cc
  DEPS limpetlink::entry)
