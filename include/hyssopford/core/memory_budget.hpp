/// @file
/// @brief Bound on the bytes that a node holds for requests and answers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

namespace hyssopford {

/// @brief What reserved memory is for.
enum class MemoryUse : std::uint8_t {
  /// A request that is refused if there is no room.
  Request,
  /// An answer of an upstream, which waits if there is no room.
  Answer,
  /// Buffers of a connection: incomplete heads, bytes read ahead and unsent
  /// refusals.
  Connection
};

/// @brief Which kind of room a reservation lacks.
enum class MemoryShortage : std::uint8_t {
  /// Room for anything.
  Any,
  /// Room for large requests.
  Large,
  /// Room for the buffers of connections.
  Connections
};

class MemoryCharge;

/// @brief Counts the bytes held at a time against a limit. Requests of at least
/// LargeSize bytes may use only a part of the limit, so that they leave room
/// for ordinary requests and for answers, and so may the buffers of
/// connections. Requests with a body leave the last eighth to others, so that
/// bodies held back by their senders do not keep out requests without one. Not
/// thread-safe; must outlive its charges.
class MemoryBudget {
public:
  /// Size in bytes from which a request counts as large.
  static constexpr std::size_t LargeSize = 65'536;
  /// Size in bytes from which a request may not use the last eighth.
  static constexpr std::size_t BodySize = 8'192;

  /// Returns memory that is held without progress.
  /// @return whether any was returned
  using Reclaimer = std::function<bool(MemoryShortage)>;

  /// @param LimitBytes most bytes that are reserved at a time
  explicit MemoryBudget(std::size_t LimitBytes)
      : Limit(LimitBytes), LargeLimit(LimitBytes / 8 * 5),
        ConnectionLimit(LimitBytes / 4) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// @name Reserving
  /// @{

  /// @brief Reserves memory if there is room.
  /// @param Bytes the amount
  /// @param Use what it is for
  /// @return the charge, or nothing if there is no room
  std::optional<MemoryCharge> reserve(std::size_t Bytes, MemoryUse Use);

  /// @brief Charges memory that must be held even if it exceeds the limit.
  MemoryCharge charge(std::size_t Bytes, MemoryUse Use);

  /// @brief Sets what is called, again and again, while a reservation lacks
  /// room; it must not reserve memory itself.
  void setReclaimer(Reclaimer Function) { Reclaim = std::move(Function); }
  /// @}

  /// @name Observers
  /// @{
  std::size_t limit() const { return Limit; }
  /// @return most bytes that large requests may use
  std::size_t largeLimit() const { return LargeLimit; }
  /// @return most bytes that the buffers of connections may use
  std::size_t connectionLimit() const { return ConnectionLimit; }
  /// @return the bytes charged for buffers of connections
  std::size_t connectionBytes() const { return ConnectionUsed; }
  /// @return the bytes charged at present
  std::size_t used() const { return Used; }
  /// @return the most bytes that were charged at a time
  std::size_t peak() const { return Peak; }
  /// @return the number of requests refused for lack of room
  std::uint64_t refusals() const { return Refusals; }
  /// @}

private:
  friend class MemoryCharge;

  /// @return the room that is lacking, or nothing if the bytes fit
  std::optional<MemoryShortage> shortage(std::size_t Held, std::size_t Wanted,
                                         MemoryUse Use) const {
    const std::size_t Others = Used - Held;
    const std::size_t Reserve =
        Use == MemoryUse::Request && Wanted >= BodySize ? Limit / 8 : 0;
    if (Wanted > Limit - Reserve || Others > Limit - Reserve - Wanted) {
      return MemoryShortage::Any;
    }
    if (Use == MemoryUse::Connection &&
        ConnectionUsed - Held + Wanted > ConnectionLimit) {
      return MemoryShortage::Connections;
    }
    if (Use != MemoryUse::Request || Wanted < LargeSize) {
      return std::nullopt;
    }
    const std::size_t OtherLarge = LargeUsed - largePart(Held, Use);
    return Wanted <= LargeLimit && OtherLarge <= LargeLimit - Wanted
               ? std::nullopt
               : std::optional(MemoryShortage::Large);
  }

