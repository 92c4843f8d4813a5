#include "hyssopford/node/announcement.hpp"

#include "hyssopford/config/record_reader.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>

namespace hyssopford {

namespace {

/// Most concurrent requests that an upstream may announce.
constexpr std::uint32_t MaximumSlots = 65'536;

bool refuse(Error &Fault, const std::string &Reason) {
  Fault = Error{numberOf(ErrorCode::MalformedAnnouncement), "upstream.announce",
                "", Reason};
  return false;
}

bool readState(const std::string &Name, UpstreamState &State) {
  if (Name == "serving") {
    State = UpstreamState::Serving;
  } else if (Name == "cold") {
    State = UpstreamState::Cold;
  } else if (Name == "draining") {
    State = UpstreamState::Draining;
  } else {
    return false;
  }
  return true;
}

bool checkAnnouncement(const Announcement &New, const std::string &State,
                       Error &Fault) {
  if (New.Service.empty()) {
    return refuse(Fault, "/service: expected a name");
  }
  if (New.Slots == 0 || New.Slots > MaximumSlots) {
    return refuse(Fault, "/slots: expected 1 to 65536");
  }
  const bool IsPlain =
      std::all_of(New.HealthPath.begin(), New.HealthPath.end(),
                  [](char Each) { return Each > ' ' && Each <= '~'; });
  if (!New.HealthPath.starts_with('/') || !IsPlain) {
    return refuse(Fault, "/health_path: expected a path");
  }
  if (New.TimeToLive < 100ms || New.TimeToLive > 60s) {
    return refuse(Fault, "/ttl_ms: expected 100 to 60000");
  }
  if (State.empty()) {
    return refuse(Fault, "/state: expected serving, cold or draining");
  }
  try {
    const Poco::Net::SocketAddress Parsed(New.Address);
    if (!Parsed.host().isLoopback()) {
      return refuse(Fault, "/address: expected a loopback address");
    }
  } catch (const Poco::Exception &) {
    return refuse(Fault, "/address: expected ip:port");
  }
  return true;
}

} // namespace

std::optional<Announcement> parseAnnouncement(const std::string &Text,
                                              Error &Fault) {
  Announcement New;
  std::string State;
  try {
    const detail::Json Root = detail::parseRecord(Text);
    New.Service = detail::textOf(Root, "service");
    New.Address = detail::textOf(Root, "address");
    if (Root.contains("slots")) {
      New.Slots = static_cast<std::uint32_t>(
          detail::wholeNumberOf(Root, "slots", 1, MaximumSlots));
    }
    if (Root.contains("health_path")) {
      New.HealthPath = detail::textOf(Root, "health_path");
    }
    if (Root.contains("ttl_ms")) {
      New.TimeToLive = std::chrono::milliseconds(
          detail::wholeNumberOf(Root, "ttl_ms", 100, 60'000));
    }
    State = Root.contains("state") ? detail::textOf(Root, "state") : "serving";
  } catch (const std::exception &Caught) {
    refuse(Fault, detail::printable(Caught.what()));
    return std::nullopt;
  }
  if (!readState(State, New.State)) {
    State.clear();
  }
  if (!checkAnnouncement(New, State, Fault)) {
    return std::nullopt;
  }
  return New;
}

} // namespace hyssopford
