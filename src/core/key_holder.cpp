#include "hyssopford/core/key_holder.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

constexpr Duration SweepPeriod = 1s;
/// One sweep visits 1/30 of a table, but at least SweepMinimum records.
constexpr std::size_t SweepMinimum = 64;
constexpr std::size_t SweepShare = 30;
/// Estimated bytes of a record in a frame without key, claims and answer.
constexpr std::size_t RecordOverhead = 48;

bool contains(const std::vector<ClaimId> &Claims, const ClaimId &Claim) {
  return std::find(Claims.begin(), Claims.end(), Claim) != Claims.end();
}

} // namespace

KeyHolder::KeyHolder(NodeRun Run, const KeySettings &Limits,
                     const KeyRules &Granting)
    : Self(Run), Settings(Limits), Rules(Granting) {}

void KeyHolder::adopt(const std::string &Service, const Roster &New,
                      TimePoint Now) {
  ServiceRow &Row = Services[Service];
  const bool SameEpoch = Row.Known.Current.Epoch == New.Current.Epoch;
  if (!SameEpoch) {
    sealThrough(Row, New.Current.Epoch - 1);
  }
  Row.Known = New;
  if (SameEpoch) {
    // Within an epoch only settled earlier epochs are removed.
    std::erase_if(Row.Sources, [&](const SourceRow &Source) {
      return std::none_of(New.Previous.begin(), New.Previous.end(),
                          [&](const RosterEpoch &Epoch) {
                            return Epoch.Epoch == Source.Epoch;
                          });
    });
    return;
  }
  Row.Sources.clear();
  for (const RosterEpoch &Epoch : New.Previous) {
    for (const RosterMember &Member : Epoch.Members) {
      SourceRow Source;
      Source.Member = Member;
      Source.Epoch = Epoch.Epoch;
      Source.NextRequest = Now;
      if (Member.Id == Self) {
        Source.Done = true;
        Source.WasReady =
            std::find(Row.ReadyWhenSealed.begin(), Row.ReadyWhenSealed.end(),
                      Epoch.Epoch) != Row.ReadyWhenSealed.end();
      }
      Row.Sources.push_back(std::move(Source));
    }
  }
}

std::optional<KeyClaimReply> KeyHolder::claim(const KeyClaim &Claim,
                                              TimePoint Now) {
  const auto Found = Services.find(Claim.Service);
  if (Found == Services.end() ||
      Claim.Epoch > Found->second.Known.Current.Epoch) {
    return std::nullopt;
  }
  ServiceRow &Row = Found->second;
  KeyClaimReply Reply;
  Reply.Claim = Claim.Claim;
  if (Claim.Epoch < Row.Known.Current.Epoch ||
      Claim.Epoch <= Row.SealedThrough) {
    Reply.Verdict = KeyVerdict::StaleEpoch;
    return Reply;
  }
  return decideClaim(Row, Claim, Now);
}

KeyClaimReply KeyHolder::decideClaim(ServiceRow &Row, const KeyClaim &Claim,
                                     TimePoint Now) {
  KeyClaimReply Reply;
  Reply.Claim = Claim.Claim;
  if (isReleased(Claim.Claim)) {
    Reply.Verdict = KeyVerdict::Barred;
    return Reply;
  }
  auto Known = Row.Records.find(Claim.Key);
  if (Known != Row.Records.end() && Known->second.Expires <= Now) {
    erase(Row, Known);
    Known = Row.Records.end();
  }
  const bool Own = Known != Row.Records.end() &&
                   Known->second.Claims == std::vector{Claim.Claim};
  if (Known != Row.Records.end() && !Own && !Rules.grantsHeldKey()) {
    if (Known->second.RequestHash != Claim.RequestHash) {
      Reply.Verdict = KeyVerdict::Reused;
    } else if (Known->second.Result) {
      Reply.Verdict = KeyVerdict::Finished;
      Reply.Result = *Known->second.Result;
    } else {
      Reply.Verdict = KeyVerdict::Held;
      const auto Other = std::find_if(
          Known->second.Claims.begin(), Known->second.Claims.end(),
          [&](const ClaimId &Each) { return Each != Claim.Claim; });
      Reply.HeldBy = *Other;
    }
    return Reply;
  }
  const auto Holders = holdersOf(Row.Known.Current, Claim.Key);
  const bool IsHolder =
      std::any_of(Holders.begin(), Holders.end(),
                  [&](const RosterMember &Each) { return Each.Id == Self; });
  if (!IsHolder || !isReadyForKey(Row, Claim.Key)) {
    Reply.Verdict = KeyVerdict::NotReady;
    return Reply;
  }
  if (Known == Row.Records.end()) {
    if (Count >= Settings.MaxRecords) {
      Reply.Verdict = KeyVerdict::Full;
      return Reply;
    }
    // The request may be dispatched until its deadline, so retention starts
    // there.
    const TimePoint Expires =
        Now + Claim.Remaining + Settings.Retention + Settings.MaxFrameAge;
    Row.Records.emplace(
        Claim.Key,
        RecordRow{Claim.RequestHash, Expires, {Claim.Claim}, std::nullopt});
    ++Count;
  }
  Reply.Verdict = KeyVerdict::Granted;
  return Reply;
}

