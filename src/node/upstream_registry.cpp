#include "hyssopford/node/upstream_registry.hpp"

#include "hyssopford/core/error_codes.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopford {

namespace {

/// Most concurrent requests that an upstream may offer.
constexpr std::uint32_t MaximumSlots = 65'536;

bool refuse(Error &Fault, const std::string &Reason) {
  Fault = Error{numberOf(ErrorCode::AnnouncementForm), "upstream.announce", "",
                Reason};
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

bool check(const Announcement &New, const std::string &State, Error &Fault) {
  if (New.Service.empty()) {
    return refuse(Fault, "/service: expected a name");
  }
  if (New.Slots == 0 || New.Slots > MaximumSlots) {
    return refuse(Fault, "/slots: expected 1 to 65536");
  }
  if (!New.HealthPath.starts_with('/') ||
      New.HealthPath.find_first_of(" \r\n") != std::string::npos) {
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
    const nlohmann::json Root = nlohmann::json::parse(Text);
    New.Service = Root.at("service").get<std::string>();
    New.Address = Root.at("address").get<std::string>();
    New.Slots = Root.value("slots", New.Slots);
    New.HealthPath = Root.value("health_path", New.HealthPath);
    New.TimeToLive = std::chrono::milliseconds(
        Root.value("ttl_ms", std::int64_t{New.TimeToLive / 1ms}));
    State = Root.value("state", "serving");
  } catch (const nlohmann::json::exception &Exception) {
    refuse(Fault, Exception.what());
    return std::nullopt;
  }
  if (!readState(State, New.State)) {
    State.clear();
  }
  if (!check(New, State, Fault)) {
    return std::nullopt;
  }
  return New;
}

UpstreamRegistry::UpstreamRegistry(EventLoop &EventSource, CoreDriver &Target,
                                   UpstreamClient &Connections)
    : Loop(EventSource), Driver(Target), Client(Connections) {}

UpstreamRegistry::~UpstreamRegistry() { Loop.cancel(Expiry); }

bool UpstreamRegistry::announce(const Announcement &New) {
  if (New.Kind == AnnouncementKind::Removal) {
    withdraw(false);
    return true;
  }
  if (New.Kind == AnnouncementKind::Departure) {
    if (Latest && Latest->Instance != New.Instance) {
      return false;
    }
    depart();
    return true;
  }
  if (isOvertaken(New)) {
    return false;
  }
  if (New.Start != 0) {
    Departed = Departed && Latest && Latest->Instance == New.Instance &&
               Latest->Start == New.Start;
    Latest = New;
  }
  Loop.cancel(Expiry);
  Expiry = Loop.after(New.TimeToLive, [this] {
    Expiry = 0;
    withdraw(true);
  });
  const std::optional<Announcement> Old = std::exchange(Current, New);
  const bool OtherStart =
      Old && New.Start != 0 &&
      (Old->Start != New.Start || Old->Instance != New.Instance);
  if (OtherStart) {
    // What the earlier start was running is lost.
    Driver.submit(UpstreamGone{true});
  }
  Client.setUpstream(New.Address, New.HealthPath, New.Instance);
  if (Departed) {
    Current->State = UpstreamState::Draining;
  }
  if (!Old || OtherStart || Old->Service != New.Service ||
      Old->Slots != New.Slots || Old->State != Current->State) {
    Driver.submit(UpstreamAnnounced{New.Service, New.Slots, Current->State});
  }
  return true;
}

bool UpstreamRegistry::isOvertaken(const Announcement &New) const {
  if (New.Start == 0 || !Latest) {
    return false;
  }
  if (New.Start != Latest->Start) {
    return New.Start < Latest->Start;
  }
  return New.Instance == Latest->Instance && New.Sequence <= Latest->Sequence;
}

void UpstreamRegistry::depart() {
  Departed = true;
  if (Current && Current->State != UpstreamState::Draining) {
    Current->State = UpstreamState::Draining;
    Driver.submit(
        UpstreamAnnounced{Current->Service, Current->Slots, Current->State});
  }
}

void UpstreamRegistry::withdraw(bool Crashed) {
  Loop.cancel(Expiry);
  Expiry = 0;
  if (Current) {
    Current.reset();
    Driver.submit(UpstreamGone{Crashed});
  }
}

} // namespace hyssopford
