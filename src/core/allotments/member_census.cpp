#include "hyssopford/core/allotments/member_census.hpp"

#include "hyssopford/core/allotments/member_count.hpp"
#include "hyssopford/core/directory_value.hpp"

#include <algorithm>
#include <set>

namespace hyssopford {

namespace {

/// Counts the members that the values of the directory name or state.
std::uint32_t countNamed(const StoreResult &Result, NodeId Self) {
  std::set<NodeId> Named = {Self};
  std::uint32_t Most = 0;
  for (const std::string &Text : Result.Values) {
    const DirectoryValue Value = parseDirectoryValue(Text);
    // A value without a contact was not written by a member.
    if (Value.Contacts.empty()) {
      continue;
    }
    Most = std::max(Most, Value.Members);
    for (const std::string &Address : Value.Contacts) {
      Named.insert(nodeIdOf(Address));
    }
  }
  return std::max(Most, static_cast<std::uint32_t>(Named.size()));
}

} // namespace

void MemberCensus::learn(std::uint32_t Members, TimePoint Now) {
  if (!Proven) {
    Proven = true;
    Named = Members;
    LearnedUntil = Now + MemberCount::DeadTime;
  }
}

bool MemberCensus::receive(const StoreReplied &Reply, TimePoint Now) {
  if (OpenCall == 0 || Reply.Call != OpenCall) {
    return false;
  }
  OpenCall = 0;
  if (Reply.Result.Status != StoreStatus::Done || !StoreProven) {
    NextRead = Now + Retry;
    Retry = std::min(Retry * 2, RereadPeriod);
    return true;
  }
  Retry = RetryPeriod;
  NextRead = Now + RereadPeriod;
  Named = countNamed(Reply.Result, Self);
  LearnedUntil.reset();
  Proven = true;
  return true;
}

void MemberCensus::tick(TimePoint Now, Actions &Out) {
  if (OpenCall != 0 && CallStart + CallTimeout <= Now) {
    receive(StoreReplied{OpenCall, StoreResult()}, Now);
  }
  if (Needed && OpenCall == 0 && NextRead <= Now) {
    OpenCall = storeCallNumber(StoreUser::Census, ++LastCall);
    CallStart = Now;
    Out.emplace_back(StoreCall{OpenCall, StoreList{DirectoryPrefix}});
  }
}

std::uint32_t MemberCensus::atLeast(std::uint32_t Known, TimePoint Now) const {
  const bool Holds = !LearnedUntil || *LearnedUntil > Now;
  return Holds ? std::max(Known, Named) : Known;
}

std::optional<TimePoint> MemberCensus::nextWakeup() const {
  if (OpenCall != 0) {
    return CallStart + CallTimeout;
  }
  return Needed ? std::optional(NextRead) : std::nullopt;
}

} // namespace hyssopford
