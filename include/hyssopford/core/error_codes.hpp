/// @file
/// @brief Numbers of all errors; docs/errors.md describes each.
#pragma once

namespace hyssopford {

/// @brief Number of an error. Ranges: 101 to 199 configuration, 201 to 299
/// telemetry, 301 to 399 network, 401 to 499 node and operators' port, 501 to
/// 599 hyssopctl and hyssopford-replay, 601 to 699 decision core. A number is
/// never reused for another error.
enum class ErrorCode : int {
  /// @name Configuration and node settings
  /// @{
  NotJson = 101,
  DuplicateKey = 102,
  UnknownField = 103,
  MissingField = 104,
  WrongType = 105,
  OutOfRange = 106,
  InvalidFormat = 107,
  NotUnique = 108,
  RouteConflict = 109,
  MalformedPatch = 110,
  PatchConflict = 111,
  FileUnreadable = 112,
  SettingConflict = 113,
  MalformedSecret = 114,
  /// @}

  /// @name Telemetry
  /// @{
  CollectorUnreachable = 201,
  CollectorRefused = 202,
  /// @}

  /// @name Network
  /// @{
  FrameRefused = 301,
  InvalidFrameValue = 302,
  LinkEnded = 303,
  LinkNotAccepted = 304,
  /// @}

  /// @name Node and operators' port
  /// @{
  TokenMissing = 401,
  TokenInsufficient = 402,
  NoSuchEndpoint = 403,
  MalformedRequest = 404,
  BaseOutdated = 405,
  DocumentTooLarge = 406,
  StoreUnavailable = 407,
  WriteUnresolved = 408,
  PatchIdReused = 409,
  StoreOlder = 410,
  HeadUnreadable = 411,
  PatchFieldInvalid = 412,
  PatchQueueFull = 413,
  MalformedAnnouncement = 414,
  /// @}

  /// @name hyssopctl
  /// @{
  InvalidCommand = 501,
  NodeUnreachable = 502,
  MalformedAnswer = 503,
  WatchTimeout = 504,
  UnknownNode = 505,
  NotDrained = 506,
  NotQuarantined = 507,
  InputUnreadable = 508,
  MalformedTrace = 509,
  MalformedOutcome = 510,
  UnknownCondition = 511,
  /// @}

  /// @name Decision core
  /// @{
  InvalidRosterHeader = 601,
  InvalidRosterLine = 602,
  InvalidRosterOrder = 603,
  /// @}
};

/// @brief Gives the number that an Error carries.
/// @param Code the error
/// @return its number, e.g. 101
constexpr int numberOf(ErrorCode Code) { return static_cast<int>(Code); }

} // namespace hyssopford
