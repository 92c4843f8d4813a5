#include "hyssopford/net/http_reader.hpp"

#include "message_head.hpp"

#include <algorithm>
#include <charconv>

namespace hyssopford {

namespace {

/// Longest chunk size line in bytes, extensions included.
constexpr std::size_t ChunkLineLimit = 256;
/// Longest trailer section in bytes; trailers are checked and discarded.
constexpr std::size_t TrailerLimit = 8'192;
/// Most bytes reserved for a body before it arrives, so that a stated length
/// alone cannot use up memory.
constexpr std::uint64_t ReserveLimit = 65'536;

/// Room for the head of the forwarded message, which is put before a body.
constexpr std::size_t HeadRoom = 4'096;
/// Largest buffer in bytes that is kept between two messages.
constexpr std::size_t KeptBufferSize = 16'384;
/// Unused room in bytes that is kept for bytes that arrive later.
constexpr std::size_t KeptUnusedSize = 2'048;

/// Most empty lines before a request line.
constexpr std::uint32_t EmptyLinesMax = 8;
/// Most interim answers (1xx) before an answer; more would keep the reader busy
/// without end.
constexpr std::uint32_t InterimAnswersMax = 8;

/// Frees the memory of a string; assigning an empty one would keep its block.
void release(std::string &Text) { std::string().swap(Text); }

} // namespace

HttpReader::HttpReader(Kind Messages, const HttpLimits &MessageLimits)
    : MessageKind(Messages), Limits(MessageLimits) {}

HttpReader::Progress HttpReader::advance() {
  switch (State) {
  case Stage::Head:
    return readHead();
  case Stage::Done:
    return Progress::Complete;
  case Stage::Refused:
    return Progress::Failed;
  default:
    return readBody();
  }
}

HttpReader::Progress HttpReader::finish() {
  if (State == Stage::UntilClose) {
    State = Stage::Done;
    return Progress::Complete;
  }
  return State == Stage::Done ? Progress::Complete
                              : refuse(400, "incomplete message");
}

void HttpReader::next() {
  Buffer.erase(0, Position);
  if (Buffer.empty() && Buffer.capacity() > KeptBufferSize) {
    release(Buffer);
  }
  Position = 0;
  HeadScanOffset = 0;
  HeadLines = 0;
  EmptyLines = 0;
  State = Stage::Head;
  release(Body);
  BodyBytes = 0;
  Memory = MemoryCharge();
  Overdraft = false;
  AwaitsMemory = false;
  Discarding = false;
  Facts = HttpHeadFacts();
  // The fields of a connection without a request need not be kept.
  Request.clear();
}

std::size_t HttpReader::heldBytes() const {
  return Buffer.capacity() + Facts.parsedBytes() + Request.getURI().capacity() +
         (Memory.isBounded() ? 0 : Body.capacity());
}

void HttpReader::abandon() {
  next();
  release(Buffer);
  refuse(503, "abandoned");
}

void HttpReader::releaseUnused() {
  if (Buffer.capacity() > 2 * Buffer.size() + KeptUnusedSize) {
    Buffer.shrink_to_fit();
  }
}

HttpReader::Progress HttpReader::readHead() {
  // RFC 9112, section 2.2: empty lines before a request line are ignored.
  if (MessageKind == Kind::Request) {
    while (Buffer.compare(Position, 2, "\r\n") == 0) {
      Position += 2;
      if (++EmptyLines > EmptyLinesMax) {
        return refuse(400, "too many empty lines");
      }
    }
    HeadScanOffset = std::max(HeadScanOffset, Position);
  }
  const std::size_t From =
      HeadScanOffset > Position + 3 ? HeadScanOffset - 3 : Position;
  const std::size_t End = Buffer.find("\r\n\r\n", From);
  if (End == std::string::npos) {
    HeadLines += static_cast<std::size_t>(
        std::count(Buffer.begin() + static_cast<std::ptrdiff_t>(HeadScanOffset),
                   Buffer.end(), '\n'));
    HeadScanOffset = Buffer.size();
    // The start line ends with the first one.
    if (HeadLines > Limits.Fields + 1) {
      return refuse(431, "too many header fields");
    }
    const std::size_t LineEnd = Buffer.find('\n', Position);
    if (LineEnd != std::string::npos && LineEnd > Position &&
        Buffer[LineEnd - 1] != '\r') {
      return refuse(400, "line does not end with CRLF");
    }
    if (LineEnd == std::string::npos && buffered() > Limits.StartLine) {
      return refuse(414, "request line too long");
    }
    // A bare LF pair would end the head for lenient parsers, but not for this
    // search.
    if (Buffer.find("\n\n", From) != std::string::npos) {
      return refuse(400, "line does not end with CRLF");
    }
    if (buffered() > Limits.Head) {
      return refuse(431, "header too large");
    }
    return Progress::NeedMore;
  }
  const std::size_t Size = End + 4 - Position;
  if (Size > Limits.Head) {
    return refuse(431, "header too large");
  }
  if (!parseHead(std::string_view(Buffer).substr(Position, Size))) {
    State = Stage::Refused;
    return Progress::Failed;
  }
  Position += Size;
  if (MessageKind == Kind::Response && Facts.Status < 200) {
    if (Facts.Status == 101) {
      return refuse(502, "unexpected upgrade");
    }
    if (++InterimAnswers > InterimAnswersMax) {
      return refuse(502, "too many interim answers");
    }
    next();
    return readHead();
  }
  InterimAnswers = 0;
  return Progress::HeadReady;
}

bool HttpReader::parseHead(std::string_view Head) {
  const auto Checked =
      MessageKind == Kind::Request
          ? checkRequestHead(Head, Limits, Fault)
          : checkResponseHead(Head, Limits, IsHeadRequest, Fault);
  if (!Checked) {
    return false;
  }
  Facts = *Checked;
  Facts.HeadBytes = Head.size();
  if (MessageKind == Kind::Request) {
    // The key goes no further than its digest.
    copyRequestHead(Head, Limits.CredentialField, Request);
  } else {
    copyResponseHead(Head, Response);
  }
  Remaining = Facts.ContentLength;
  TrailerBytes = 0;
  switch (Facts.Framing) {
  case BodyFraming::None:
    Remaining = 0;
    State = Stage::LengthBody;
    break;
  case BodyFraming::Length:
    State = Stage::LengthBody;
    break;
  case BodyFraming::Chunked:
    State = Stage::ChunkLine;
    break;
  case BodyFraming::UntilClose:
    State = Stage::UntilClose;
    break;
  }
  return true;
}

HttpReader::Progress HttpReader::readBody() {
  while (State != Stage::Done && State != Stage::Refused) {
    bool Advanced = false;
    switch (State) {
    case Stage::LengthBody:
    case Stage::ChunkData:
    case Stage::UntilClose:
      Advanced = readBodyBytes();
      break;
    case Stage::ChunkLine:
      Advanced = readChunkSize();
      break;
    case Stage::ChunkEnd: {
      std::string_view Line;
      Advanced = takeLine(Line, 2);
      if (Advanced && !Line.empty()) {
        refuse(400, "chunk longer than its size");
      } else if (Advanced) {
        State = Stage::ChunkLine;
      }
      break;
    }
    default:
      Advanced = readTrailer();
      break;
    }
    if (!Advanced) {
      break;
    }
  }
  if (State == Stage::Refused) {
    return Progress::Failed;
  }
  if (State == Stage::Done) {
    return Progress::Complete;
  }
  // Erased once per call: erasing after each chunk would take quadratic time.
  Buffer.erase(0, Position);
  Position = 0;
  return Progress::NeedMore;
}

bool HttpReader::takeLine(std::string_view &Line, std::size_t Limit) {
  const std::string_view Rest = std::string_view(Buffer).substr(Position);
  const std::size_t End = Rest.find('\n');
  if (End == std::string_view::npos) {
    if (Rest.size() > Limit) {
      refuse(400, "line too long");
    }
    return false;
  }
  if (End == 0 || Rest[End - 1] != '\r' || End > Limit) {
    refuse(400, "line does not end with CRLF");
    return false;
  }
  Line = Rest.substr(0, End - 1);
  Position += End + 1;
  return true;
}

bool HttpReader::readChunkSize() {
  std::string_view Line;
  if (!takeLine(Line, ChunkLineLimit)) {
    return false;
  }
  const char *const Last = Line.data() + Line.size();
  const auto Parsed = std::from_chars(Line.data(), Last, Remaining, 16);
  const bool HasSize = Parsed.ec == std::errc() && Parsed.ptr != Line.data();
  // An extension starts with a semicolon; white space before it is refused.
  if (!HasSize || (Parsed.ptr != Last && *Parsed.ptr != ';') ||
      std::any_of(Line.begin(), Line.end(),
                  [](char C) { return C < 0x20 || C >= 0x7f; })) {
    refuse(400, "malformed chunk size");
    return false;
  }
  if (!fitsBodyLimit(Remaining)) {
    refuse(413, "body too large");
    return false;
  }
  State = Remaining == 0 ? Stage::Trailer : Stage::ChunkData;
  return true;
}

bool HttpReader::readBodyBytes() {
  const bool Unbounded = State == Stage::UntilClose;
  if (State == Stage::LengthBody && BodyBytes == 0) {
    if (!fitsBodyLimit(Remaining)) {
      refuse(413, "body too large");
      return false;
    }
    if (!Discarding && !Memory.isBounded()) {
      Body.reserve(std::min(Remaining, ReserveLimit));
    } else if (!Discarding && !makeRoom(static_cast<std::size_t>(Remaining))) {
      return false;
    }
  }
  const std::size_t Taken =
      Unbounded ? buffered()
                : static_cast<std::size_t>(
                      std::min<std::uint64_t>(Remaining, buffered()));
  if (Unbounded && !fitsBodyLimit(Taken)) {
    refuse(413, "body too large");
    return false;
  }
  if (!Discarding) {
    if (!makeRoom(Taken)) {
      return false;
    }
    Body.append(Buffer, Position, Taken);
  }
  Position += Taken;
  BodyBytes += Taken;
  if (Unbounded) {
    return false;
  }
  Remaining -= Taken;
  if (Remaining > 0) {
    return false;
  }
  State = State == Stage::LengthBody ? Stage::Done : Stage::ChunkEnd;
  return true;
}

bool HttpReader::readTrailer() {
  std::string_view Line;
  const std::size_t Before = Position;
  if (!takeLine(Line, TrailerLimit)) {
    return false;
  }
  TrailerBytes += Position - Before;
  if (Line.empty()) {
    State = Stage::Done;
    return true;
  }
  std::string_view Name;
  std::string_view Value;
  if (TrailerBytes > TrailerLimit || !splitFieldLine(Line, Name, Value)) {
    refuse(400, "malformed trailer");
    return false;
  }
  return true;
}

HttpReader::Progress HttpReader::refuse(int Status, std::string Reason) {
  State = Stage::Refused;
  release(Body);
  Memory = MemoryCharge();
  Fault = HttpFault{Status, std::move(Reason)};
  return Progress::Failed;
}

bool HttpReader::fitsBodyLimit(std::uint64_t More) const {
  return More <= Limits.Body && BodyBytes <= Limits.Body - More;
}

bool HttpReader::makeRoom(std::size_t More) {
  const std::size_t Needed = Body.size() + More;
  if (Needed <= Body.capacity()) {
    return true;
  }
  // A body of known length gets its whole room at once.
  const std::size_t Doubled = static_cast<std::size_t>(
      std::min<std::uint64_t>(2 * Body.capacity(), Limits.Body));
  const std::size_t Capacity =
      Body.empty() ? Needed : std::max(Needed, Doubled);
  const std::size_t Charged = std::max(Memory.size(), Capacity + HeadRoom);
  AwaitsMemory = false;
  if (Overdraft) {
    Memory.resize(Charged);
  } else if (!Memory.tryResize(Charged)) {
    if (MessageKind == Kind::Response) {
      AwaitsMemory = true;
    } else {
      refuse(503, "not enough memory");
      Fault.LacksMemory = true;
    }
    return false;
  }
  Body.reserve(Capacity + (Capacity < MemoryBudget::LargeSize ? 0 : HeadRoom));
  return true;
}

} // namespace hyssopford
