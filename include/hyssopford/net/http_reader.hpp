/// @file
/// @brief Incremental reader of HTTP/1.1 messages.
#pragma once

#include "hyssopford/core/memory_budget.hpp"
#include "hyssopford/net/http_head.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace hyssopford {

/// @brief Parses consecutive messages from a byte stream. Heads pass the strict
/// check of http_head.hpp; their bytes are then copied as they are.
class HttpReader {
public:
  /// @brief Kind of the messages in the stream.
  enum class Kind : std::uint8_t { Request, Response };

  /// @brief State of the current message after advance() or finish().
  enum class Progress : std::uint8_t {
    /// More bytes are needed.
    NeedMore,
    /// The head was read; returned once for each message.
    HeadReady,
    /// The whole message was read.
    Complete,
    /// The message is refused; nothing more can be read.
    Failed
  };

  /// @name Construction
  /// @{

  /// @param MessageKind requests or responses
  /// @param MessageLimits limits of each message
  HttpReader(Kind MessageKind, const HttpLimits &MessageLimits);
  /// @}

  /// @name Input
  /// @{

  /// @brief Appends bytes of the stream.
  void feed(std::string_view Bytes) { Buffer.append(Bytes); }

  /// @brief Parses as much as possible of the bytes fed so far.
  Progress advance();

  /// @brief Signals the end of the stream.
  /// @return Complete if the current message is complete, Failed otherwise
  Progress finish();

  /// @brief Sets the body limit, e.g. to that of the route. Must be called
  /// after HeadReady.
  /// @param Bytes longest body
  void limitBody(std::uint64_t Bytes) { Limits.Body = Bytes; }

  /// @brief Sets the memory charged for the current body, which grows with a
  /// body of unknown length. Must be called after HeadReady.
  void chargeBody(MemoryCharge Charge) { Memory = std::move(Charge); }

  /// @brief Lets the memory of the current body exceed its budget.
  void allowOverdraft() { Overdraft = true; }

  /// @brief Reads the current body without keeping it. Must be called after
  /// HeadReady.
  void discardBody() { Discarding = true; }

  /// @brief Sets whether the next response answers a HEAD request and thus has
  /// no body.
  void expectHeadResponse(bool Expected) { IsHeadRequest = Expected; }

  /// @brief Starts the next message; bytes after the current one are kept.
  void next();
  /// @}

  /// @name Current message
  /// @{
  const Poco::Net::HTTPRequest &request() const { return Request; }
  const Poco::Net::HTTPResponse &response() const { return Response; }
  const HttpHeadFacts &facts() const { return Facts; }
  const std::string &body() const { return Body; }
  std::string takeBody() { return std::exchange(Body, {}); }
  MemoryCharge takeCharge() { return std::move(Memory); }
  const HttpFault &fault() const { return Fault; }

  /// @return whether any byte of the current message has arrived
  bool started() const { return State != Stage::Head || !Buffer.empty(); }

  /// @return whether the head was read and the body is still incomplete
  bool inBody() const { return State != Stage::Head && State != Stage::Done; }

  /// @return whether a response waits until advance() finds room for its body
  bool awaitsMemory() const { return AwaitsMemory; }

  /// @return whether the current body is discarded
  bool isDiscarding() const { return Discarding; }

  /// @return the number of bytes fed but not yet read
  std::size_t buffered() const { return Buffer.size() - Position; }

  /// @return bytes of the current body or chunk that are still to be read
  std::uint64_t remaining() const { return inBody() ? Remaining : 0; }

  /// @return the memory held for heads, for bytes that were not yet read and
  /// for a body that is not charged, in bytes
  std::size_t heldBytes() const;
  /// @}

  /// @return the memory charged for the current body, in bytes
  std::size_t chargedBytes() const { return Memory.size(); }

  /// @brief Returns memory that the bytes fed and not yet read do not need.
  void releaseUnused();

  /// @brief Returns all memory; nothing more can be read.
  void abandon();

private:
  enum class Stage : std::uint8_t {
    Head,
    LengthBody,
    ChunkLine,
    ChunkData,
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
    Refused
  };

  Progress readHead();
  Progress readBody();
  bool parseHead(std::string_view Head);
  bool takeLine(std::string_view &Line, std::size_t Limit);
  bool readChunkSize();
  bool readBodyBytes();
  bool readTrailer();
  Progress refuse(int Status, std::string Reason);
  bool fitsBodyLimit(std::uint64_t More) const;
  bool makeRoom(std::size_t More);

  Kind MessageKind;
  HttpLimits Limits;
  Stage State = Stage::Head;
  std::string Buffer;
  std::size_t Position = 0;
  /// Empty lines before the current request line.
  std::uint32_t EmptyLines = 0;
  /// Interim answers (1xx) before the current one.
  std::uint32_t InterimAnswers = 0;
  /// Offset in Buffer up to which the end of the head was searched.
  std::size_t HeadScanOffset = 0;
  /// Line ends of the current head up to HeadScanOffset.
  std::size_t HeadLines = 0;
  /// Bytes of the current body or chunk that are still to be read.
  std::uint64_t Remaining = 0;
  std::size_t TrailerBytes = 0;
  bool IsHeadRequest = false;
  Poco::Net::HTTPRequest Request;
  Poco::Net::HTTPResponse Response;
  HttpHeadFacts Facts;
  std::string Body;
  /// Bytes of the current body that were read or discarded.
  std::uint64_t BodyBytes = 0;
  MemoryCharge Memory;
  bool Overdraft = false;
  bool AwaitsMemory = false;
  bool Discarding = false;
  HttpFault Fault;
};

} // namespace hyssopford
