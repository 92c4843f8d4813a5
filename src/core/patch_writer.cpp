#include "hyssopford/core/patch_writer.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <algorithm>
#include <utility>

namespace hyssopford {

namespace {

Error patchError(int Code, std::string Reason) {
  return Error{Code, "config.patch", "", std::move(Reason)};
}

Error storeError(int Code, const std::string &Reason) {
  return Error{Code, "config.store", "store", Reason};
}

bool isSamePatch(const ConfigChange &Change, const PatchSubmitted &Input) {
  return Change.Author == Input.Author && Change.Base == Input.Base &&
         Change.Patch == Input.Patch;
}

std::vector<Error> fieldErrors(const PatchSubmitted &Input) {
  std::vector<Error> Errors;
  const auto Check = [&](const char *Name, const std::string &Value,
                         std::size_t Limit) {
    if (Value.empty() || Value.size() > Limit) {
      Errors.push_back(patchError(numberOf(ErrorCode::PatchFieldInvalid),
                                  std::string(Name) + " must have 1 to " +
                                      std::to_string(Limit) + " bytes, has " +
                                      std::to_string(Value.size())));
    }
  };
  Check("patch id", Input.PatchId, PatchWriter::NameLimit);
  Check("author", Input.Author, PatchWriter::NameLimit);
  Check("patch", Input.Patch, PatchWriter::PatchLimit);
  return Errors;
}

} // namespace

std::string configArchiveKey(std::uint64_t FirstVersion) {
  return "hyssopford/config/archive/" + std::to_string(FirstVersion);
}

void PatchWriter::submit(const PatchSubmitted &Input, TimePoint Now,
                         Actions &Out) {
  std::vector<Error> Errors = fieldErrors(Input);
  if (Errors.empty() && Queue.size() >= QueueLimit) {
    Errors.push_back(patchError(numberOf(ErrorCode::PatchQueueFull),
                                "too many patches wait at this node"));
  }
  if (!Errors.empty()) {
    Out.emplace_back(PatchResult{Input.Request, Input.PatchId,
                                 PatchStatus::Rejected, InForce, Input.DryRun,
                                 std::move(Errors)});
    return;
  }
  Queue.push_back(Input);
  if (!Current) {
    startNext(Now, Out);
  }
}

void PatchWriter::receive(const StoreReplied &Reply, TimePoint Now,
                          Actions &Out) {
  if (!Current || Reply.Call != OpenCall) {
    return;
  }
  OpenCall = 0;
  switch (Current->Step) {
  case Phase::ReadHead:
    headRead(Reply.Result, Now, Out);
    break;
  case Phase::ReadArchive:
    archiveRead(Reply.Result, Now, Out);
    break;
  case Phase::Archive:
    archiveWritten(Reply.Result, Now, Out);
    break;
  case Phase::Write:
    headWritten(Reply.Result, Now, Out);
    break;
  }
}

void PatchWriter::tick(TimePoint Now, Actions &Out) {
  if (!Current) {
    return;
  }
  if (OpenCall != 0 && Current->CallDeadline <= Now) {
    StoreResult TimedOut;
    TimedOut.Reason = "no answer in time";
    receive(StoreReplied{OpenCall, TimedOut}, Now, Out);
  } else if (OpenCall == 0 && Current->RetryAt && *Current->RetryAt <= Now) {
    Current->RetryAt.reset();
    issueCall(Now, Out);
  }
}

std::optional<TimePoint> PatchWriter::nextWakeup() const {
  if (!Current) {
    return std::nullopt;
  }
  return OpenCall != 0 ? std::optional(Current->CallDeadline)
                       : Current->RetryAt;
}

std::optional<StoredVersion> PatchWriter::takeStored() {
  return std::exchange(Stored, std::nullopt);
}

void PatchWriter::startNext(TimePoint Now, Actions &Out) {
  if (Queue.empty()) {
    return;
  }
  Current = std::make_unique<Submission>();
  Current->Input = std::move(Queue.front());
  Queue.pop_front();
  Current->RetryUntil = Now + CallRetryTime;
  issueCall(Now, Out);
}

void PatchWriter::callStore(StoreOperation Operation, TimePoint Now,
                            Actions &Out) {
  OpenCall = storeCallNumber(StoreUser::Patch, ++LastCall);
  Current->CallDeadline = Now + CallTimeout;
  Out.emplace_back(StoreCall{OpenCall, std::move(Operation)});
}

void PatchWriter::issueCall(TimePoint Now, Actions &Out) {
  switch (Current->Step) {
  case Phase::ReadHead:
    callStore(StoreRead{ConfigHeadKey}, Now, Out);
    break;
  case Phase::ReadArchive:
    callStore(StoreRead{configArchiveKey(Current->ArchiveRead)}, Now, Out);
    break;
  case Phase::Archive: {
    const auto Count = static_cast<std::ptrdiff_t>(
        Current->NewArchive.LastVersion - Current->NewArchive.FirstVersion + 1);
    const auto First = Current->Head.History.begin();
    callStore(StoreWrite{configArchiveKey(Current->NewArchive.FirstVersion),
                         Codec.renderArchive({First, First + Count}), 0, 0},
              Now, Out);
    break;
  }
  case Phase::Write:
    callStore(
        StoreWrite{ConfigHeadKey, Current->NewValue, Current->Revision, 0}, Now,
        Out);
    break;
  }
}

void PatchWriter::retryOrGiveUp(const StoreResult &Result, TimePoint Now,
                                Actions &Out) {
  if (Now + RetryPeriod < Current->RetryUntil) {
    Current->RetryAt = Now + RetryPeriod;
    return;
  }
  if (Current->WriteUncertain) {
    finish(PatchStatus::Unresolved, 0,
           {storeError(numberOf(ErrorCode::WriteUnresolved),
                       "the store did not say whether the patch took effect; "
                       "submit it again with the same identifier: " +
                           Result.Reason)},
           Now, Out);
    return;
  }
  reject({storeError(numberOf(ErrorCode::StoreUnavailable),
                     "the store is not available, nothing was changed: " +
                         Result.Reason)},
         Now, Out);
}

void PatchWriter::headRead(const StoreResult &Result, TimePoint Now,
                           Actions &Out) {
  const bool Found = Result.Status == StoreStatus::Done;
  if (!Found && Result.Status != StoreStatus::Missing) {
    retryOrGiveUp(Result, Now, Out);
    return;
  }
  if (Result.Revision < Current->MinRevision) {
    StoreResult Older = Result;
    Older.Reason = "the store serves an older value";
    retryOrGiveUp(Older, Now, Out);
    return;
  }
  Error LastError;
  std::optional<ConfigHead> Head =
      Found ? Codec.parseHead(Result.Value, LastError) : ConfigHead{};
  if (!Head) {
    LastError.Code = numberOf(ErrorCode::HeadUnreadable);
    LastError.Step = "config.store";
    reject({LastError}, Now, Out);
    return;
  }
  Current->Head = std::move(*Head);
  Current->Revision = Result.Revision;
  if (Current->Head.Version > InForce) {
    Stored = StoredVersion{Current->Head.Version, Current->Head.Document};
  }
  processHead(Now, Out);
}

void PatchWriter::archiveRead(const StoreResult &Result, TimePoint Now,
                              Actions &Out) {
  if (Result.Status != StoreStatus::Done) {
    retryOrGiveUp(Result, Now, Out);
    return;
  }
  Error LastError;
  const auto Changes = Codec.parseArchive(Result.Value, LastError);
  if (!Changes || !finishFromHistory(*Changes, Now, Out)) {
    rejectStale(Now, Out);
  }
}

void PatchWriter::processHead(TimePoint Now, Actions &Out) {
  const PatchSubmitted &Input = Current->Input;
  const ConfigHead &Head = Current->Head;
  if (finishFromHistory(Head.History, Now, Out)) {
    return;
  }
  if (Head.Version < InForce) {
    reject(
        {storeError(numberOf(ErrorCode::StoreOlder),
                    "the store serves version " + std::to_string(Head.Version) +
                        ", older than version " + std::to_string(InForce) +
                        " in force; try again")},
        Now, Out);
    return;
  }
  if (Input.Base == Head.Version) {
    buildNewHead(Now, Out);
    return;
  }
  // A patch with this base can only have created the next version.
  const std::uint64_t MadeVersion = Input.Base + 1;
  for (const ConfigArchive &Each : Head.Archives) {
    if (Each.FirstVersion <= MadeVersion && MadeVersion <= Each.LastVersion) {
      Current->Step = Phase::ReadArchive;
      Current->ArchiveRead = Each.FirstVersion;
      issueCall(Now, Out);
      return;
    }
  }
  rejectStale(Now, Out);
}

bool PatchWriter::finishFromHistory(const std::vector<ConfigChange> &Changes,
                                    TimePoint Now, Actions &Out) {
  const PatchSubmitted &Input = Current->Input;
  const auto Found =
      std::find_if(Changes.begin(), Changes.end(), [&](const auto &Each) {
        return Each.PatchId == Input.PatchId;
      });
  if (Found == Changes.end()) {
    return false;
  }
  if (!isSamePatch(*Found, Input)) {
    reject({patchError(numberOf(ErrorCode::PatchIdReused),
                       "version " + std::to_string(Found->Version) + " by " +
                           Found->Author + " has the same patch identifier")},
           Now, Out);
    return true;
  }
  finish(PatchStatus::Accepted, Found->Version, {}, Now, Out);
  return true;
}

void PatchWriter::rejectStale(TimePoint Now, Actions &Out) {
  reject({patchError(numberOf(ErrorCode::BaseOutdated),
                     "the patch is for version " +
                         std::to_string(Current->Input.Base) +
                         ", the current version is " +
                         std::to_string(Current->Head.Version))},
         Now, Out);
}

void PatchWriter::buildNewHead(TimePoint Now, Actions &Out) {
  const PatchSubmitted &Input = Current->Input;
  Error LastError;
  std::optional<std::string> Document =
      Codec.applyPatch(Current->Head.Document, Input.Patch, LastError);
  if (!Document) {
    reject({LastError}, Now, Out);
    return;
  }
  ConfigHead &New = Current->NewHead;
  New = Current->Head;
  ++New.Version;
  std::vector<Error> Errors;
  if (!Codec.parseConfig(*Document, New.Version, Errors)) {
    reject(std::move(Errors), Now, Out);
    return;
  }
  New.Document = std::move(*Document);
  New.History.push_back(ConfigChange{New.Version, Input.Base, Input.PatchId,
                                     Input.Author, Input.TimeMs, Input.Patch});
  archiveOrWrite(Now, Out);
}

void PatchWriter::archiveOrWrite(TimePoint Now, Actions &Out) {
  ConfigHead &New = Current->NewHead;
  std::string Value = Codec.renderHead(New);
  const std::vector<ConfigChange> &Old = Current->Head.History;
  const bool TooLarge = Value.size() > HeadLimit;
  if (!Old.empty() && (TooLarge || New.History.size() > HistoryLimit)) {
    // Old changes are archived before they are removed from the head value. If
    // the head write then fails, a later patch finds and uses the archive.
    std::size_t Count = std::min(ChangesPerArchive, Old.size());
    std::size_t Bytes = 0;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Bytes += Old[Index].Patch.size();
      // Half the limit, because escaping in JSON lengthens the patch.
      if (Index > 0 && Bytes > HeadLimit / 2) {
        Count = Index;
      }
    }
    Current->NewArchive = {Old.front().Version, Old[Count - 1].Version};
    if (Current->Input.DryRun) {
      archiveWritten(StoreResult{StoreStatus::Done, "", 0, 0, ""}, Now, Out);
      return;
    }
    Current->Step = Phase::Archive;
    Current->RetryUntil = Now + CallRetryTime;
    issueCall(Now, Out);
    return;
  }
  if (TooLarge) {
    reject({patchError(numberOf(ErrorCode::DocumentTooLarge),
                       "the configuration would take " +
                           std::to_string(Value.size()) +
                           " bytes in the store, the limit is " +
                           std::to_string(HeadLimit))},
           Now, Out);
    return;
  }
  if (Current->Input.DryRun) {
    finish(PatchStatus::Accepted, New.Version, {}, Now, Out);
    return;
  }
  Current->NewValue = std::move(Value);
  Current->Step = Phase::Write;
  Current->RetryUntil = Now + CallRetryTime;
  issueCall(Now, Out);
}

