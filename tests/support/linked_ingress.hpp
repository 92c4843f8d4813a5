/// @file
/// @brief An ingress with candidates, for tests of its decisions.
#pragma once

#include "hyssopford/core/ingress_system.hpp"

#include "support/decisions.hpp"

namespace hyssopford::test {

/// An ingress with linked candidates 1, 2 and 3.
struct LinkedIngress {
  SeededRandomSource Random{7};
  IngressSystem Ingress;
  Actions Out;

  explicit LinkedIngress(const RoutingSettings &Settings = {})
      : Ingress(nodeRun(9), Random, Settings, "r1") {
    Ingress.setCandidates({candidate(1), candidate(2), candidate(3)});
    for (std::uint64_t Node = 1; Node <= 3; ++Node) {
      Ingress.linkUp(nodeRun(Node), at(0ms), Out);
    }
  }

  Addressed<Dispatch> start(const CallerRequest &Request, Duration Now = 0ms) {
    Out.clear();
    Ingress.start(Request, seatsRoute(), at(Now), Out);
    return messages<Dispatch>(Out).at(0);
  }

  /// Ends an attempt; the actions of the reply are in Out.
  void end(const Addressed<Dispatch> &Sent, Outcome Result,
           OutcomeReason Reason, Duration Now, std::uint16_t Status = 200) {
    Out.clear();
    DispatchReply Reply;
    Reply.Attempt = Sent.Message.Attempt;
    Reply.Result = Result;
    Reply.Reason = Reason;
    Reply.Status = Result == Outcome::Answered ? Status : 0;
    Ingress.finishAttempt(NodeRun{Sent.To, Sent.Message.Owner}, Reply, at(Now),
                          Out);
  }

  ReplyToCaller reply() const { return all<ReplyToCaller>(Out).at(0); }
};

} // namespace hyssopford::test
