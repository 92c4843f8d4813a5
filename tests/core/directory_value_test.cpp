/// @file
/// @brief Tests of directory values that another program wrote.
#include "hyssopford/core/directory_system.hpp"

#include "support/decisions.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

// Guards against links to addresses that cannot be opened, or that block while
// a name is looked up, after another program wrote into the directory.
TEST_CASE("directory values that are no addresses are left out",
          "[membership]") {
  SeededRandomSource Random{1};
  DirectorySystem System("10.0.0.1:1", Random, platformStart());
  System.setIsolated(true, at(0ms));
  Actions Out;
  System.tick(at(10s), Out);
  const auto Calls = all<StoreCall>(Out);
  REQUIRE(Calls.size() == 1);
  StoreResult Result;
  Result.Status = StoreStatus::Done;
  Result.Value = "10.0.0.2:7600\n10.0.0.3:99999\n10.0.0.4:0\n10.0.0.5:\n"
                 ":7600\nname.example:7600\n10.0.0.6:76x\n\xff\xfe\n"
                 "10.0.0.7:-1\n[::1]:7601\n" +
                 std::string(100'000, '1') + ":1\n{\"a\":[]}\n";
  System.receive(StoreReplied{Calls[0].Call, Result}, at(10s));
  REQUIRE(System.takeContacts() ==
          std::vector<std::string>{"10.0.0.2:7600", "[::1]:7601"});
}
