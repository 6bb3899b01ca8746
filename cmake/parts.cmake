# Functions that build one static library for each folder under src/ and one test program for each folder under tests/.

# Links the given parts; parts that do not exist are skipped.
function(link_parts target)
  foreach(part ${ARGN})
    if(TARGET part_${part})
      target_link_libraries(${target} PRIVATE part_${part})
    endif()
  endforeach()
endfunction()

# add_part(name [STANDARD n] LINK libraries-or-parts...) builds part_<name> from src/<name>; does nothing when
# that folder has no source files.
function(add_part name)
  cmake_parse_arguments(PART "" "STANDARD" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp ${CMAKE_SOURCE_DIR}/src/${name}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_library(part_${name} STATIC ${sources})
  target_include_directories(part_${name} PUBLIC ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/src)
  if(NOT name STREQUAL "generated" AND NOT name STREQUAL "rpc")
    target_compile_options(part_${name} PRIVATE -Wall -Wextra -Wno-missing-field-initializers)
    target_compile_definitions(part_${name} PUBLIC BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION)
  endif()
  if(PART_STANDARD)
    set_target_properties(part_${name} PROPERTIES CXX_STANDARD ${PART_STANDARD})
  endif()
  foreach(library ${PART_LINK})
    if(TARGET part_${library})
      target_link_libraries(part_${name} PUBLIC part_${library})
    elseif(NOT EXISTS ${CMAKE_SOURCE_DIR}/src/${library})
      target_link_libraries(part_${name} PUBLIC ${library})
    endif()
  endforeach()
  target_link_libraries(part_${name} PUBLIC Threads::Threads Boost::headers Boost::json)
endfunction()

# add_test_part(folder parts...) builds test_<folder> from tests/<folder>/*.cpp and adds it to CTest.
function(add_test_part folder)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tests/${folder}/*.cpp)
  if(NOT sources)
    return()
  endif()
  set(target test_${folder})
  add_executable(${target} ${sources} ${CMAKE_SOURCE_DIR}/tests/catch_main.cpp)
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  link_parts(${target} ${ARGN})
  target_link_libraries(${target} PRIVATE Catch2::Catch2 rapidcheck)
  add_test(NAME ${folder} COMMAND ${CMAKE_SOURCE_DIR}/scripts/run-tests.sh $<TARGET_FILE:${target}>)
  set_tests_properties(${folder} PROPERTIES TIMEOUT 600
    ENVIRONMENT "CHERVILPULLEY_BINARY=$<TARGET_FILE:chervilpulley>;CHERVILPULLEY_STANDIN=${CMAKE_BINARY_DIR}/standin;CHERVILPULLEY_SOURCE=${CMAKE_SOURCE_DIR};RC_PARAMS=seed=20261204")
endfunction()

# add_fuzz_part(name parts...) builds fuzz_<name> from tests/fuzz/<name>_target.cpp and adds it to CTest. With
# FUZZ_ENGINE=libfuzzer (clang only) it runs under libFuzzer, otherwise under the driver in tests/fuzz, which any
# compiler builds.
set(FUZZ_ENGINE "driver" CACHE STRING "what drives the fuzz targets: driver or libfuzzer")
set(FUZZ_RUNS 20000 CACHE STRING "inputs that each fuzz target runs in CTest")
function(add_fuzz_part name)
  set(target fuzz_${name})
  add_executable(${target} ${CMAKE_SOURCE_DIR}/tests/fuzz/${name}_target.cpp)
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  link_parts(${target} ${ARGN})
  if(FUZZ_ENGINE STREQUAL "libfuzzer")
    target_compile_options(${target} PRIVATE -fsanitize=fuzzer)
    target_link_options(${target} PRIVATE -fsanitize=fuzzer)
  else()
    target_sources(${target} PRIVATE ${CMAKE_SOURCE_DIR}/tests/fuzz/driver.cpp ${CMAKE_SOURCE_DIR}/tests/fuzz/mutator.cpp)
  endif()
  add_test(NAME ${target} COMMAND ${target} -seed=20261204 -runs=${FUZZ_RUNS})
  set_tests_properties(${target} PROPERTIES TIMEOUT 120 LABELS fuzz)
endfunction()

# add_sanitizer_tests(target sources parts...) adds a test program that scripts/sanitize.sh builds and runs. The test
# programs of CTest include the same tests.
function(add_sanitizer_tests target sources)
  add_executable(${target} EXCLUDE_FROM_ALL ${sources} ${CMAKE_SOURCE_DIR}/tests/catch_main.cpp)
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  link_parts(${target} ${ARGN})
  target_link_libraries(${target} PRIVATE Catch2::Catch2 rapidcheck)
endfunction()
