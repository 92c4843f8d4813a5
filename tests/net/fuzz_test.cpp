/// @file
/// @brief Fuzz test of the readers of HTTP and frames: feeds them valid inputs
/// with random changes. The default seed is fixed; scripts/fuzz.sh runs more
/// rounds under sanitizers.
#include "../../src/net/frame_buffer.hpp"
#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/net/message_codec.hpp"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

using namespace hyssopford;

namespace {

std::uint64_t numberOf(const char *Name, std::uint64_t Default) {
  const char *const Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

/// Changes, removes, repeats or inserts a few bytes.
std::string mutate(std::string Bytes, std::mt19937_64 &Random) {
  std::string Special = "\r\n: \t;,0chunked\xff";
  Special += '\0';
  for (std::uint64_t Count = Random() % 4 + 1; Count > 0; --Count) {
    const std::size_t At = Bytes.empty() ? 0 : Random() % Bytes.size();
    switch (Random() % 4) {
    case 0:
      if (!Bytes.empty()) {
        Bytes[At] = static_cast<char>(Random());
      }
      break;
    case 1:
      Bytes.erase(At, Random() % 8);
      break;
    case 2:
      Bytes.insert(At, Bytes.substr(At, Random() % 64));
      break;
    default:
      Bytes.insert(At, 1, Special[Random() % Special.size()]);
      break;
    }
  }
  return Bytes;
}

const std::string ChunkedRequest =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;x=y\r\nhello\r\n0\r\nTrailer: z\r\n\r\n";
const std::string ChunkedAnswer =
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\n"
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
const std::vector<std::string> HttpCorpus{
    "GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    ChunkedRequest, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    ChunkedAnswer};

std::vector<std::string> frameCorpus() {
  Dispatch Request;
  Request.Service = "service";
  Request.Route = "route";
  Request.Request = Payload(HttpCorpus[1]);
  DispatchReply Reply;
  Reply.Answer = Payload(HttpCorpus[3]);
  return {encodeMessage(Request), encodeMessage(Reply), encodeMessage(Cancel{}),
          encodeMessage(StatusQuery{}), encodeMessage(StatusReply{})};
}

/// Reads all messages, feeding Step bytes at a time; returns whether no body
/// exceeds the limit.
bool readAll(HttpReader::Kind Kind, const std::string &Bytes,
             std::size_t Step) {
  HttpLimits Limits;
  Limits.Body = 1'000;
  HttpReader Reader(Kind, Limits);
  bool Passed = true;
  for (std::size_t At = 0; At < Bytes.size(); At += Step) {
    Reader.feed(std::string_view(Bytes).substr(At, Step));
    HttpReader::Progress State = Reader.advance();
    while (State == HttpReader::Progress::HeadReady ||
           State == HttpReader::Progress::Complete) {
      Passed = Passed && Reader.body().size() <= Limits.Body;
      if (State == HttpReader::Progress::Complete) {
        Reader.next();
      }
      State = Reader.advance();
    }
  }
  Reader.finish();
  return Passed;
}

} // namespace

TEST_CASE("readers withstand randomly changed input", "[fuzz]") {
  std::mt19937_64 Random(numberOf("HYSSOPFORD_FUZZ_SEED", 1));
  const std::uint64_t Rounds = numberOf("HYSSOPFORD_FUZZ_ROUNDS", 20'000);
  const std::vector<std::string> Frames = frameCorpus();
  bool Passed = true;
  for (std::uint64_t Round = 0; Round < Rounds; ++Round) {
    const std::string Http =
        mutate(HttpCorpus[Random() % HttpCorpus.size()], Random);
    const std::size_t Step = Random() % (Http.size() + 1) + 1;
    Passed = readAll(HttpReader::Kind::Request, Http, Step) && Passed;
    Passed = readAll(HttpReader::Kind::Response, Http, Step) && Passed;
    Error Fault;
    const std::string Frame = mutate(Frames[Random() % Frames.size()], Random);
    const auto Message = decodeMessage(Frame, Fault);
    if (Message) {
      // An accepted message must survive encoding and decoding.
      Passed =
          decodeMessage(encodeMessage(*Message), Fault) == Message && Passed;
    }
    FrameBuffer Buffer;
    Buffer.feed(Frame);
    std::string_view Part;
    while (Buffer.next(FrameLimit, Part) == FrameBuffer::Status::Ready) {
    }
  }
  REQUIRE(Passed);
}
