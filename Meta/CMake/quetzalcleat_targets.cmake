# quetzalcleat_library(LibName SOURCES ... LINK ...): a static library of one component.
function(quetzalcleat_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_link_libraries(${name} PUBLIC ${ARG_LINK} Threads::Threads)
endfunction()

# quetzalcleat_program(name SOURCES ... LINK ...): a program in build/bin.
function(quetzalcleat_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_LINK} Threads::Threads)
endfunction()

# quetzalcleat_test(name SOURCES ... LINK ...): a GoogleTest program with RapidCheck, run by CTest
# as one test with a fixed RapidCheck seed.
function(quetzalcleat_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_LINK} gtest gtest_main rapidcheck Threads::Threads)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()
