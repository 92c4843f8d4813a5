/// @file
/// @brief Tests of encoding and decoding messages.
#include "hyssopford/net/message_codec.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

namespace {

/// Messages of the types that requests and gossip use, with fields set.
std::vector<PeerMessage> sampleMessages() {
  const AttemptId Attempt{{NodeId{7}, Incarnation{8}}, 9};
  Dispatch Request;
  Request.Attempt = Attempt;
  Request.Owner = Incarnation{11};
  Request.Service = "deposits";
  Request.Route = "deposit";
  Request.Remaining = 1500us;
  Request.Class = Priority::High;
  Request.Idempotent = true;
  Request.IsExtra = true;
  Request.Fingerprint = 12;
  Request.Trace = {13, 14, 15, true};
  Request.Account = "growers";
  Request.CredentialTime = 16us;
  Request.Request = Payload(std::string("POST / HTTP/1.1\r\n\r\n\0x", 21));
  DispatchReply Reply;
  Reply.Attempt = Attempt;
  Reply.Result = Outcome::NotRun;
  Reply.Reason = OutcomeReason::ShuttingDown;
  Reply.Status = 503;
  Reply.Load = {1, 2, 3, 4, 5us, 6us, true, 16.5, 7us};
  Reply.Answer = Payload("answer");
  MemberRecord Record;
  Record.Id = {NodeId{1}, Incarnation{2}};
  Record.UpdateNumber = 3;
  Record.State = MemberState::Leaving;
  Record.Address = "127.0.0.1:1";
  Record.FailureDomain = "a";
  Record.Region = "west";
  Record.Service = "deposits";
  Record.Upstream = UpstreamState::Draining;
  Record.Slots = 6;
  Record.OperatorsPort = 7103;
  return {Request,
          Reply,
          Cancel{Attempt},
          StatusQuery{Attempt, Incarnation{3}},
          StatusReply{Attempt, AttemptState::Finished},
          Gossip{{Record, Record}},
          QuarantineNotice{{CrashSighting{16, Attempt.Ingress, 17, 18, true,
                                          false, 19us, true},
                            CrashSighting{20, Attempt.Ingress, 21, 22, false,
                                          true, 23us, false}}},
          ConfigDigest{24, 25us, true, 26us, 29us},
          ConfigDigest{27, 28us, false, std::nullopt},
          AllotmentRequest{"growers", 29, 30},
          AllotmentGrant{"growers", 31, 32, 33us, true},
          EvacuationNotice{34, 35, {"a", "b"}},
          ShareRequest{36, 37, 42, true},
          ShareReply{38, 39, 40, 41us}};
}

} // namespace

TEST_CASE("message codec", "[frame]") {
  Error Fault;

  SECTION("encoding and decoding give the same message") {
    for (const PeerMessage &Each : sampleMessages()) {
      const std::string Bytes = encodeMessage(Each);
      REQUIRE(decodeMessage(Bytes, Fault) == Each);
      // Content received over a link is not aligned.
      const std::string Shifted = "x" + Bytes;
      REQUIRE(decodeMessage(std::string_view(Shifted).substr(1), Fault) ==
              Each);
    }
  }
  SECTION("truncated frames are refused or valid, without a crash") {
    for (const PeerMessage &Each : sampleMessages()) {
      const std::string Bytes = encodeMessage(Each);
      for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
        decodeMessage(std::string_view(Bytes).substr(0, Size), Fault);
      }
      REQUIRE_FALSE(decodeMessage(Bytes.substr(0, 4), Fault));
      REQUIRE(Fault.Code == 301);
    }
  }
  SECTION("a value out of range is refused") {
    StatusReply Wrong;
    Wrong.State = static_cast<AttemptState>(200);
    REQUIRE_FALSE(decodeMessage(encodeMessage(Wrong), Fault));
    REQUIRE(Fault.Code == 302);
  }
}

// Guards against a large request or answer that is copied for its encoding, and
// against a shared encoding that differs from the copied one.
TEST_CASE("shared encoding gives the same bytes as a copy", "[codec]") {
  for (std::size_t Size = 16'385; Size < 16'385 + 17; ++Size) {
    for (const PeerMessage &Each : sampleMessages()) {
      PeerMessage Message = Each;
      const Payload Content(std::string(Size, 'x') + "end");
      if (auto *Request = std::get_if<Dispatch>(&Message)) {
        Request->Request = Content;
      } else if (auto *Reply = std::get_if<DispatchReply>(&Message)) {
        Reply->Answer = Content;
      } else {
        continue;
      }
      const std::string Copied = encodeMessage(Message);
      const EncodedMessage Shared = encodeShared(Message);
      REQUIRE(Shared.size() == Copied.size());
      CHECK(Shared.part(0, Shared.size()) == Copied);
      CHECK(Shared.part(100, 16'384) == Copied.substr(100, 16'384));
      CHECK(Shared.Content.bytes().data() == Content.bytes().data());
      Error Fault;
      const auto Decoded = decodeMessage(Payload(Copied), Fault);
      REQUIRE(Decoded);
      CHECK(*Decoded == Message);
    }
  }
}