KeyAck KeyHolder::release(const KeyRelease &Release, TimePoint Now) {
  Released[Release.Claim] = Now + ReleaseRetention;
  if (Released.size() > MaxReleased) {
    forgetRelease(Released.begin());
  }
  const auto Found = Services.find(Release.Service);
  if (Found == Services.end()) {
    return acknowledge(Release.Claim, nullptr);
  }
  ServiceRow &Row = Found->second;
  const auto Known = Row.Records.find(Release.Key);
  if (Known != Row.Records.end() && !Known->second.Result) {
    std::erase(Known->second.Claims, Release.Claim);
    if (Known->second.Claims.empty()) {
      erase(Row, Known);
    }
  }
  return acknowledge(Release.Claim, &Row);
}

std::optional<KeyAck> KeyHolder::record(const KeyOutcome &End, TimePoint Now) {
  const auto Found = Services.find(End.Service);
  if (Found == Services.end()) {
    return std::nullopt;
  }
  KeyRecord Record;
  Record.Key = End.Key;
  Record.RequestHash = End.RequestHash;
  Record.Claims = {End.Claim};
  Record.Finished = true;
  Record.Result = End.Result;
  Record.Remaining = Settings.Retention + Settings.MaxFrameAge;
  mergeRecord(Found->second, Record, Now);
  return acknowledge(End.Claim, &Found->second);
}

std::optional<SealReply> KeyHolder::seal(const SealRequest &Request,
                                         TimePoint Now) {
  const auto Found = Services.find(Request.Service);
  if (Found == Services.end()) {
    return std::nullopt;
  }
  ServiceRow &Row = Found->second;
  const auto IsSealed = [&](const RosterEpoch &Epoch) {
    return Epoch.Epoch == Request.Sealed && isMember(Epoch, Self);
  };
  if (!IsSealed(Row.Known.Current) &&
      std::none_of(Row.Known.Previous.begin(), Row.Known.Previous.end(),
                   IsSealed)) {
    return std::nullopt;
  }
  sealThrough(Row, Request.Sealed);
  SealReply Reply;
  Reply.Service = Request.Service;
  Reply.Epoch = Request.Epoch;
  Reply.Sealed = Request.Sealed;
  Reply.After = Request.After;
  Reply.Next = Request.After;
  Reply.WasReady =
      std::find(Row.ReadyWhenSealed.begin(), Row.ReadyWhenSealed.end(),
                Request.Sealed) != Row.ReadyWhenSealed.end();
  std::size_t Bytes = 0;
  auto Next = Request.After.empty() ? Row.Records.begin()
                                    : Row.Records.upper_bound(Request.After);
  for (; Next != Row.Records.end() && Bytes < ReplyBytes; ++Next) {
    const RecordRow &Each = Next->second;
    Reply.Next = Next->first;
    if (Each.Expires <= Now) {
      continue;
    }
    Reply.Records.push_back(KeyRecord{
        Next->first, Each.RequestHash, Each.Claims, Each.Result.has_value(),
        Each.Result.value_or(KeyResult{}), Each.Expires - Now});
    Bytes += RecordOverhead + Next->first.size() +
             Each.Claims.size() * sizeof(ClaimId) +
             Reply.Records.back().Result.Answer.size();
  }
  Reply.Last = Next == Row.Records.end();
  return Reply;
}

void KeyHolder::collectRecords(NodeRun From, const SealReply &Received,
                               TimePoint Now, Actions &Out) {
  const auto Found = Services.find(Received.Service);
  if (Found == Services.end() ||
      Found->second.Known.Current.Epoch != Received.Epoch) {
    return;
  }
  ServiceRow &Row = Found->second;
  for (SourceRow &Source : Row.Sources) {
    if (Source.Member.Id != From || Source.Epoch != Received.Sealed ||
        Source.Done || Source.After != Received.After) {
      continue;
    }
    for (const KeyRecord &Record : Received.Records) {
      // Once this node may decide on a key, any claim that it does not know
      // lacks a majority, so its request never runs.
      if (Record.Finished || !isReadyForKey(Row, Record.Key)) {
        mergeRecord(Row, Record, Now);
      }
    }
    Source.Interval = SealRetryPeriod;
    Source.After = Received.Next;
    Source.WasReady = Received.WasReady;
    Source.Done = Received.Last;
    if (!Source.Done) {
      requestRecords(Received.Service, Row, Source, Now, Out);
    }
  }
}

