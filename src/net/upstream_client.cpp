#include "hyssopford/net/upstream_client.hpp"

#include "upstream_exchange.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

/// Interval of the check for expired idle connections.
constexpr Duration IdleCheckPeriod = 1s;
/// Time after which answers that wait for memory are read again.
constexpr Duration MemoryCheckPeriod = 5ms;
/// Longest time until a new connection shows whether the upstream listens.
constexpr Duration LossCheckLimit = 100ms;
/// Time until a refused check is repeated while other attempts have their
/// connections, and how often: a process that ends closes one after the other.
constexpr Duration LossRecheckPeriod = 2ms;
constexpr std::uint32_t LossRechecksMax = 5;

} // namespace

UpstreamClient::UpstreamClient(EventLoop &EventSource,
                               UpstreamClientHandler &Receiver,
                               UpstreamClientSettings ClientSettings,
                               const EdgePolicy &Fields)
    : Loop(EventSource), Handler(Receiver), Settings(std::move(ClientSettings)),
      Edge(Fields) {}

UpstreamClient::~UpstreamClient() {
  Loop.cancel(IdleCheckTimer);
  Loop.cancel(MemoryTimer);
  Loop.cancel(LossTimer);
}

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
  NewConnectionsUntil = TimePoint();
  std::vector<std::shared_ptr<Exchange>> Old;
  Old.swap(Idle);
  for (const auto &Each : Old) {
    Each->abandon();
  }
}

void UpstreamClient::forward(const ForwardToUpstream &Attempt) {
  std::shared_ptr<Exchange> Connection = takeIdle(Attempt.Idempotent);
  if (!Connection) {
    Connection = openConnection();
  }
  if (!Connection) {
    Handler.onFailed(
        UpstreamFailed{Attempt.Attempt, OutcomeReason::ConnectFailed, false});
    Handler.onRefusedConnection();
    return;
  }
  ByAttempt.insert_or_assign(Attempt.Attempt, Connection.get());
  Connection->start(Attempt);
}

void UpstreamClient::cancel(AttemptId Attempt) {
  std::erase_if(Lost, [&](const UpstreamFailed &Each) {
    return Each.Attempt == Attempt;
  });
  const auto Found = ByAttempt.find(Attempt);
  if (Found != ByAttempt.end()) {
    Exchange &Connection = *Found->second;
    Connection.abandon();
    discard(Connection);
  }
}

void UpstreamClient::probe(const ProbeUpstream &Probe) {
  if (HealthPath.empty()) {
    // Without a health endpoint, health is assumed, but an arrival is not
    // confirmed.
    const bool Succeeds = Probe.Purpose != ProbePurpose::Presence;
    Loop.defer([this, Succeeds, ProbedFor = Probe.Purpose] {
      Handler.onProbed(ProbeFinished{Succeeds, Duration{0}, ProbedFor});
    });
    return;
  }
  // A connection in the pool may belong to an upstream that another one has
  // replaced.
  const bool MayReuse = Probe.Purpose != ProbePurpose::Presence;
  std::shared_ptr<Exchange> Connection = MayReuse ? takeIdle(true) : nullptr;
  if (!Connection) {
    Connection = openConnection();
  }
  if (!Connection) {
    Handler.onProbed(ProbeFinished{false, Duration{0}, Probe.Purpose});
    Handler.onRefusedConnection();
    return;
  }
  Connection->startProbe(HealthPath, Probe);
}

std::size_t UpstreamClient::sentAttempts() const {
  return static_cast<std::size_t>(
      std::count_if(ByAttempt.begin(), ByAttempt.end(),
                    [](const auto &Entry) { return Entry.second->isSent(); }));
}

std::vector<AttemptId> UpstreamClient::unsentAttempts() const {
  std::vector<AttemptId> Unsent;
  for (const auto &[Id, Connection] : ByAttempt) {
    if (!Connection->isSent()) {
      Unsent.push_back(Id);
    }
  }
  return Unsent;
}

