/// @file
/// @brief Tests of frame authentication, framing and chunk reassembly.
#include "../../src/net/frame_buffer.hpp"
#include "../../src/net/frame_mac.hpp"

#include <catch2/catch.hpp>

using namespace hyssopford;

TEST_CASE("frame authentication", "[link]") {
  SECTION("HMAC-SHA256 follows RFC 4231, test case 2") {
    std::string Hex;
    for (const char C : hmacSha256("Jefe", "what do ya want for nothing?")) {
      const char *const Digits = "0123456789abcdef";
      Hex += Digits[(static_cast<unsigned char>(C) >> 4U) & 15U];
      Hex += Digits[static_cast<unsigned char>(C) & 15U];
    }
    REQUIRE(Hex == "5bdcc146bf60754e6a042426089575c7"
                   "5a003f089d2739839dec58b964ec3843");
  }
  SECTION("a repeated, dropped or reordered frame has another code") {
    FrameAuthenticator Sender("key");
    FrameAuthenticator Receiver("key");
    const std::string First = Sender.nextMac("a");
    const std::string Second = Sender.nextMac("a");
    REQUIRE(First != Second);
    REQUIRE(Receiver.nextMac("a") == First);
    REQUIRE(Receiver.nextMac("a") == Second);
    REQUIRE(FrameAuthenticator("other").nextMac("a") != First);
  }
}

TEST_CASE("a byte stream is split into frames", "[frame]") {
  const std::string Bytes =
      frameLength(3) + "abc" + frameLength(0) + frameLength(2) + "de";
  for (std::size_t Step = 1; Step <= Bytes.size(); ++Step) {
    FrameBuffer Buffer;
    std::vector<std::string> Seen;
    for (std::size_t At = 0; At < Bytes.size(); At += Step) {
      Buffer.feed(std::string_view(Bytes).substr(At, Step));
      std::string_view Frame;
      while (Buffer.next(3, Frame) == FrameBuffer::Status::Ready) {
        Seen.emplace_back(Frame);
      }
    }
    REQUIRE(Seen == std::vector<std::string>{"abc", "", "de"});
  }
  FrameBuffer Buffer;
  Buffer.feed(frameLength(4));
  std::string_view Frame;
  REQUIRE(Buffer.next(3, Frame) == FrameBuffer::Status::TooLong);
}

TEST_CASE("chunks are reassembled", "[frame]") {
  ChunkAssembler Assembler;
  bool Refused = false;

  SECTION("interleaved contents") {
    REQUIRE_FALSE(Assembler.add(1, false, "a", Refused));
    REQUIRE_FALSE(Assembler.add(2, false, "x", Refused));
    REQUIRE(Assembler.add(1, true, "b", Refused) == "ab");
    REQUIRE(Assembler.add(2, true, "y", Refused) == "xy");
    REQUIRE_FALSE(Refused);
  }
  SECTION("a content above the size limit is refused") {
    const std::string Chunk(ChunkSize, 'x');
    for (std::size_t Sum = 0; Sum <= ContentLimit && !Refused;
         Sum += ChunkSize) {
      Assembler.add(1, false, Chunk, Refused);
    }
    REQUIRE(Refused);
  }
  SECTION("an empty chunk that is not the last one is refused") {
    Assembler.add(1, false, "", Refused);
    REQUIRE(Refused);
  }
}
