/// @file
/// @brief Tables of idempotency records at a holder.
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

/// @brief Maintains the tables of granted keys of all services for which this
/// node is a holder, and collects the records of earlier epochs.
class KeyHolder {
public:
  /// Time for which a released claim is stored individually. Afterwards only
  /// the highest released claim number of each ingress run is stored, which
  /// bars all claims of that run up to it.
  static constexpr Duration ReleaseRetention = 10min;
  /// Bytes of records after which a SealReply ends.
  static constexpr std::size_t ReplyBytes = 16'384;
  /// Time after which an unanswered SealRequest is sent again; it doubles up to
  /// the limit, because a lost node never answers.
  static constexpr Duration SealRetryPeriod = 200ms;
  static constexpr Duration MaxSealRetryPeriod = 5s;
  /// Largest number of released claims that are stored individually.
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

  /// @brief Adopts a roster that is newer than the known one of its service.
  /// Stops granting in earlier epochs and starts to collect their records.
  void adopt(const std::string &Service, const Roster &New, TimePoint Now);

  /// @brief Grants a key to a claim or refuses it.
  /// @return the answer, or nothing if the epoch of the claim is not known yet
  std::optional<KeyClaimReply> claim(const KeyClaim &Claim, TimePoint Now);

  /// @brief Releases a key and bars the claim, so that a delayed KeyClaim is
  /// not granted.
  KeyAck release(const KeyRelease &Release, TimePoint Now);

  /// @brief Records the result of a claim.
  /// @return the confirmation, or nothing if the service is not known yet
  std::optional<KeyAck> record(const KeyOutcome &End, TimePoint Now);

  /// @brief Seals an epoch, i.e. stops granting in it.
  /// @return a part of the records, or nothing if this run was no member of
  /// that epoch
  std::optional<SealReply> seal(const SealRequest &Request, TimePoint Now);

  /// @brief Merges a part of another member's records and requests the next.
  void collectRecords(NodeRun From, const SealReply &Received, TimePoint Now,
                      Actions &Out);

  /// @brief Makes requests to a peer that is reachable again due at once.
  void linkUp(NodeId Peer);

  /// @brief Sends due seal requests and removes expired records.
  void tick(TimePoint Now, Actions &Out);
  /// @}

  /// @name Observers
  /// @{

  /// @return the time of the next timer, if any
  std::optional<TimePoint> nextWakeup() const;

  /// @param Service name of a service
  /// @return the current epoch if this node may decide on each of its keys; 0
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

  /// Progress of the transfer of records from one member of an earlier epoch.
  struct SourceRow {
    RosterMember Member;
    std::uint64_t Epoch = 0;
    std::string After;
    bool Done = false;
    bool WasReady = false;
    TimePoint NextRequest;
    Duration Interval = SealRetryPeriod;
  };

  struct ServiceRow {
    Roster Known;
    /// Highest epoch in which this node no longer grants.
    std::uint64_t SealedThrough = 0;
    /// Sealed epochs in which this node was ready.
    std::vector<std::uint64_t> ReadyWhenSealed;
    std::vector<SourceRow> Sources;
    std::map<std::string, RecordRow, std::less<>> Records;
    /// Key after which the next sweep continues.
    std::string SweepAfter;
  };

  bool isReady(const ServiceRow &Row) const;
  bool isReadyForKey(const ServiceRow &Row, std::string_view Key) const;
  void sealThrough(ServiceRow &Row, std::uint64_t Epoch) const;
  bool isReleased(const ClaimId &Claim) const;
  KeyClaimReply decideClaim(ServiceRow &Row, const KeyClaim &Claim,
                            TimePoint Now);
  std::map<ClaimId, TimePoint>::iterator
  forgetRelease(std::map<ClaimId, TimePoint>::iterator Entry);
  void storeResult(RecordRow &Row, const KeyResult &Result);
  void mergeRecord(ServiceRow &Row, const KeyRecord &Record, TimePoint Now);
  KeyAck acknowledge(const ClaimId &Claim, const ServiceRow *Row) const;
  void requestRecords(const std::string &Service, const ServiceRow &Row,
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
  /// Released claims and when they are removed from this table.
  std::map<ClaimId, TimePoint> Released;
  /// Highest released claim number of each ingress run that was removed from
  /// Released.
  std::map<NodeRun, std::uint64_t> ReleasedThrough;
};

} // namespace hyssopford
