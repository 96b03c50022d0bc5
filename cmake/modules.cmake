add_library(radishladder_options INTERFACE)
target_compile_options(radishladder_options INTERFACE -Wall -Wextra
    -Wnon-virtual-dtor -Wno-missing-field-initializers)
if(RADISHLADDER_WERROR)
    target_compile_options(radishladder_options INTERFACE -Werror)
endif()
if(RADISHLADDER_SANITIZE)
    target_compile_options(radishladder_options INTERFACE
        -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer -O1)
    target_link_options(radishladder_options INTERFACE -fsanitize=address,undefined)
endif()

# radish_module(NAME SOURCES file... [DEPENDS target...])
# Adds the static library radishladder_NAME, whose headers are included as "NAME/ithing.h".
function(radish_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(radishladder_${name} STATIC ${ARG_SOURCES})
    target_include_directories(radishladder_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_include_directories(radishladder_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src/framework)
    target_link_libraries(radishladder_${name} PUBLIC radishladder_options ${ARG_DEPENDS})
endfunction()

# radish_test(NAME SOURCES file... DEPENDS target... [TIMEOUT seconds])
# Adds the Criterion program test_NAME and a CTest test that runs it with a fixed RapidCheck seed. The timeout is 120
# seconds if none is given.
function(radish_test name)
    if(NOT RADISHLADDER_TESTS)
        return()
    endif()
    cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 120)
    endif()
    add_executable(test_${name} ${ARG_SOURCES})
    target_link_libraries(test_${name} PRIVATE radishladder_options ${ARG_DEPENDS}
        PkgConfig::criterion rapidcheck)
    add_test(NAME ${name} COMMAND test_${name} --jobs 2
        WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204"
        TIMEOUT ${ARG_TIMEOUT})
endfunction()
