# Installs the libraries with a CMake package, the headers, programs, schemas,
# examples and pages.
include(CMakePackageConfigHelpers)

set(HYSSOPFORD_PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/hyssopford)

foreach(LIBRARY core config telemetry net node)
  set_target_properties(hyssopford_${LIBRARY} PROPERTIES EXPORT_NAME ${LIBRARY})
  install(TARGETS hyssopford_${LIBRARY} EXPORT hyssopfordTargets
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
endforeach()
install(EXPORT hyssopfordTargets NAMESPACE hyssopford::
        DESTINATION ${HYSSOPFORD_PACKAGE_DIR})

configure_package_config_file(
  ${PROJECT_SOURCE_DIR}/cmake/hyssopfordConfig.cmake.in
  ${PROJECT_BINARY_DIR}/hyssopfordConfig.cmake
  INSTALL_DESTINATION ${HYSSOPFORD_PACKAGE_DIR})
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/hyssopfordConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/hyssopfordConfig.cmake
              ${PROJECT_BINARY_DIR}/hyssopfordConfigVersion.cmake
        DESTINATION ${HYSSOPFORD_PACKAGE_DIR})

install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/hyssopford
        DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(TARGETS hyssopford hyssopctl
        RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(DIRECTORY ${PROJECT_SOURCE_DIR}/schema ${PROJECT_SOURCE_DIR}/examples
        DESTINATION ${CMAKE_INSTALL_DATADIR}/hyssopford)
install(DIRECTORY ${PROJECT_SOURCE_DIR}/docs/
        DESTINATION ${CMAKE_INSTALL_DOCDIR})
install(FILES ${PROJECT_SOURCE_DIR}/README.md ${PROJECT_SOURCE_DIR}/CHANGELOG.md
        DESTINATION ${CMAKE_INSTALL_DOCDIR})
