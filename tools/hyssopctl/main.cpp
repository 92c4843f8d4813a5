/// @file
/// @brief Entry point of hyssopctl.
#include "commands.hpp"

#include <Poco/UUIDGenerator.h>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

std::string environmentValue(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? "" : Value;
}

} // namespace

int main(int Count, char **Arguments) {
  hyssopford::ctl::Environment Surroundings{
      std::cin,
      std::cout,
      std::cerr,
      [](std::chrono::milliseconds Pause) {
        std::this_thread::sleep_for(Pause);
      },
      [] { return Poco::UUIDGenerator().createRandom().toString(); },
      environmentValue("USER"),
      environmentValue("HYSSOPFORD_NODE"),
      environmentValue("HYSSOPFORD_TOKEN_FILE")};
  return hyssopford::ctl::run({Arguments + 1, Arguments + Count}, Surroundings);
}
