/// @file
/// @brief Tests of messages of peers about attempts of others.
#include "hyssopford/core/node_core.hpp"
#include "support/decisions.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;
using namespace hyssopford::test;

namespace {

struct ForeignFixture {
  ForeignFixture() {
    NodeCoreSettings Settings;
    Settings.Address = "127.0.0.1:1";
    Settings.Run = Incarnation{1};
    Core = std::make_unique<NodeCore>(Settings);
    RoutingConfig Config;
    Config.Version = 1;
    Config.Routes.push_back(seatsRoute());
    Core->adopt(Config);
    handle(PeerLinkUp{Ingress});
    handle(PeerLinkUp{Stranger});
    handle(UpstreamAnnounced{"seats", 1, UpstreamState::Serving});
  }

  Actions handle(const Event &Input) {
    Actions Out;
    Core->handle(Input, at(1s), Out);
    return Out;
  }
  Dispatch dispatch(std::uint64_t Sequence) {
    Dispatch Result;
    Result.Attempt = AttemptId{Ingress, Sequence};
    Result.Owner = Incarnation{1};
    Result.Service = "seats";
    Result.Remaining = 2s;
    return Result;
  }
  Actions receive(NodeRun From, PeerMessage Message) {
    return handle(PeerMessageReceived{From, std::move(Message)});
  }

  NodeRun Ingress = nodeRun(7);
  NodeRun Stranger = nodeRun(8);
  std::unique_ptr<NodeCore> Core;
};

} // namespace

// Guards against a peer that ends or starts work in the name of another one.
TEST_CASE("only its ingress decides on an attempt", "[foreign]") {
  ForeignFixture Test;
  REQUIRE(all<ForwardToUpstream>(Test.receive(Test.Ingress, Test.dispatch(1)))
              .size() == 1);
  SECTION("a running one is not cancelled by others") {
    const Cancel Message{AttemptId{Test.Ingress, 1}};
    CHECK(all<CancelUpstream>(Test.receive(Test.Stranger, Message)).empty());
    CHECK(Test.Core->owner().inFlight() == 1);
    CHECK(all<CancelUpstream>(Test.receive(Test.Ingress, Message)).size() == 1);
  }
  SECTION("a queued one is not barred by the query of another") {
    Test.receive(Test.Ingress, Test.dispatch(2));
    const StatusQuery Message{AttemptId{Test.Ingress, 2}, Incarnation{1}};
    CHECK(messages<StatusReply>(Test.receive(Test.Stranger, Message)).empty());
    CHECK(Test.Core->owner().inFlight() == 2);
  }
  SECTION("others cannot start one") {
    Test.receive(Test.Stranger, Test.dispatch(3));
    CHECK(Test.Core->owner().inFlight() == 1);
  }
}
