# Functions that define targets by one convention: a library is limpetlink_NAME with the alias
# limpetlink::NAME, a test program is NAME_test and registers its test cases with ctest.

find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Boost REQUIRED COMPONENTS log log_setup thread system)
find_package(CURL REQUIRED)
find_package(OpenSSL REQUIRED)
if(LIMPETLINK_BUILD_TESTS)
  find_package(Catch2 2 REQUIRED)
  include(Catch)
endif()

find_path(MICROHTTPD_INCLUDE_DIR microhttpd.h REQUIRED)
find_library(MICROHTTPD_LIBRARY microhttpd REQUIRED)
add_library(limpetlink_microhttpd INTERFACE)
add_library(limpetlink::microhttpd ALIAS limpetlink_microhttpd)
target_include_directories(limpetlink_microhttpd SYSTEM INTERFACE ${MICROHTTPD_INCLUDE_DIR})
target_link_libraries(limpetlink_microhttpd INTERFACE ${MICROHTTPD_LIBRARY})

add_library(limpetlink_options INTERFACE)
add_library(limpetlink::options ALIAS limpetlink_options)
target_compile_options(limpetlink_options INTERFACE
  -Wall -Wextra -Wpedantic -Wconversion -Wnon-virtual-dtor -Wold-style-cast
  -Woverloaded-virtual -Wimplicit-fallthrough)
if(LIMPETLINK_WERROR)
  target_compile_options(limpetlink_options INTERFACE -Werror)
endif()
if(LIMPETLINK_SANITIZER STREQUAL "address")
  target_compile_options(limpetlink_options INTERFACE
    -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer
    -Wno-maybe-uninitialized)  # false positives of GCC 12 in <regex> and Catch2
  target_link_options(limpetlink_options INTERFACE -fsanitize=address,undefined)
elseif(LIMPETLINK_SANITIZER STREQUAL "thread")
  target_compile_options(limpetlink_options INTERFACE -fsanitize=thread -fno-omit-frame-pointer)
  target_link_options(limpetlink_options INTERFACE -fsanitize=thread)
endif()

# limpetlink_library(NAME SOURCES a.cc ... [DEPS limpetlink::x ...]): adds a static library.
function(limpetlink_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(limpetlink_${name} STATIC ${ARG_SOURCES})
  add_library(limpetlink::${name} ALIAS limpetlink_${name})
  target_include_directories(limpetlink_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(limpetlink_${name} PUBLIC ${ARG_DEPS} PRIVATE limpetlink_options)
endfunction()

# limpetlink_program(NAME SOURCES a.cc ... [DEPS ...]): adds an executable NAME in build/bin.
function(limpetlink_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} limpetlink_options)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# limpetlink_test(NAME SOURCES a_test.cc ... [DEPS ...] [LABEL core|process]): adds a test program.
# All test programs link limpetlink_catch_main, so that Catch2's main is compiled only once.
function(limpetlink_test name)
  if(NOT LIMPETLINK_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "LABEL" "SOURCES;DEPS" ${ARGN})
  if(NOT ARG_LABEL)
    set(ARG_LABEL core)
  endif()
  add_executable(${name}_test ${ARG_SOURCES})
  target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name}_test PRIVATE ${ARG_DEPS} limpetlink_catch_main limpetlink_options)
  if(NOT TARGET tests_${ARG_LABEL})
    add_custom_target(tests_${ARG_LABEL})  # builds all test programs of the label
  endif()
  add_dependencies(tests_${ARG_LABEL} ${name}_test)
  catch_discover_tests(${name}_test TEST_PREFIX "${name}: "
    PROPERTIES LABELS ${ARG_LABEL} TIMEOUT 300)
endfunction()
