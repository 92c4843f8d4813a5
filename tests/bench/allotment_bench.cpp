/// @file
/// @brief Measures what the allotment adds to the start of a request: without a
/// limit, with a held token, and when the request is refused. Prints one JSON
/// line for each measurement.
#include "hyssopford/core/allotments/allotment_system.hpp"

#include <chrono>
#include <fmt/format.h>

using namespace hyssopford;

namespace {

constexpr int Calls = 200'000;
/// A new batch is delivered after this many calls.
constexpr int BatchCalls = 1'000;

struct Bench {
  NodeRun Self{NodeId{1}, Incarnation{1}};
  AllotmentSystem System{Self, AllotmentSettings{true}};
  TimePoint Now{1h};
  CallerRequest Request;
  Route Matched;

  Bench() {
    RoutingConfig Config;
    for (const char *Name : {"limited", "another", "third"}) {
      Config.Accounts.push_back({Name, {}, std::nullopt, 1e9, 1e9});
    }
    Config.Accounts.push_back({"free", {}, std::nullopt, 0.0, 0.0});
    System.adopt(Config);
    std::map<NodeId, MemberRecord> Members;
    Members[Self.Node].Id = Self;
    Actions Out;
    System.sync({Members, 1, true}, Now, Out);
  }

  /// Makes one call that waits, and answers its question to the granter.
  void answer(std::uint32_t Count, Duration RetryAfter) {
    Now += 1s;
    Actions Out;
    System.acquire(Request, Matched, Now, Out);
    for (const Action &Each : Out) {
      const auto *Sent = std::get_if<SendToPeer>(&Each);
      const auto *Ask = Sent == nullptr
                            ? nullptr
                            : std::get_if<AllotmentRequest>(&Sent->Message);
      if (Ask != nullptr) {
        Actions Ignored;
        System.receive(Self,
                       AllotmentGrant{Ask->Account, Count, Ask->Sequence,
                                      RetryAfter, true},
                       Now, Ignored);
      }
    }
    System.takeAllotted();
  }

  void measure(const char *Name, const std::string &Account,
               std::uint32_t Tokens, Duration RetryAfter) {
    Request.Account = Account;
    std::chrono::nanoseconds Total{0};
    int Waited = 0;
    for (int Done = 0; Done < Calls; Done += BatchCalls) {
      if (Tokens > 0 || RetryAfter > Duration{0}) {
        answer(Tokens, RetryAfter);
      }
      Actions Out;
      Out.reserve(BatchCalls);
      const auto Start = std::chrono::steady_clock::now();
      for (int Call = 0; Call < BatchCalls; ++Call) {
        Waited += System.acquire(Request, Matched, Now, Out) ? 1 : 0;
      }
      Total += std::chrono::steady_clock::now() - Start;
    }
    fmt::print("{{\"bench\":\"allotment_{}\",\"calls\":{},\"not_started\":{},"
               "\"ns_per_call\":{:.1f}}}\n",
               Name, Calls, Waited, static_cast<double>(Total.count()) / Calls);
  }
};

} // namespace

int main() {
  Bench Measured;
  Measured.measure("no_account", "", 0, Duration{0});
  Measured.measure("no_limit", "free", 0, Duration{0});
  Measured.measure("held_token", "limited", BatchCalls + 1, Duration{0});
  Measured.measure("refused", "another", 0, 500ms);
  return 0;
}
