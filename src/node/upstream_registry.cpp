#include "hyssopford/node/upstream_registry.hpp"

#include "hyssopford/config/record_reader.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

/// Most concurrent requests that an upstream may announce.
constexpr std::uint32_t MaximumSlots = 65'536;
/// Limit for the probe of an unverified upstream; a busy one answers late.
constexpr Duration PresenceProbeTimeout = 500ms;

bool refuse(Error &Fault, const std::string &Reason) {
  Fault = Error{numberOf(ErrorCode::MalformedAnnouncement), "upstream.announce",
                "", Reason};
  return false;
}

/// Most starts, and most departures of unknown instances, that are kept.
constexpr std::size_t KeptMax = 8;

/// Appends a value and drops the oldest one above KeptMax.
template <typename T> void keepNewest(std::deque<T> &Values, const T &New) {
  Values.push_back(New);
  if (Values.size() > KeptMax) {
    Values.pop_front();
  }
}

bool isSameStart(const Announcement &Left, const Announcement &Right) {
  return Left.Instance == Right.Instance && Left.Start == Right.Start;
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

UpstreamRegistry::UpstreamRegistry(EventLoop &EventSource, CoreDriver &Target,
                                   UpstreamClient &Connections,
                                   NodeTelemetry &Observer)
    : Loop(EventSource), Driver(Target), Client(Connections), Log(Observer) {}

UpstreamRegistry::~UpstreamRegistry() { Loop.cancel(Expiry); }

AnnouncementResult UpstreamRegistry::apply(const Announcement &New) {
  if (New.Kind == AnnouncementKind::Removal) {
    removeUpstream(false, "left");
    return AnnouncementResult::Applied;
  }
  if (New.Kind == AnnouncementKind::Departure) {
    return depart(New.Instance);
  }
  if (isOvertaken(New)) {
    if (!holds(New)) {
      return AnnouncementResult::Dropped;
    }
    noteSequence(New);
    return AnnouncementResult::Holds;
  }
  NewRun = NewRun || isNewRun(New);
  remember(New);
  Loop.cancel(Expiry);
  Expiry = Loop.after(New.TimeToLive, [this] {
    Expiry = 0;
    removeUpstream(true, "announcement expired");
  });
  const std::optional<Announcement> Old = std::exchange(Current, New);
  const bool OtherStart = Old && New.Start != 0 && !isSameStart(*Old, New);
  if (OtherStart) {
    // Requests that the earlier start was running are lost.
    Log.log(LogLevel::Warning, "upstream_gone",
            {{"instance", Old->Instance},
             {"service", Old->Service},
             {"sequence", Old->Sequence},
             {"reason", "another start of the upstream announced itself"}});
    Driver.submit(UpstreamGone{true, Client.unsentAttempts()});
  }
  Client.setUpstream(New.Address, New.HealthPath, New.Instance);
  if (Departed) {
    Current->State = UpstreamState::Draining;
  }
  if (Unverified && Current->State != UpstreamState::Draining) {
    probePresence();
    return AnnouncementResult::Applied;
  }
  if (!Old || OtherStart || Old->Service != New.Service ||
      Old->Slots != New.Slots || Old->State != Current->State ||
      New.ColdTime > Duration{0}) {
    submitState();
  }
  return AnnouncementResult::Applied;
}

bool UpstreamRegistry::isNewRun(const Announcement &New) const {
  if (New.Start == 0) {
    return !Current;
  }
  // A later announcement of a start that this node does not know comes from an
  // upstream that ran before the node, and states itself whether it is cold.
  return Latest ? !isSameStart(*Latest, New) : New.Sequence <= 1;
}

AnnouncementResult UpstreamRegistry::depart(const std::string &Instance) {
  if (Latest && Latest->Instance == Instance) {
    startDraining();
    return AnnouncementResult::Applied;
  }
  keepNewest(DepartedUnseen, Instance);
  if (!Latest) {
    startDraining();
    return AnnouncementResult::Applied;
  }
  return AnnouncementResult::Holds;
}

void UpstreamRegistry::submitState() {
  static const char *const States[] = {"none", "cold", "serving", "draining"};
  Log.log(LogLevel::Info, "upstream_announced",
          {{"instance", Current->Instance},
           {"service", Current->Service},
           {"state", States[static_cast<std::size_t>(Current->State)]},
           {"slots", Current->Slots},
           {"cold_ms", Current->ColdTime / 1ms},
           {"new_run", NewRun ? "yes" : "no"},
           {"start", Current->Start},
           {"sequence", Current->Sequence}});
  Driver.submit(UpstreamAnnounced{Current->Service, Current->Slots,
                                  Current->State, Current->ColdTime,
                                  std::exchange(NewRun, false)});
}

bool UpstreamRegistry::isOvertaken(const Announcement &New) const {
  if (New.Start == 0 || !Latest) {
    return false;
  }
  if (isSameStart(*Latest, New)) {
    return New.Sequence <= Latest->Sequence;
  }
  const auto Known =
      std::find_if(Others.begin(), Others.end(), [&](const Announcement &Each) {
        return isSameStart(Each, New);
      });
  if (Known != Others.end() && New.Sequence <= Known->Sequence) {
    return true;
  }
  return New.Start < Latest->Start && Current.has_value();
}

bool UpstreamRegistry::holds(const Announcement &New) const {
  const bool IsLatest = isSameStart(*Latest, New);
  if (IsLatest && New.Sequence == Latest->Sequence) {
    return New == *Latest;
  }
  // The upstream of another start gets no requests.
  const bool GetsNone = !IsLatest || Departed || !Current ||
                        Current->State == UpstreamState::Draining;
  return New.State == UpstreamState::Draining && GetsNone;
}

void UpstreamRegistry::noteSequence(const Announcement &New) {
  if (isSameStart(*Latest, New)) {
    return;
  }
  const auto Known =
      std::find_if(Others.begin(), Others.end(), [&](const Announcement &Each) {
        return isSameStart(Each, New);
      });
  if (Known != Others.end()) {
    if (Known->Sequence < New.Sequence) {
      *Known = New;
    }
    return;
  }
  keepNewest(Others, New);
}

void UpstreamRegistry::remember(const Announcement &New) {
  // After a restart, this node does not know whether the upstream sent its
  // departure to an earlier incarnation.
  Unverified = Unverified || (!Latest && New.Start != 0 && New.Sequence > 1);
  if (New.Start == 0) {
    return;
  }
  if (!Latest || !isSameStart(*Latest, New)) {
    Unverified = Unverified || (Latest && New.Start < Latest->Start);
    std::erase_if(Others, [&](const Announcement &Each) {
      return isSameStart(Each, New);
    });
    if (Latest) {
      keepNewest(Others, *Latest);
    }
    // The first announcement of a start comes before its departure.
    const auto Left =
        std::find(DepartedUnseen.begin(), DepartedUnseen.end(), New.Instance);
    Departed = Left != DepartedUnseen.end() && New.Sequence > 1;
    if (Left != DepartedUnseen.end()) {
      DepartedUnseen.erase(Left);
    }
  }
  Latest = New;
}

void UpstreamRegistry::probePresence() {
  if (Unverified && Current) {
    Client.probe(ProbeUpstream{PresenceProbeTimeout, ProbePurpose::Presence});
  }
}

void UpstreamRegistry::presenceProbed(bool TakesRequests) {
  if (!Unverified || !Current) {
    return;
  }
  if (!TakesRequests) {
    // The next announcement triggers another probe.
    Log.log(LogLevel::Info, "upstream_not_taken",
            {{"instance", Current->Instance},
             {"sequence", Current->Sequence},
             {"reason", "its health endpoint did not answer with success; "
                        "probing again at its "
                        "next announcement"}});
    return;
  }
  Unverified = false;
  submitState();
}

void UpstreamRegistry::startDraining() {
  Departed = true;
  if (Current && Current->State != UpstreamState::Draining) {
    Current->State = UpstreamState::Draining;
    submitState();
  }
}

void UpstreamRegistry::removeUpstream(bool Crashed, std::string_view Reason) {
  Loop.cancel(Expiry);
  Expiry = 0;
  if (Current) {
    Log.log(Crashed ? LogLevel::Warning : LogLevel::Info, "upstream_gone",
            {{"instance", Current->Instance},
             {"service", Current->Service},
             {"sequence", Current->Sequence},
             {"reason", Reason}});
    Current.reset();
    Driver.submit(UpstreamGone{Crashed, Client.unsentAttempts()});
  }
}

} // namespace hyssopford