void KeyHolder::linkUp(NodeId Peer) {
  for (auto &[Service, Row] : Services) {
    for (SourceRow &Source : Row.Sources) {
      if (Source.Member.Id.Node == Peer) {
        Source.NextRequest = TimePoint{};
        Source.Interval = SealRetryPeriod;
      }
    }
  }
}

void KeyHolder::tick(TimePoint Now, Actions &Out) {
  for (auto &[Service, Row] : Services) {
    if (!isMember(Row.Known.Current, Self)) {
      continue;
    }
    for (SourceRow &Source : Row.Sources) {
      if (!Source.Done && Source.NextRequest <= Now) {
        requestRecords(Service, Row, Source, Now, Out);
      }
    }
  }
  if (NextSweep && Now < *NextSweep) {
    return;
  }
  NextSweep = Now + SweepPeriod;
  for (auto &[Service, Row] : Services) {
    sweep(Row, Now);
  }
  for (auto Entry = Released.begin(); Entry != Released.end();) {
    Entry = Entry->second > Now ? std::next(Entry) : forgetRelease(Entry);
  }
}

std::optional<TimePoint> KeyHolder::nextWakeup() const {
  std::optional<TimePoint> Next;
  if (Count > 0 || !Released.empty()) {
    Next = NextSweep.value_or(TimePoint{});
  }
  for (const auto &[Service, Row] : Services) {
    if (!isMember(Row.Known.Current, Self)) {
      continue;
    }
    for (const SourceRow &Source : Row.Sources) {
      if (!Source.Done) {
        Next = Next ? std::min(*Next, Source.NextRequest) : Source.NextRequest;
      }
    }
  }
  return Next;
}

std::uint64_t KeyHolder::readyEpoch(const std::string &Service) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end() || !isReady(Found->second)) {
    return 0;
  }
  return Found->second.Known.Current.Epoch;
}

bool KeyHolder::isReady(const ServiceRow &Row) const {
  const Roster &Known = Row.Known;
  if (!isMember(Known.Current, Self) ||
      Row.SealedThrough >= Known.Current.Epoch) {
    return false;
  }
  const auto LacksIn = [&](std::uint64_t Epoch, bool NeedsReady) {
    return [&Row, Epoch, NeedsReady](const RosterMember &Member) {
      return std::none_of(
          Row.Sources.begin(), Row.Sources.end(), [&](const SourceRow &Source) {
            return Source.Epoch == Epoch && Source.Member.Id == Member.Id &&
                   Source.Done && (Source.WasReady || !NeedsReady);
          });
    };
  };
  // Begins with the newest epoch: a holder that was ready in it has all records
  // of earlier epochs, so their members need not be asked.
  for (auto Epoch = Known.Previous.rbegin(); Epoch != Known.Previous.rend();
       ++Epoch) {
    const std::size_t Holders = holderCount(*Epoch);
    const std::size_t Lacking =
        maxMissingHolders(*Epoch, LacksIn(Epoch->Epoch, false));
    if (Holders - Lacking < majorityOf(Holders)) {
      return false;
    }
    if (maxMissingHolders(*Epoch, LacksIn(Epoch->Epoch, true)) < Holders) {
      return true;
    }
  }
  return true;
}

bool KeyHolder::isReadyForKey(const ServiceRow &Row,
                              std::string_view Key) const {
  if (Row.Known.Previous.empty() || !Rules.waitsForSeals()) {
    return true;
  }
  for (auto Epoch = Row.Known.Previous.rbegin();
       Epoch != Row.Known.Previous.rend(); ++Epoch) {
    const std::vector<RosterMember> Holders = holdersOf(*Epoch, Key);
    std::size_t Done = 0;
    bool Complete = false;
    for (const SourceRow &Source : Row.Sources) {
      const bool IsHolder = std::any_of(Holders.begin(), Holders.end(),
                                        [&](const RosterMember &Holder) {
                                          return Holder.Id == Source.Member.Id;
                                        });
      if (Source.Epoch == Epoch->Epoch && Source.Done && IsHolder) {
        ++Done;
        Complete = Complete || Source.WasReady;
      }
    }
    if (Done < majorityOf(Holders.size())) {
      return false;
    }
    if (Complete) {
      return true;
    }
  }
  return true;
}

void KeyHolder::sealThrough(ServiceRow &Row, std::uint64_t Epoch) const {
  if (Epoch <= Row.SealedThrough) {
    return;
  }
  if (Epoch >= Row.Known.Current.Epoch && isReady(Row)) {
    Row.ReadyWhenSealed.push_back(Row.Known.Current.Epoch);
  }
  Row.SealedThrough = Epoch;
}

