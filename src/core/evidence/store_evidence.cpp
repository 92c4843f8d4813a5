#include "hyssopford/core/evidence/store_evidence.hpp"

#include <algorithm>

namespace hyssopford {

namespace {

std::string milliseconds(Duration Value) { return std::to_string(Value / 1ms); }

} // namespace

StoreEvidence::EraChange StoreEvidence::noteEra(const StoreResult &Result,
                                                TimePoint Now, Actions &Out) {
  if (Result.Era == 0 || Result.Era == Era) {
    if (Result.Era != 0 && isProven()) {
      LastContact = Now;
    }
    return EraChange::None;
  }
  if (Result.Era < Era) {
    return EraChange::Earlier;
  }
  Era = Result.Era;
  OpenCall = 0;
  Mark.reset();
  if (Era > FirstEra) {
    Current = State::Unproven;
    RisenAt = Now;
    NextRead = Now;
    Out.emplace_back(Notice{"store_era_unproven",
                            {{"era", std::to_string(Era)},
                             {"version", std::to_string(InForce)},
                             {"least_version", std::to_string(LeastVersion)},
                             {"limit_ms", milliseconds(Limit)}}});
  }
  return EraChange::Risen;
}

void StoreEvidence::noteInForce(std::uint64_t Version, TimePoint Now,
                                Actions &Out) {
  InForce = Version;
  noteVersion(Version);
  decide(Now, Out);
}

void StoreEvidence::receive(const StoreReplied &Reply, TimePoint Now,
                            Actions &Out) {
  if (OpenCall == 0 || Reply.Call != OpenCall) {
    return;
  }
  OpenCall = 0;
  const StoreStatus Status = Reply.Result.Status;
  if (!IsWriting) {
    if (Status == StoreStatus::Done || Status == StoreStatus::Missing) {
      takeMark(Reply.Result);
    }
  } else if (Status == StoreStatus::Done) {
    Mark = EraMark{Era, WrittenVersion, {}};
    MarkRevision = Reply.Result.Revision;
    IsOwnMark = true;
  } else if (Status == StoreStatus::Conflict && Reply.Result.Revision != 0) {
    takeMark(Reply.Result);
  } else {
    // The write may have taken effect.
    Mark.reset();
  }
  decide(Now, Out);
}

void StoreEvidence::tick(TimePoint Now, Actions &Out) {
  if (OpenCall != 0 && CallStart + CallTimeout <= Now) {
    OpenCall = 0;
    Mark.reset();
  }
  if (Current == State::Unproven && RisenAt + Limit <= Now) {
    Current = State::Assumed;
    Out.emplace_back(Notice{"store_era_assumed",
                            {{"era", std::to_string(Era)},
                             {"least_version", std::to_string(LeastVersion)},
                             {"waited_ms", milliseconds(Now - RisenAt)}}});
  }
  decide(Now, Out);
  if (Current != State::Proven && OpenCall == 0 && NextRead <= Now) {
    IsWriting = false;
    call(StoreRead{EraMarkKey}, Now, Out);
  }
}

std::optional<TimePoint> StoreEvidence::nextWakeup() const {
  if (Current == State::Proven) {
    return std::nullopt;
  }
  const TimePoint Next = OpenCall != 0 ? CallStart + CallTimeout : NextRead;
  return Current == State::Unproven ? std::min(Next, RisenAt + Limit) : Next;
}

void StoreEvidence::call(StoreOperation Operation, TimePoint Now,
                         Actions &Out) {
  OpenCall = storeCallNumber(StoreUser::Evidence, ++LastCall);
  CallStart = Now;
  const Duration Period = Current == State::Assumed ? Limit : SettleTime;
  NextRead = Now + Period + Duration(Random.below(Period.count() / 2));
  Out.emplace_back(StoreCall{OpenCall, std::move(Operation), CallTimeout});
}

void StoreEvidence::decide(TimePoint Now, Actions &Out) {
  if (Current == State::Proven || OpenCall != 0 || !Mark) {
    return;
  }
  const bool IsOfEra = Mark->Era == Era;
  if (IsOfEra ? InForce > Mark->Version : Mark->Era < Era && mayWrite(Now)) {
    IsWriting = true;
    WrittenVersion = InForce;
    call(StoreWrite{EraMarkKey, renderEraMark({Era, InForce, Contacts}),
                    MarkRevision, 0},
         Now, Out);
  } else if (IsOfEra) {
    prove(Now, Out);
  }
}

void StoreEvidence::takeMark(const StoreResult &Result) {
  Mark = parseEraMark(Result.Value).value_or(EraMark());
  MarkRevision = Result.Revision;
  IsOwnMark = false;
  LeastVersion = std::max(LeastVersion, Mark->Version);
  FoundContacts.insert(FoundContacts.end(), Mark->Contacts.begin(),
                       Mark->Contacts.end());
}

void StoreEvidence::prove(TimePoint Now, Actions &Out) {
  Current = State::Proven;
  LastContact = Now;
  Out.emplace_back(Notice{"store_era_proven",
                          {{"era", std::to_string(Era)},
                           {"source", IsOwnMark ? "own" : "mark"},
                           {"least_version", std::to_string(LeastVersion)},
                           {"waited_ms", milliseconds(Now - RisenAt)}}});
}

bool StoreEvidence::mayWrite(TimePoint Now) const {
  if (InForce == 0 || InForce < LeastVersion) {
    return false;
  }
  return Current == State::Assumed ||
         (RisenAt + SettleTime <= Now && LastContact &&
          *LastContact + ContactTime >= RisenAt);
}

} // namespace hyssopford
