#include "site.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numbers>

namespace hyssopford::experiment {

namespace {

/// Spread of the work of requests, and of one request on several upstreams
/// (standard deviation of the logarithm).
constexpr double RequestSpread = 0.4;
constexpr double UpstreamSpread = 0.4;
/// Shares of requests in percent.
constexpr std::uint64_t IdempotentPercent = 80;
constexpr std::uint64_t HighPercent = 20;
/// Time until all nodes know a changed upstream.
constexpr Duration GossipDelay = 5ms;
/// Time until nodes find the links to a lost VM dead.
constexpr Duration LinkTimeout = 2s;

double uniform(std::uint64_t Bits) {
  return (static_cast<double>(Bits >> 11) + 0.5) * 0x1.0p-53;
}

/// A log-normal factor of mean 1 from 128 random bits.
double spreadFactor(std::uint64_t First, std::uint64_t Second, double Spread) {
  const double Normal = std::sqrt(-2.0 * std::log(uniform(First))) *
                        std::cos(2.0 * std::numbers::pi * uniform(Second));
  return std::exp(Spread * Normal - Spread * Spread / 2.0);
}

} // namespace

Site::Site(const Cell &Chosen, std::uint64_t Seed)
    : Task(Chosen), Arrivals(hashPair(Seed, 1)) {
  if (Task.Chooser.Change != nullptr) {
    Task.Chooser.Change(Task.Site.Settings);
  }
  Matched.Name = "service";
  Matched.Service = "service";
  Matched.Deadline = CallerDeadline;
  ArrivalGap = 1e6 / (capacityOf(Task.Site) * Task.LoadPercent / 100.0);
  addNodes(Seed);
}

void Site::addNodes(std::uint64_t Seed) {
  const Deployment &Plan = Task.Site;
  // One more node than planned holds the instance that joins cold.
  for (std::uint32_t Index = 0; Index <= Plan.Nodes; ++Index) {
    const NodeRun Self{NodeId{Index + 1}, Incarnation{1}};
    Nodes.push_back(std::make_unique<SiteNode>(Self, Index % Plan.Domains,
                                               hashPair(Seed, Index + 100),
                                               Plan.Settings));
    SiteNode &Added = *Nodes.back();
    if (auto Policy = makePolicy(*this, Added, Task.Chooser.Policy)) {
      Added.Ingress.setPolicy(std::move(Policy));
    }
    if (Index < Plan.Instances || Index == Plan.Nodes) {
      Added.Upstream = std::make_unique<FakeUpstream>(
          Time, Plan.Slots,
          [this, &Added](const Event &Input) { upstreamEvent(Added, Input); });
    }
  }
  for (const auto &From : Nodes) {
    for (const auto &To : Nodes) {
      Actions None;
      From->Ingress.linkUp(To->Self, Time.now(), None);
    }
  }
  for (std::uint32_t Index = 0; Index < Plan.Instances; ++Index) {
    announce(*Nodes[Index], UpstreamState::Serving);
  }
}

Measurement Site::run() {
  scheduleCondition(*this);
  NextArrival = static_cast<double>(GossipDelay.count());
  scheduleArrival();
  Time.runUntil(TimePoint(Task.Site.Length));
  // Requests in flight end without further arrivals.
  NextArrival = -1.0;
  Time.runUntil(TimePoint(Task.Site.Length + CallerDeadline + 10ms));
  for (const auto &Each : Nodes) {
    Result.Requests += Each->Ingress.counters().Requests;
    Result.Retries += Each->Ingress.counters().Retries;
    Result.Hedges += Each->Ingress.counters().Hedges;
    Result.Links += Each->Ingress.neededPeers().size();
    Result.ProbeTime += static_cast<double>(Each->Probes.spent().count());
  }
  Result.Nodes = Task.Site.Nodes;
  Result.SlotTime = static_cast<double>(Task.Site.Length.count()) *
                    Task.Site.Instances * Task.Site.Slots;
  Result.Seconds =
      static_cast<double>((Task.Site.Length - WarmUp).count()) / 1e6;
  for (const auto &[Id, Row] : InFlight) {
    Result.Dropped += Row.Measured ? 1 : 0;
  }
  return std::move(Result);
}

void Site::announce(SiteNode &On, UpstreamState State) {
  On.State = State;
  const UpstreamAnnounced Announced{"service", Task.Site.Slots, State};
  handle(On, [&](Actions &Out) {
    On.Owner.upstreamAnnounced(Announced, Time.now(), Out);
    On.Probes.upstreamAnnounced(Announced, Time.now());
  });
  spreadCandidates();
}

void Site::kill(SiteNode &Lost) {
  Lost.Dead = true;
  for (const auto &Each : Nodes) {
    SiteNode &Peer = *Each;
    Time.add(Time.now() + LinkTimeout, [this, &Peer, &Lost] {
      handle(Peer, [&](Actions &Out) {
        Peer.Ingress.linkDown(Lost.Self.Node, Time.now(), Out);
      });
    });
  }
}

void Site::scheduleArrival() {
  if (Trace) {
    if (NextInTrace < Trace->size()) {
      const Arrival &Next = (*Trace)[NextInTrace++];
      Time.add(Next.At, [this, &Next] {
        scheduleArrival();
        arrive(Next);
      });
    }
    return;
  }
  NextArrival -= ArrivalGap * std::log(uniform(Arrivals.next()));
  if (NextArrival < static_cast<double>(Task.Site.Length.count())) {
    Time.add(TimePoint(Duration(static_cast<std::int64_t>(NextArrival))),
             [this] {
               const Arrival Next = drawArrival();
               scheduleArrival();
               arrive(Next);
             });
  }
}

Arrival Site::drawArrival() {
  const std::uint64_t Draw = Arrivals.next();
  const std::uint64_t First = Arrivals.next();
  const std::uint64_t Second = Arrivals.next();
  Arrival Next;
  Next.At = Time.now();
  Next.Work = static_cast<double>(Task.Site.ServiceTime.count()) *
              spreadFactor(First, Second, RequestSpread);
  Next.Idempotent = Draw % 100 < IdempotentPercent;
  Next.Class =
      Draw / 100 % 100 < HighPercent ? Priority::High : Priority::Normal;
  Next.Ingress = Draw / 10'000 % Task.Site.Nodes;
  return Next;
}

void Site::arrive(const Arrival &Next) {
  CallerRequest Request;
  Request.Id = RequestId{NextRequest++};
  Request.Method = Next.Idempotent ? "GET" : "POST";
  Request.Class = Next.Class;
  const auto Bits = std::bit_cast<std::uint64_t>(Next.Work);
  Request.Request =
      Payload(std::string(reinterpret_cast<const char *>(&Bits), sizeof Bits));
  std::size_t Index = Next.Ingress % Task.Site.Nodes;
  while (Nodes[Index]->Dead) {
    Index = (Index + 1) % Task.Site.Nodes;
  }
  SiteNode &At = *Nodes[Index];
  const bool Measured = Time.now() >= TimePoint(WarmUp);
  Result.Offered += Measured ? 1 : 0;
  InFlight.emplace(Request.Id.Value, Pending{Time.now(), Measured, &At});
  handle(At, [&](Actions &Out) {
    At.Ingress.start(Request, Matched, Time.now(), Out);
  });
}

void Site::handle(SiteNode &On, const std::function<void(Actions &)> &Input) {
  if (On.Dead) {
    return;
  }
  Actions Produced;
  Input(Produced);
  apply(On, Produced);
  scheduleTick(On);
}

void Site::apply(SiteNode &On, const Actions &Produced) {
  for (const Action &Each : Produced) {
    if (const auto *Frame = std::get_if<SendToPeer>(&Each)) {
      send(On, *Frame);
    } else if (const auto *Request = std::get_if<ForwardToUpstream>(&Each)) {
      forward(On, *Request);
    } else if (const auto *Cancelled = std::get_if<CancelUpstream>(&Each)) {
      On.Upstream->cancel(Cancelled->Attempt);
    } else if (const auto *Reply = std::get_if<ReplyToCaller>(&Each)) {
      record(*Reply);
    } else if (std::get_if<ProbeUpstream>(&Each) != nullptr) {
      On.Upstream->startProbe(Task.Site.ProbeCost);
    }
  }
}

void Site::send(SiteNode &From, const SendToPeer &Frame) {
  SiteNode &To = node(Frame.To);
  const NodeId Sender = From.Self.Node;
  if (std::holds_alternative<Dispatch>(Frame.Message)) {
    ++To.Approaching;
  }
  PeerMessage Message = Frame.Message;
  if (auto *Reply = std::get_if<DispatchReply>(&Message)) {
    Reply->Load = delayed(From, Reply->Load);
  }
  Time.add(Time.now() + oneWay(From, To),
           [this, &To, Sender, Message = std::move(Message)] {
             receive(To, Sender, Message);
           });
}

void Site::receive(SiteNode &On, NodeId From, const PeerMessage &Message) {
  const TimePoint Now = Time.now();
  handle(On, [&](Actions &Out) {
    if (const auto *Attempt = std::get_if<Dispatch>(&Message)) {
      --On.Approaching;
      On.Owner.admit(From, *Attempt, Now, Out);
    } else if (const auto *Reply = std::get_if<DispatchReply>(&Message)) {
      On.Ingress.finishAttempt(node(From).Self, *Reply, Now, Out);
    } else if (const auto *Ended = std::get_if<Cancel>(&Message)) {
      On.Owner.cancel(Ended->Attempt, Now, Out);
    } else if (const auto *Query = std::get_if<StatusQuery>(&Message)) {
      On.Owner.queryStatus(From, *Query, Now, Out);
    } else if (const auto *Status = std::get_if<StatusReply>(&Message)) {
      On.Ingress.resolveStatus(From, *Status, Now, Out);
    }
  });
}

void Site::upstreamEvent(SiteNode &On, const Event &Input) {
  const TimePoint Now = Time.now();
  handle(On, [&](Actions &Out) {
    if (const auto *Answer = std::get_if<UpstreamAnswered>(&Input)) {
      On.Owner.upstreamAnswered(*Answer, Now, Out);
      On.Probes.observe(true, Now);
    } else if (const auto *Failure = std::get_if<UpstreamFailed>(&Input)) {
      On.Owner.upstreamFailed(*Failure, Now, Out);
      On.Probes.observe(false, Now);
    } else if (const auto *Probe = std::get_if<ProbeFinished>(&Input)) {
      On.Probes.finish(*Probe, Now, Out);
    }
    On.Owner.setSuspected(On.Probes.suspected(), Now, Out);
  });
}

void Site::forward(SiteNode &On, const ForwardToUpstream &Request) {
  std::uint64_t Bits = 0;
  const std::string_view Bytes = Request.Request.bytes();
  std::copy(Bytes.begin(), Bytes.end(), reinterpret_cast<char *>(&Bits));
  const std::uint64_t Local = hashPair(Bits, On.Self.Node.Value);
  const double Work = std::bit_cast<double>(Bits) *
                      spreadFactor(Local, hashPair(Local, 1), UpstreamSpread);
  On.Upstream->start(Request.Attempt, Duration(std::max<std::int64_t>(
                                          1, static_cast<std::int64_t>(Work))));
}

void Site::record(const ReplyToCaller &Reply) {
  const auto Found = InFlight.find(Reply.Id.Value);
  const Pending Row = Found->second;
  InFlight.erase(Found);
  if (!Row.Measured) {
    return;
  }
  const Duration Latency = Time.now() - Row.Arrived;
  if (Reply.Result == Outcome::NotRun) {
    ++Result.NotRun;
  } else if (Reply.Result == Outcome::Unknown) {
    ++Result.Unknown;
  } else if (Reply.Status >= 500) {
    ++Result.Failed;
  } else {
    Result.Latencies.push_back(static_cast<std::uint32_t>(Latency.count()));
    Result.Good += Latency <= CallerDeadline ? 1 : 0;
  }
}

void Site::scheduleTick(SiteNode &On) {
  std::optional<TimePoint> Next = On.Ingress.nextWakeup();
  for (const auto &Each : {On.Owner.nextWakeup(), On.Probes.nextWakeup()}) {
    if (Each && (!Next || *Each < *Next)) {
      Next = Each;
    }
  }
  if (!Next || *Next >= On.NextTick) {
    return;
  }
  const TimePoint At = std::max(*Next, Time.now());
  On.NextTick = At;
  Time.add(At, [this, &On, At] {
    if (On.NextTick != At) {
      return;
    }
    On.NextTick = TimePoint::max();
    handle(On, [&](Actions &Out) {
      On.Ingress.tick(Time.now(), Out);
      On.Owner.tick(Time.now(), Out);
      On.Probes.tick(Time.now(), Out);
    });
  });
}

void Site::spreadCandidates() {
  std::vector<Candidate> All;
  for (const auto &Each : Nodes) {
    if (Each->State != UpstreamState::None) {
      All.push_back(Candidate{Each->Self, "service",
                              "d" + std::to_string(Each->Domain), "r1",
                              Task.Site.Slots, Each->State});
    }
  }
  const TimePoint Known =
      Time.now() == TimePoint{} ? Time.now() : Time.now() + GossipDelay;
  Time.add(Known, [this, All] {
    for (const auto &Each : Nodes) {
      Each->Ingress.setCandidates(All);
    }
  });
}

LoadReport Site::delayed(SiteNode &By, const LoadReport &Fresh) {
  if (ReportAge == Duration{0}) {
    return Fresh;
  }
  By.Reports.emplace_back(Time.now(), Fresh);
  while (By.Reports.size() > 1 &&
         By.Reports[1].first + ReportAge <= Time.now()) {
    By.Reports.pop_front();
  }
  const bool OldEnough = By.Reports.front().first + ReportAge <= Time.now();
  if (!OldEnough) {
    return LoadReport{};
  }
  LoadReport Old = By.Reports.front().second;
  Old.Age = Time.now() - By.Reports.front().first;
  return Old;
}

Duration Site::oneWay(const SiteNode &From, const SiteNode &To) const {
  if (&From == &To) {
    return Duration{0};
  }
  return (From.Domain == To.Domain ? Task.Site.LocalRoundTrip
                                   : Task.Site.RoundTrip) /
         2;
}

Measurement runCell(const Cell &Task, std::uint64_t Seed) {
  return Site(Task, Seed).run();
}

} // namespace hyssopford::experiment
