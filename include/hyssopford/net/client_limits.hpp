/// @file
/// @brief Decides which connections of clients are closed when a node is short
/// of memory, connections or descriptors.
#pragma once

#include "hyssopford/core/memory_budget.hpp"
#include "hyssopford/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>

namespace hyssopford {

/// @brief Why a connection of a client was closed or not accepted.
enum class CloseReason : std::uint8_t {
  /// The memory budget was used up.
  Memory,
  /// Its server had the most connections that it may have.
  Connections,
  /// Its client address had the most connections that it may have.
  Address,
  /// The process had no free descriptor.
  Descriptors,
  /// It exceeded a time limit.
  Timeout
};

/// @brief Number of reasons.
constexpr std::size_t CloseReasonCount =
    static_cast<std::size_t>(CloseReason::Timeout) + 1;

/// @return the reason as in metrics and log lines
const char *toString(CloseReason Reason);

/// @brief A connection that can be closed for the sake of others.
class LimitedConnection {
public:
  virtual ~LimitedConnection() = default;

  /// @return whether no request of it runs, so that closing it loses nothing
  /// that may have been done
  virtual bool mayBeClosed() const = 0;

  /// @return whether closing it returns memory of the lacking kind
  virtual bool holdsMemory(MemoryShortage Lacking) const = 0;

  /// @return whether bytes were sent since the last call or report of progress
  virtual bool hasSent() = 0;

  /// @brief Closes the connection and returns its memory at once.
  virtual void closeForLimit(CloseReason Reason) = 0;
};

/// @brief Keeps the connections of all servers of a node in the order of their
/// last progress and closes the one longest without progress first. Among
/// those, connections with an incomplete request, with unsent answers or
/// without any request so far go before those that wait for their next request.
/// Not thread-safe.
class ClientLimits {
  struct Record;

public:
  /// Requests behind another one of their connection, over all connections,
  /// from which a connection with a request in flight waits for its answer
  /// before the next one is read. Bounds the work of clients that pipeline
  /// without reading answers; a single connection holds 15 by default.
  static constexpr std::size_t PipelinedMax = 512;

  /// Identifies a connection.
  using Handle = std::list<Record>::iterator;

  /// Time without progress after which a connection is closed for lack of
  /// memory. Above the least retransmission timeout of TCP (200 ms) with a
  /// further round trip, so that one lost segment does not count.
  static constexpr Duration Grace = 500ms;

  /// @name Construction
  /// @{

  /// @param Budget the budget that connections are charged to; must outlive
  /// this object. Null for none.
  explicit ClientLimits(MemoryBudget *Budget = nullptr);
  ~ClientLimits();
  ClientLimits(const ClientLimits &) = delete;
  ClientLimits &operator=(const ClientLimits &) = delete;
  /// @}

  /// @name Connections
  /// @{

  /// @brief Adds a connection that has made no request yet.
  /// @param Added the connection; must be removed before its end
  /// @param Group the server that it belongs to
  /// @param Address IP address of the client
  /// @param Now time of the event
  Handle add(LimitedConnection &Added, const void *Group, std::string Address,
             TimePoint Now);

  /// @brief Reports progress of a connection.
  /// @param Which the connection
  /// @param IsIdle whether it waits for a further request and nothing else
  /// @param Now time of the event; must not decrease
  void reportProgress(Handle Which, bool IsIdle, TimePoint Now);

  void remove(Handle Which);
  /// @}

  /// @name Decisions
  /// @{

  /// @brief Closes a connection to return memory of the lacking kind.
  /// @return whether there was one without progress
  bool reclaimMemory(MemoryShortage Lacking, TimePoint Now);

  /// @brief Closes a connection to make room for a new one.
  /// @param Group the server that needs room; null for any
  /// @param Reason Connections or Descriptors
  /// @return whether there was one that may be closed
  bool makeRoom(const void *Group, CloseReason Reason, TimePoint Now);

  /// @return whether a request behind another one may be read
  bool mayPipeline() const { return Pipelined < PipelinedMax; }

  /// @brief Changes the number of requests that a connection holds behind
  /// another one.
  void changePipelined(std::size_t Before, std::size_t After) {
    Pipelined = Pipelined - Before + After;
  }

  /// @brief Counts a connection that was closed elsewhere.
  void countClosed(CloseReason Reason) {
    ++Closed.at(static_cast<std::size_t>(Reason));
  }
  /// @}

  /// @name Observers
  /// @{
  MemoryBudget *memory() const { return Memory; }
  /// @return whether a connection waits for a further request
  static bool isIdle(Handle Which) { return Which->IsIdle; }
  /// @return the open connections of a client address
  std::size_t connectionsOf(const std::string &Address) const;
  /// @return the connections closed for a reason since the start
  std::uint64_t closed(CloseReason Reason) const {
    return Closed.at(static_cast<std::size_t>(Reason));
  }
  /// @}

private:
  struct Record {
    LimitedConnection *Connection;
    const void *Group;
    std::string Address;
    TimePoint Progress;
    bool IsIdle = false;
  };
  using Filter = std::function<bool(const Record &)>;

  /// Closes the first connection of a list that passes the filter and was
  /// without progress since before Latest.
  bool closeOne(std::list<Record> &List, const Filter &Accepts,
                TimePoint Latest, CloseReason Reason, TimePoint Now);

  MemoryBudget *Memory;
  std::list<Record> Stalled;
  std::list<Record> Idle;
  std::unordered_map<std::string, std::size_t> PerAddress;
  std::size_t Pipelined = 0;
  std::array<std::uint64_t, CloseReasonCount> Closed{};
};

/// @brief Most descriptors of each kind of connection.
struct DescriptorShares {
  std::size_t Callers = 0;
  std::size_t Local = 0;
  std::size_t Ready = 0;
  std::size_t Metrics = 0;
  std::size_t Operators = 0;

  friend bool operator==(const DescriptorShares &,
                         const DescriptorShares &) = default;
};

/// @brief Divides the descriptors of a process among its servers, after those
/// for files, peers, the store and the upstream.
/// @param Descriptors most descriptors that the process may open
/// @return the shares, each at least 4
DescriptorShares descriptorShares(std::size_t Descriptors);

} // namespace hyssopford