  /// Checks for room, and has memory reclaimed until there is room or nothing
  /// more to reclaim.
  bool fits(std::size_t Held, std::size_t Wanted, MemoryUse Use) {
    while (const auto Lacking = shortage(Held, Wanted, Use)) {
      if (!Reclaim || Reclaiming) {
        return false;
      }
      Reclaiming = true;
      const bool Reclaimed = Reclaim(*Lacking);
      Reclaiming = false;
      if (!Reclaimed) {
        return false;
      }
    }
    return true;
  }

  void change(std::size_t Held, std::size_t Wanted, MemoryUse Use) {
    Used = Used - Held + Wanted;
    LargeUsed = LargeUsed - largePart(Held, Use) + largePart(Wanted, Use);
    if (Use == MemoryUse::Connection) {
      ConnectionUsed = ConnectionUsed - Held + Wanted;
    }
    Peak = std::max(Peak, Used);
  }

  static std::size_t largePart(std::size_t Bytes, MemoryUse Use) {
    return Use == MemoryUse::Request && Bytes >= LargeSize ? Bytes : 0;
  }

  std::size_t Limit;
  std::size_t LargeLimit;
  std::size_t ConnectionLimit;
  std::size_t Used = 0;
  std::size_t LargeUsed = 0;
  std::size_t ConnectionUsed = 0;
  Reclaimer Reclaim;
  bool Reclaiming = false;
  std::size_t Peak = 0;
  std::uint64_t Refusals = 0;
};

/// @brief Bytes charged to a budget; returned when the charge is destroyed. A
/// charge without a budget is unlimited.
class MemoryCharge {
public:
  /// @name Construction
  /// @{
  MemoryCharge() = default;
  MemoryCharge(MemoryCharge &&Other) noexcept
      : Budget(std::exchange(Other.Budget, nullptr)),
        Bytes(std::exchange(Other.Bytes, 0)), Use(Other.Use) {}
  MemoryCharge &operator=(MemoryCharge &&Other) noexcept {
    if (this != &Other) {
      resize(0);
      Budget = std::exchange(Other.Budget, nullptr);
      Bytes = std::exchange(Other.Bytes, 0);
      Use = Other.Use;
    }
    return *this;
  }
  MemoryCharge(const MemoryCharge &) = delete;
  MemoryCharge &operator=(const MemoryCharge &) = delete;
  ~MemoryCharge() { resize(0); }
  /// @}

  /// @name Size
  /// @{

  /// @return the bytes charged
  std::size_t size() const { return Bytes; }

  /// @return whether the charge counts against a budget
  bool isBounded() const { return Budget != nullptr; }

  /// @brief Changes the size, even beyond the limit.
  void resize(std::size_t NewBytes) {
    if (Budget != nullptr) {
      Budget->change(Bytes, NewBytes, Use);
      Bytes = NewBytes;
    }
  }

  /// @brief Changes the size if there is room.
  /// @return whether there was room
  bool tryResize(std::size_t NewBytes) {
    if (Budget != nullptr && NewBytes > Bytes &&
        !Budget->fits(Bytes, NewBytes, Use)) {
      return false;
    }
    resize(NewBytes);
    return true;
  }
  /// @}

private:
  friend class MemoryBudget;

  MemoryCharge(MemoryBudget &Source, MemoryUse For)
      : Budget(&Source), Use(For) {}

  MemoryBudget *Budget = nullptr;
  std::size_t Bytes = 0;
  MemoryUse Use = MemoryUse::Request;
};

inline std::optional<MemoryCharge> MemoryBudget::reserve(std::size_t Bytes,
                                                         MemoryUse Use) {
  MemoryCharge Result(*this, Use);
  if (!Result.tryResize(Bytes)) {
    if (Use == MemoryUse::Request) {
      ++Refusals;
    }
    return std::nullopt;
  }
  return Result;
}

inline MemoryCharge MemoryBudget::charge(std::size_t Bytes, MemoryUse Use) {
  MemoryCharge Result(*this, Use);
  Result.resize(Bytes);
  return Result;
}

} // namespace hyssopford