void PatchWriter::archiveWritten(const StoreResult &Result, TimePoint Now,
                                 Actions &Out) {
  if (Result.Status == StoreStatus::Conflict) {
    // An earlier patch archived these changes but failed to write the head.
    Error LastError;
    const auto Changes = Codec.parseArchive(Result.Value, LastError);
    const bool Usable =
        Changes && !Changes->empty() &&
        Changes->front().Version == Current->NewArchive.FirstVersion &&
        Changes->back().Version < Current->NewHead.Version;
    if (!Usable) {
      reject(
          {storeError(numberOf(ErrorCode::HeadUnreadable),
                      "archive " +
                          configArchiveKey(Current->NewArchive.FirstVersion) +
                          " holds something else: " + LastError.Reason)},
          Now, Out);
      return;
    }
    Current->NewArchive.LastVersion = Changes->back().Version;
  } else if (Result.Status != StoreStatus::Done) {
    // If this write took effect, its retry ends with a conflict.
    retryOrGiveUp(Result, Now, Out);
    return;
  }
  const std::uint64_t Last = Current->NewArchive.LastVersion;
  std::erase_if(Current->NewHead.History,
                [&](const auto &Each) { return Each.Version <= Last; });
  std::erase_if(Current->Head.History,
                [&](const auto &Each) { return Each.Version <= Last; });
  std::vector<ConfigArchive> &Archives = Current->NewHead.Archives;
  Archives.push_back(Current->NewArchive);
  if (Archives.size() > ArchiveLimit) {
    Archives.erase(Archives.begin());
  }
  archiveOrWrite(Now, Out);
}

