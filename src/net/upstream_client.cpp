#include "hyssopford/net/upstream_client.hpp"

#include "upstream_exchange.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

/// How often old idle connections are closed.
constexpr Duration StalePeriod = 1s;

} // namespace

UpstreamClient::UpstreamClient(EventLoop &EventSource,
                               UpstreamClientHandler &Receiver,
                               UpstreamClientSettings ClientSettings,
                               const EdgePolicy &Fields)
    : Loop(EventSource), Handler(Receiver), Settings(ClientSettings),
      Edge(Fields) {}

UpstreamClient::~UpstreamClient() { Loop.cancel(StaleTimer); }

void UpstreamClient::setUpstream(const std::string &NewAddress,
                                 const std::string &NewHealthPath,
                                 const std::string &NewInstance) {
  if (!NewHealthPath.empty()) {
    HealthPath = NewHealthPath;
  }
  Instance = NewInstance;
  if (NewAddress == Address) {
    return;
  }
  Address = NewAddress;
  std::vector<std::shared_ptr<Exchange>> Old;
  Old.swap(Idle);
  for (const auto &Each : Old) {
    Each->abandon();
  }
}

void UpstreamClient::forward(const ForwardToUpstream &Attempt) {
  std::shared_ptr<Exchange> Carrier = takeIdle(Attempt.Idempotent);
  if (!Carrier) {
    Carrier = openNew();
  }
  if (!Carrier) {
    Handler.onFailed(
        UpstreamFailed{Attempt.Attempt, OutcomeReason::ConnectFailed, false});
    Handler.onRefusedConnection();
    return;
  }
  ByAttempt.insert_or_assign(Attempt.Attempt, Carrier.get());
  Carrier->start(Attempt);
}

void UpstreamClient::cancel(AttemptId Attempt) {
  const auto Found = ByAttempt.find(Attempt);
  if (Found != ByAttempt.end()) {
    Exchange &Carrier = *Found->second;
    Carrier.abandon();
    discard(Carrier);
  }
}

void UpstreamClient::probe(const ProbeUpstream &Probe) {
  if (HealthPath.empty()) {
    // Nothing is known against the upstream, and nothing in its favour.
    const bool Good = Probe.Purpose != ProbePurpose::Presence;
    Loop.defer([this, Good, What = Probe.Purpose] {
      Handler.onProbed(ProbeFinished{Good, Duration{0}, What});
    });
    return;
  }
  std::shared_ptr<Exchange> Carrier = takeIdle(true);
  if (!Carrier) {
    Carrier = openNew();
  }
  if (!Carrier) {
    Handler.onProbed(ProbeFinished{false, Duration{0}, Probe.Purpose});
    Handler.onRefusedConnection();
    return;
  }
  Carrier->startProbe(HealthPath, Probe);
}

std::shared_ptr<UpstreamClient::Exchange>
UpstreamClient::takeIdle(bool Idempotent) {
  const TimePoint Now = EventLoop::now();
  while (!Idle.empty()) {
    std::shared_ptr<Exchange> Newest = Idle.back();
    const Duration Age = Now - Newest->idleSince();
    // The newest is the freshest; if it is too old for this request, all are.
    if (!Idempotent && Age > Settings.FreshTime) {
      return nullptr;
    }
    Idle.pop_back();
    if (Age > Settings.IdleTimeout || !Newest->isReusable()) {
      Newest->abandon();
      Loop.defer([Newest] {});
      continue;
    }
    ++Reused;
    Active.emplace(Newest.get(), Newest);
    return Newest;
  }
  return nullptr;
}

std::shared_ptr<UpstreamClient::Exchange> UpstreamClient::openNew() {
  auto New = std::make_shared<Exchange>(*this);
  if (Address.empty() || !New->connect(Address)) {
    return nullptr;
  }
  ++Opened;
  Active.emplace(New.get(), New);
  return New;
}

void UpstreamClient::release(Exchange &Done) {
  const auto Found = Active.find(&Done);
  if (Found == Active.end()) {
    return;
  }
  ByAttempt.erase(Done.attempt());
  std::shared_ptr<Exchange> Kept = std::move(Found->second);
  Active.erase(Found);
  if (Idle.size() >= Settings.PoolSize) {
    Kept->abandon();
    Loop.defer([Kept] {});
    return;
  }
  Idle.push_back(std::move(Kept));
  if (StaleTimer == 0) {
    StaleTimer = Loop.after(StalePeriod, [this] { closeStale(); });
  }
}

void UpstreamClient::discard(Exchange &Done) {
  const auto InPool =
      std::find_if(Idle.begin(), Idle.end(),
                   [&](const auto &Each) { return Each.get() == &Done; });
  if (InPool != Idle.end()) {
    Loop.defer([Kept = *InPool] {});
    Idle.erase(InPool);
    return;
  }
  const auto Found = Active.find(&Done);
  if (Found != Active.end()) {
    const auto Carried = ByAttempt.find(Done.attempt());
    if (Carried != ByAttempt.end() && Carried->second == &Done) {
      ByAttempt.erase(Carried);
    }
    Loop.defer([Kept = std::move(Found->second)] {});
    Active.erase(Found);
  }
}

void UpstreamClient::closeStale() {
  StaleTimer = 0;
  const TimePoint Oldest = EventLoop::now() - Settings.IdleTimeout;
  while (!Idle.empty() && Idle.front()->idleSince() < Oldest) {
    Idle.front()->abandon();
    Idle.erase(Idle.begin());
  }
  if (!Idle.empty()) {
    StaleTimer = Loop.after(StalePeriod, [this] { closeStale(); });
  }
}

} // namespace hyssopford
