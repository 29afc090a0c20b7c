# parsleyplank_library(name DEPENDS targets...)
#
# Builds the static library of the current folder from its .cpp files. Headers
# are included as <parsleyplank/NAME/header.hpp>: at configure time, a symbolic
# link to src is created in include/ of the build folder, so that sources and
# headers stay in the same folder.
set_property(GLOBAL PROPERTY PARSLEYPLANK_LIBRARIES "")
set(PARSLEYPLANK_INCLUDE ${CMAKE_BINARY_DIR}/include)
file(MAKE_DIRECTORY ${PARSLEYPLANK_INCLUDE})
file(CREATE_LINK ${CMAKE_SOURCE_DIR}/src ${PARSLEYPLANK_INCLUDE}/parsleyplank
     SYMBOLIC)

function(parsleyplank_library name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${PARSLEYPLANK_INCLUDE})
  target_link_libraries(${name} PUBLIC ${arg_DEPENDS})
  set_property(GLOBAL APPEND PROPERTY PARSLEYPLANK_LIBRARIES ${name})
endfunction()

# parsleyplank_tests(name)
#
# Builds one CppUnit runner from the .cpp files of the current folder and
# registers it with CTest under the same name.
function(parsleyplank_tests name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  if(NOT sources)
    return()
  endif()
  get_property(libraries GLOBAL PROPERTY PARSLEYPLANK_LIBRARIES)
  add_executable(${name} ${sources}
                 ${CMAKE_SOURCE_DIR}/test/support/main.cpp)
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/test)
  target_compile_definitions(
    ${name} PRIVATE PARSLEYPLANK_GOLDEN_DIR="${CMAKE_SOURCE_DIR}/test/golden"
                    PARSLEYPLANK_DEPLOY_DIR="${CMAKE_SOURCE_DIR}/deploy")
  target_link_libraries(${name} PRIVATE parsleyplank_test_support ${libraries}
                                        PkgConfig::CPPUNIT)
endfunction()
