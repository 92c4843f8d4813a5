/// @file
/// @brief Idempotency records at their holders.
#pragma once

#include "hyssopford/core/action.hpp"
#include "hyssopford/core/key_rules.hpp"
#include "hyssopford/core/message.hpp"
#include "hyssopford/core/roster.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hyssopford {

/// @brief Runs the tables of granted keys of all services for which this node
/// is a holder, and collects the records of earlier rosters.
class KeyHolder {
public:
  /// How long a released claim is remembered one by one. Afterwards a mark
  /// per ingress run bars it together with all older claims of that run.
  static constexpr Duration ReleaseMemory = 10min;
  /// Most bytes of records in one SealReply.
  static constexpr std::size_t PieceBytes = 16'384;
  /// Time after which an unanswered SealRequest is repeated; it doubles up to
  /// the limit, as a lost node never answers.
  static constexpr Duration SealRepeat = 200ms;
  static constexpr Duration SealRepeatLimit = 5s;
  /// Most released claims remembered one by one.
  static constexpr std::size_t MaxReleased = 200'000;

  /// @name Construction
  /// @{

  /// @param Self this run of this node
  /// @param Settings limits of the tables
  /// @param Rules rules of granting
  KeyHolder(NodeRun Self, const KeySettings &Settings, const KeyRules &Rules);
  /// @}

  /// @name Inputs
  /// @{

  /// @brief Takes a roster newer than the known one of its service. Ends this
  /// node's grants of earlier epochs and starts to collect their records.
  void adopt(const std::string &Service, const Roster &New, TimePoint Now);

  /// @brief Grants or refuses a key.
  /// @return the answer; nothing if the epoch is not known here yet
  std::optional<KeyClaimReply> claim(const KeyClaim &Claim, TimePoint Now);

  /// @brief Gives a key back and bars the claim.
  KeyAck release(const KeyRelease &Release, TimePoint Now);

  /// @brief Records the result of a claim.
  /// @return the confirmation; nothing if the service is not known here yet
  std::optional<KeyAck> record(const KeyOutcome &End, TimePoint Now);

  /// @brief Seals an epoch and returns a piece of its records.
  /// @return the piece; nothing if this run was no member of that epoch
  std::optional<SealReply> seal(const SealRequest &Request, TimePoint Now);

  /// @brief Takes a piece of another node's records.
  void collect(NodeRun From, const SealReply &Piece, TimePoint Now,
               Actions &Out);

  /// @brief Lets requests to a peer that came back be repeated at once.
  void linkUp(NodeId Peer);

  /// @brief Repeats seal requests and drops expired records.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @param Service name of a service
  /// @return the epoch in which this node may decide on each of its keys; 0
  /// if it is no member or still lacks records
  std::uint64_t readyEpoch(const std::string &Service) const;

  /// @return the number of records
  std::size_t size() const { return Count; }

  /// @return the bytes of kept answers
  std::size_t answerBytes() const { return AnswerBytes; }
  /// @}

private:
  struct RecordRow {
    std::uint64_t RequestHash = 0;
    TimePoint Expires;
    std::vector<ClaimId> Claims;
    std::optional<KeyResult> Result;
  };

  /// Progress of the transfer from one member of an earlier epoch.
  struct SourceRow {
    RosterMember Member;
    std::uint64_t Epoch = 0;
    std::string After;
    bool Done = false;
    bool WasReady = false;
    TimePoint NextRequest;
    Duration Interval = SealRepeat;
  };

  struct ServiceRow {
    Roster Known;
    /// Highest epoch in which this node no longer grants.
    std::uint64_t SealedThrough = 0;
    /// Sealed epochs in which this node was ready.
    std::vector<std::uint64_t> ReadyWhenSealed;
    std::vector<SourceRow> Sources;
    std::map<std::string, RecordRow, std::less<>> Records;
    /// Key at which the next sweep continues.
    std::string SweepAfter;
  };

  bool ready(const ServiceRow &Row) const;
  bool readyFor(const ServiceRow &Row, std::string_view Key) const;
  void sealThrough(ServiceRow &Row, std::uint64_t Epoch) const;
  bool barred(const ClaimId &Claim) const;
  KeyClaimReply decide(ServiceRow &Row, const KeyClaim &Claim, TimePoint Now);
  std::map<ClaimId, TimePoint>::iterator
  forgetRelease(std::map<ClaimId, TimePoint>::iterator Entry);
  void store(RecordRow &Row, const KeyResult &Result);
  void merge(ServiceRow &Row, const KeyRecord &Record, TimePoint Now);
  KeyAck acknowledge(const ClaimId &Claim, const ServiceRow *Row) const;
  void requestPiece(const std::string &Service, const ServiceRow &Row,
                    SourceRow &Source, TimePoint Now, Actions &Out) const;
  void sweep(ServiceRow &Row, TimePoint Now);
  using RecordIterator =
      std::map<std::string, RecordRow, std::less<>>::iterator;
  RecordIterator erase(ServiceRow &Row, RecordIterator Position);

  NodeRun Self;
  const KeySettings &Settings;
  const KeyRules &Rules;
  std::size_t Count = 0;
  std::size_t AnswerBytes = 0;
  std::optional<TimePoint> NextSweep;
  std::map<std::string, ServiceRow> Services;
  /// Released claims and when they are forgotten.
  std::map<ClaimId, TimePoint> Released;
  /// Highest forgotten released claim of each ingress run.
  std::map<NodeRun, std::uint64_t> ReleasedThrough;
};

} // namespace hyssopford