std::shared_ptr<UpstreamClient::Exchange>
UpstreamClient::takeIdle(bool Idempotent) {
  const TimePoint Now = EventLoop::now();
  if (!Idempotent && Now < NewConnectionsUntil) {
    return nullptr;
  }
  for (std::size_t At = Idle.size(); At > 0; --At) {
    std::shared_ptr<Exchange> Newest = Idle[At - 1];
    const Duration Age = Now - Newest->idleSince();
    // The newest has the shortest idle time; if that is too long for this
    // request, so are all others.
    if (!Idempotent && Age > Settings.NonIdempotentReuseLimit) {
      return nullptr;
    }
    if (!Idempotent && Newest->isForIdempotentOnly()) {
      continue;
    }
    Idle.erase(Idle.begin() + static_cast<std::ptrdiff_t>(At - 1));
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

std::shared_ptr<UpstreamClient::Exchange> UpstreamClient::openConnection() {
  auto New = std::make_shared<Exchange>(*this);
  if (Address.empty() || !New->connect(Address)) {
    return nullptr;
  }
  ++Opened;
  Active.emplace(New.get(), New);
  return New;
}

void UpstreamClient::noteUnidentifiedRefusal() {
  NewConnectionsUntil = EventLoop::now() + Settings.UnidentifiedRefusalMemory;
}

void UpstreamClient::returnToPool(Exchange &Finished) {
  const auto Found = Active.find(&Finished);
  if (Found == Active.end()) {
    return;
  }
  ByAttempt.erase(Finished.attempt());
  std::shared_ptr<Exchange> Kept = std::move(Found->second);
  Active.erase(Found);
  if (Idle.size() >= Settings.PoolSize) {
    Kept->abandon();
    Loop.defer([Kept] {});
    return;
  }
  Idle.push_back(std::move(Kept));
  if (IdleCheckTimer == 0) {
    IdleCheckTimer = Loop.after(IdleCheckPeriod, [this] { closeExpired(); });
  }
}

void UpstreamClient::discard(Exchange &Finished) {
  const auto InPool =
      std::find_if(Idle.begin(), Idle.end(),
                   [&](const auto &Each) { return Each.get() == &Finished; });
  if (InPool != Idle.end()) {
    Loop.defer([Kept = *InPool] {});
    Idle.erase(InPool);
    return;
  }
  const auto Found = Active.find(&Finished);
  if (Found != Active.end()) {
    const auto Carried = ByAttempt.find(Finished.attempt());
    if (Carried != ByAttempt.end() && Carried->second == &Finished) {
      ByAttempt.erase(Carried);
    }
    Loop.defer([Kept = std::move(Found->second)] {});
    Active.erase(Found);
  }
}

void UpstreamClient::confirmLoss(const UpstreamFailed &Failure) {
  Lost.push_back(Failure);
  if (!LossCheckRunning) {
    LossCheckRunning = true;
    LossRechecks = 0;
    startLossCheck();
  }
}

void UpstreamClient::startLossCheck() {
  LossTimer = 0;
  if (const std::shared_ptr<Exchange> Check = openConnection()) {
    Check->startLossCheck(LossCheckLimit);
  } else {
    finishLossCheck(true);
  }
}

void UpstreamClient::finishLossCheck(bool IsRefused) {
  if (IsRefused && sentAttempts() > 0 && LossRechecks < LossRechecksMax) {
    ++LossRechecks;
    LossTimer = Loop.after(LossRecheckPeriod, [this] { startLossCheck(); });
    return;
  }
  LossCheckRunning = false;
  if (IsRefused) {
    // Until it is known, the attempts count as running.
    Handler.onRefusedConnection();
  }
  const std::vector<UpstreamFailed> Ended = std::exchange(Lost, {});
  for (const UpstreamFailed &Each : Ended) {
    Handler.onFailed(Each);
  }
}

void UpstreamClient::scheduleMemoryCheck() {
  if (MemoryTimer == 0) {
    MemoryTimer = Loop.after(MemoryCheckPeriod, [this] { checkMemory(); });
  }
}

void UpstreamClient::checkMemory() {
  MemoryTimer = 0;
  std::vector<std::shared_ptr<Exchange>> Waiting;
  for (const auto &Entry : Active) {
    if (Entry.second->awaitsMemory()) {
      Waiting.push_back(Entry.second);
    }
  }
  for (const auto &Each : Waiting) {
    Each->resume();
  }
}

void UpstreamClient::closeExpired() {
  IdleCheckTimer = 0;
  const TimePoint Oldest = EventLoop::now() - Settings.IdleTimeout;
  while (!Idle.empty() && Idle.front()->idleSince() < Oldest) {
    Idle.front()->abandon();
    Idle.erase(Idle.begin());
  }
  if (!Idle.empty()) {
    IdleCheckTimer = Loop.after(IdleCheckPeriod, [this] { closeExpired(); });
  }
}

} // namespace hyssopford
