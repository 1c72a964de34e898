# One CMake target per slice. gentian_package(NAME DEPS ...) builds a static
# library from the .cc files of the current folder, without its tests, and one
# test program per *_test.cc. gentian_program(NAME DEPS ...) builds a program.

# GCC 12 takes the inactive side of a variant for an uninitialized value.
set(GENTIAN_WARNINGS -Wno-unknown-warning-option -Wno-maybe-uninitialized
  -Wall -Wextra -Wpedantic -Wshadow -Werror
  -Wno-missing-field-initializers)

function(gentian_package name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  set(tests ${sources})
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  add_library(gentian_${name} STATIC ${sources})
  target_include_directories(gentian_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(gentian_${name} PRIVATE ${GENTIAN_WARNINGS})
  target_link_libraries(gentian_${name} PUBLIC ${ARG_DEPS})
  foreach(source ${tests})
    get_filename_component(test ${source} NAME_WE)
    gentian_test(${name}_${test} ${source} DEPS gentian_${name})
  endforeach()
endfunction()

function(gentian_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${GENTIAN_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS})
endfunction()

function(gentian_test name source)
  if(NOT GENTIANLB_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  add_executable(${name} ${source})
  target_compile_options(${name} PRIVATE ${GENTIAN_WARNINGS})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK
    GENTIANLB_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
    BOOST_TEST_MODULE=${name})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS}
    Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()