bool KeyHolder::isReleased(const ClaimId &Claim) const {
  const auto Mark = ReleasedThrough.find(Claim.Ingress);
  return Released.contains(Claim) ||
         (Mark != ReleasedThrough.end() && Claim.Sequence <= Mark->second);
}

std::map<ClaimId, TimePoint>::iterator
KeyHolder::forgetRelease(std::map<ClaimId, TimePoint>::iterator Entry) {
  std::uint64_t &Mark = ReleasedThrough[Entry->first.Ingress];
  Mark = std::max(Mark, Entry->first.Sequence);
  return Released.erase(Entry);
}

void KeyHolder::storeResult(RecordRow &Row, const KeyResult &Result) {
  Row.Result = Result;
  if (AnswerBytes + Result.Answer.size() > Settings.MaxAnswerBytes) {
    Row.Result->Answer = Payload();
    Row.Result->AnswerKept = false;
  }
  AnswerBytes += Row.Result->Answer.size();
}

void KeyHolder::mergeRecord(ServiceRow &Row, const KeyRecord &Record,
                            TimePoint Now) {
  std::vector<ClaimId> Claims = Record.Claims;
  std::erase_if(Claims,
                [&](const ClaimId &Claim) { return isReleased(Claim); });
  if (Claims.empty()) {
    return;
  }
  const auto [Known, IsNew] = Row.Records.try_emplace(Record.Key);
  RecordRow &Stored = Known->second;
  if (IsNew) {
    ++Count;
  } else if (Stored.Expires <= Now) {
    AnswerBytes -= Stored.Result ? Stored.Result->Answer.size() : 0;
    Stored = RecordRow{};
  }
  const bool WasEmpty = Stored.Claims.empty();
  if (Stored.Result && (!Record.Finished || Stored.Result->AnswerKept)) {
    Stored.Expires = std::max(Stored.Expires, Now + Record.Remaining);
    return;
  }
  Stored.Expires = std::max(Stored.Expires, Now + Record.Remaining);
  if (Record.Finished) {
    // Only a claim with a majority ends with a result, so the requests of other
    // claims never run.
    AnswerBytes -= Stored.Result ? Stored.Result->Answer.size() : 0;
    Stored.RequestHash = Record.RequestHash;
    Stored.Claims = std::move(Claims);
    storeResult(Stored, Record.Result);
    return;
  }
  if (WasEmpty) {
    Stored.RequestHash = Record.RequestHash;
  }
  for (const ClaimId &Claim : Claims) {
    if (!contains(Stored.Claims, Claim)) {
      Stored.Claims.push_back(Claim);
    }
  }
}

KeyAck KeyHolder::acknowledge(const ClaimId &Claim,
                              const ServiceRow *Row) const {
  if (Row == nullptr) {
    return KeyAck{Claim, 0};
  }
  return KeyAck{Claim,
                std::max(Row->Known.Current.Epoch, Row->SealedThrough + 1)};
}

void KeyHolder::requestRecords(const std::string &Service,
                               const ServiceRow &Row, SourceRow &Source,
                               TimePoint Now, Actions &Out) const {
  Source.NextRequest = Now + Source.Interval;
  Source.Interval = std::min(2 * Source.Interval, MaxSealRetryPeriod);
  Out.emplace_back(OpenLink{Source.Member.Id.Node, Source.Member.Address});
  Out.emplace_back(SendToPeer{Source.Member.Id.Node,
                              SealRequest{Service, Row.Known.Current.Epoch,
                                          Source.Epoch, Source.After}});
}

void KeyHolder::sweep(ServiceRow &Row, TimePoint Now) {
  const bool Settled = Row.Known.Previous.empty();
  std::size_t Left =
      std::max(SweepMinimum, Row.Records.size() / SweepShare + 1);
  auto Next = Row.Records.upper_bound(Row.SweepAfter);
  for (; Next != Row.Records.end() && Left > 0; --Left) {
    Row.SweepAfter = Next->first;
    bool Drop = Next->second.Expires <= Now;
    if (!Drop && Settled) {
      // All holders of the current epoch have this record already.
      const auto Holders = holdersOf(Row.Known.Current, Next->first);
      Drop = std::none_of(
          Holders.begin(), Holders.end(),
          [&](const RosterMember &Each) { return Each.Id == Self; });
    }
    Next = Drop ? erase(Row, Next) : std::next(Next);
  }
  if (Next == Row.Records.end()) {
    Row.SweepAfter.clear();
  }
}

KeyHolder::RecordIterator KeyHolder::erase(ServiceRow &Row,
                                           RecordIterator Position) {
  if (Position->second.Result) {
    AnswerBytes -= Position->second.Result->Answer.size();
  }
  --Count;
  return Row.Records.erase(Position);
}

} // namespace hyssopford
