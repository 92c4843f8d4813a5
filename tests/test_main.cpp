/// @file
/// @brief Entry point shared by all test programs.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
