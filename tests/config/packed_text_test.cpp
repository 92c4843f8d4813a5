/// @file
/// @brief Tests of the compression of documents.
#include "hyssopford/config/config_codec.hpp"
#include "hyssopford/config/packed_text.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace hyssopford;

// Guards against large configurations that hold slow links for seconds, so that
// the time for a push ends before the push.
TEST_CASE("a large configuration is passed on compressed", "[config]") {
  std::string Text = "{\"routes\":[";
  for (int Index = 0; Index < 1'840; ++Index) {
    Text += fmt::format("{{\"name\":\"r-{0}\",\"host\":\"h{1}.example\","
                        "\"prefix\":\"/p{0}/\",\"service\":\"s{1}\","
                        "\"deadline_ms\":2000,\"tries\":2}},",
                        Index * 7919 % 100'003, Index % 13);
  }
  const JsonConfigCodec Codec;
  const std::string Packed = Codec.compressDocument(Text);
  CHECK(Packed.size() < Text.size() / 5);
  CHECK(Codec.decompressDocument(Packed) == Text);
}

TEST_CASE("damaged and oversized texts are not unpacked", "[config]") {
  const std::string Packed = packText(std::string(10'000, 'a') + "end");
  CHECK(unpackText(Packed) == std::string(10'000, 'a') + "end");
  CHECK(unpackText(packText("")) == "");
  CHECK_FALSE(unpackText("{\"plain\":1}").has_value());
  std::string Damaged = Packed;
  Damaged[Packed.size() / 2] ^= 0x55;
  CHECK_FALSE(unpackText(Damaged).has_value());
  std::string Oversized;
  Oversized.resize(std::size_t{17} << 20U, 'a');
  CHECK_FALSE(unpackText(packText(Oversized)).has_value());
}
