#include "hyssopford/node/upstream_registry.hpp"

#include <utility>

namespace hyssopford {

namespace {

/// Limit for the probe of an upstream that announced itself; a busy one answers
/// late.
constexpr Duration PresenceProbeTimeout = 500ms;

} // namespace

UpstreamRegistry::UpstreamRegistry(EventLoop &EventSource, CoreDriver &Target,
                                   UpstreamClient &Connections,
                                   NodeTelemetry &Observer, std::string Service)
    : Loop(EventSource), Driver(Target), Client(Connections), Log(Observer),
      Starts(std::move(Service)) {}

UpstreamRegistry::~UpstreamRegistry() { Loop.cancel(Expiry); }

AnnouncementResult UpstreamRegistry::apply(const Announcement &New) {
  if (New.Kind == AnnouncementKind::Removal) {
    removeUpstream(false, "left");
    return AnnouncementResult::Applied;
  }
  if (New.Kind == AnnouncementKind::Departure) {
    return depart(New);
  }
  using Decision = UpstreamStarts::Decision;
  const std::optional<Announcement> Old = current();
  const Decision Result = Starts.consider(New, EventLoop::now());
  switch (Result) {
  case Decision::Renewed:
    NewRun = NewRun || !Old;
    renew(Old);
    return AnnouncementResult::Applied;
  case Decision::Claimed:
  case Decision::Contested:
    if (!Old) {
      Client.setUpstream(New.Address, New.HealthPath, New.Instance);
    }
    startProbe();
    return Result == Decision::Claimed ? AnnouncementResult::Applied
                                       : AnnouncementResult::Dropped;
  case Decision::Holds:
    submitChange(Old);
    return AnnouncementResult::Holds;
  case Decision::Foreign:
    return AnnouncementResult::Foreign;
  case Decision::Dropped:
    break;
  }
  return AnnouncementResult::Dropped;
}

AnnouncementResult UpstreamRegistry::depart(const Announcement &New) {
  const std::optional<Announcement> Old = current();
  const bool IsKnown = Starts.depart(New.Instance, New.Start);
  submitChange(Old);
  return IsKnown ? AnnouncementResult::Applied : AnnouncementResult::Holds;
}

void UpstreamRegistry::renew(const std::optional<Announcement> &Previous) {
  Loop.cancel(Expiry);
  Expiry = Loop.after(current()->TimeToLive, [this] {
    Expiry = 0;
    removeUpstream(true, "announcement expired");
  });
  Client.setUpstream(current()->Address, current()->HealthPath,
                     current()->Instance);
  if (current()->ColdTime > Duration{0}) {
    submitState();
  } else {
    submitChange(Previous);
  }
}

void UpstreamRegistry::submitChange(
    const std::optional<Announcement> &Previous) {
  if (current() && (!Previous || Previous->Service != current()->Service ||
                    Previous->Slots != current()->Slots ||
                    Previous->State != current()->State)) {
    submitState();
  }
}

void UpstreamRegistry::submitState() {
  static const char *const States[] = {"none", "cold", "serving", "draining"};
  const Announcement &Now = *current();
  Log.log(LogLevel::Info, "upstream_announced",
          {{"instance", Now.Instance},
           {"service", Now.Service},
           {"state", States[static_cast<std::size_t>(Now.State)]},
           {"slots", Now.Slots},
           {"cold_ms", Now.ColdTime / 1ms},
           {"new_run", NewRun ? "yes" : "no"},
           {"start", Now.Start},
           {"sequence", Now.Sequence}});
  Driver.submit(UpstreamAnnounced{Now.Service, Now.Slots, Now.State,
                                  Now.ColdTime, std::exchange(NewRun, false)});
}

void UpstreamRegistry::probePresence() {
  if (Starts.pendingClaim() != nullptr) {
    startProbe();
  }
}

void UpstreamRegistry::startProbe() {
  ProbeAgain = Probing;
  if (!Probing) {
    Probing = true;
    Client.probe(ProbeUpstream{PresenceProbeTimeout, ProbePurpose::Presence});
  }
}

void UpstreamRegistry::presenceProbed(const ProbeFinished &Result) {
  Probing = false;
  if (ProbeAgain) {
    // The answer may be older than the announcement.
    startProbe();
    return;
  }
  const UpstreamStarts::Finding Found =
      Starts.conclude(Result.Instance, Result.Succeeded, EventLoop::now());
  for (const Announcement &Each : Found.Refuted) {
    Log.log(LogLevel::Warning, "announcement_refuted",
            {{"instance", Each.Instance},
             {"start", Each.Start},
             {"sequence", Each.Sequence},
             {"answered_by", Result.Instance}});
  }
  if (Found.IsReplaced || Found.Confirmed) {
    removeUpstream(true, "another start of the upstream is at its address");
  }
  if (Found.Confirmed) {
    Starts.use(*Found.Confirmed);
    NewRun = NewRun || Found.IsNewRun;
    renew(std::nullopt);
  } else if (const Announcement *Pending = Starts.pendingClaim()) {
    // Its next announcement triggers another probe.
    Log.log(LogLevel::Info, "upstream_not_taken",
            {{"instance", Pending->Instance},
             {"sequence", Pending->Sequence},
             {"reason",
              Result.Succeeded
                  ? "the answer of the health endpoint may come from the "
                    "upstream in use"
                  : "its health endpoint did not answer with success; probing "
                    "again at its next announcement"}});
  }
}

void UpstreamRegistry::removeUpstream(bool Crashed, std::string_view Reason) {
  Loop.cancel(Expiry);
  Expiry = 0;
  if (const std::optional<Announcement> Gone = current()) {
    Log.log(Crashed ? LogLevel::Warning : LogLevel::Info, "upstream_gone",
            {{"instance", Gone->Instance},
             {"service", Gone->Service},
             {"sequence", Gone->Sequence},
             {"reason", Reason}});
    Starts.end();
    // An upstream that holds the connection of a request may still run it.
    const bool IsIdle = Client.sentAttempts() == 0;
    Driver.submit(UpstreamGone{Crashed && IsIdle, Client.unsentAttempts()});
  }
}

} // namespace hyssopford
