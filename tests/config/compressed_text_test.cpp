/// @file
/// @brief Tests of document compression.
#include "hyssopford/config/compressed_text.hpp"
#include "hyssopford/config/config_codec.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace hyssopford;

// Guards against large configurations that occupy slow links for seconds, so
// that a push times out before it is complete.
TEST_CASE("a large configuration is compressed to less than a fifth",
          "[config]") {
  std::string Text = "{\"routes\":[";
  for (int Index = 0; Index < 1'840; ++Index) {
    Text += fmt::format("{{\"name\":\"r-{0}\",\"host\":\"h{1}.example\","
                        "\"prefix\":\"/p{0}/\",\"service\":\"s{1}\","
                        "\"deadline_ms\":2000,\"tries\":2}},",
                        Index * 7919 % 100'003, Index % 13);
  }
  const JsonConfigCodec Codec;
  const std::string Compressed = Codec.compressDocument(Text);
  CHECK(Compressed.size() < Text.size() / 5);
  CHECK(Codec.decompressDocument(Compressed) == Text);
}

TEST_CASE("damaged and oversized texts are not decompressed", "[config]") {
  const std::string Compressed = compressText(std::string(10'000, 'a') + "end");
  CHECK(decompressText(Compressed) == std::string(10'000, 'a') + "end");
  CHECK(decompressText(compressText("")) == "");
  CHECK_FALSE(decompressText("{\"plain\":1}").has_value());
  std::string Damaged = Compressed;
  Damaged[Compressed.size() / 2] ^= 0x55;
  CHECK_FALSE(decompressText(Damaged).has_value());
  std::string Oversized;
  Oversized.resize(std::size_t{17} << 20U, 'a');
  CHECK_FALSE(decompressText(compressText(Oversized)).has_value());
}
