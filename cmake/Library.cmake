# hyssopford_library(NAME PUBLIC deps... PRIVATE deps...)
# Builds src/NAME/*.cpp as the static library hyssopford_NAME.
function(hyssopford_library NAME)
  cmake_parse_arguments(ARG "" "" "PUBLIC;PRIVATE" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS
       ${PROJECT_SOURCE_DIR}/src/${NAME}/*.cpp)
  if(NOT SOURCES)
    add_library(hyssopford_${NAME} INTERFACE)
    target_link_libraries(hyssopford_${NAME} INTERFACE ${ARG_PUBLIC})
    return()
  endif()
  add_library(hyssopford_${NAME} STATIC ${SOURCES})
  target_include_directories(
    hyssopford_${NAME}
    PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${PROJECT_SOURCE_DIR}/src/${NAME})
  target_link_libraries(hyssopford_${NAME} PUBLIC ${ARG_PUBLIC} Threads::Threads
                        PRIVATE ${ARG_PRIVATE})
endfunction()

# hyssopford_program(NAME FOLDER deps...)
# Builds FOLDER/*.cpp as the program NAME.
function(hyssopford_program NAME FOLDER)
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${FOLDER}/*.cpp)
  add_executable(${NAME} ${SOURCES})
  target_link_libraries(${NAME} PRIVATE ${ARGN})
endfunction()