void PatchWriter::headWritten(const StoreResult &Result, TimePoint Now,
                              Actions &Out) {
  switch (Result.Status) {
  case StoreStatus::Done:
    Stored = StoredVersion{Current->NewHead.Version,
                           std::move(Current->NewHead.Document)};
    finish(PatchStatus::Accepted, Stored->Version, {}, Now, Out);
    return;
  case StoreStatus::Conflict:
    rereadHead(Result, Now, Out);
    return;
  case StoreStatus::NoAnswer:
    if (!Current->WriteUncertain) {
      Current->WriteUncertain = true;
      Current->RetryUntil = Now + WriteRetryTime;
    }
    break;
  default:
    break;
  }
  retryOrGiveUp(Result, Now, Out);
}

void PatchWriter::rereadHead(const StoreResult &Result, TimePoint Now,
                             Actions &Out) {
  // The head changed, so this write can no longer take effect. The history of
  // the head shows whether an earlier try did. Reads may return older values.
  Current->Step = Phase::ReadHead;
  Current->MinRevision = Current->Revision + 1;
  if (Result.Revision >= Current->MinRevision && !Result.Value.empty()) {
    StoreResult Head = Result;
    Head.Status = StoreStatus::Done;
    headRead(Head, Now, Out);
    return;
  }
  issueCall(Now, Out);
}

void PatchWriter::reject(std::vector<Error> Errors, TimePoint Now,
                         Actions &Out) {
  finish(PatchStatus::Rejected, std::max(Current->Head.Version, InForce),
         std::move(Errors), Now, Out);
}

void PatchWriter::finish(PatchStatus Status, std::uint64_t Version,
                         std::vector<Error> Errors, TimePoint Now,
                         Actions &Out) {
  const PatchSubmitted Input = std::move(Current->Input);
  Current.reset();
  OpenCall = 0;
  Out.emplace_back(PatchResult{Input.Request, Input.PatchId, Status, Version,
                               Input.DryRun, std::move(Errors)});
  startNext(Now, Out);
}

} // namespace hyssopford
