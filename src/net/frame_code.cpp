#include "frame_code.hpp"

#include <Poco/RandomStream.h>

namespace hyssopford {

std::string hmacSha256(const std::string &Key, std::string_view Text) {
  Poco::HMACEngine<Sha256Engine> Engine(Key);
  Engine.update(Text.data(), Text.size());
  const auto &Digest = Engine.digest();
  return {Digest.begin(), Digest.end()};
}

bool equalCodes(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size()) {
    return false;
  }
  unsigned Difference = 0;
  for (std::size_t Index = 0; Index < Left.size(); ++Index) {
    Difference |= static_cast<unsigned char>(Left[Index]) ^
                  static_cast<unsigned char>(Right[Index]);
  }
  return Difference == 0;
}

std::string makeNonce() {
  Poco::RandomInputStream Source;
  std::string Nonce(NonceSize, '\0');
  Source.read(Nonce.data(), NonceSize);
  return Nonce;
}

std::string FrameCodes::next(std::string_view Content) {
  std::array<unsigned char, 8> Number{};
  for (std::size_t Index = 0; Index < Number.size(); ++Index) {
    Number[Index] = static_cast<unsigned char>(Sequence >> (8 * Index));
  }
  ++Sequence;
  Engine.update(Number.data(), Number.size());
  Engine.update(Content.data(), Content.size());
  const auto &Digest = Engine.digest();
  return {Digest.begin(), Digest.begin() + FrameCodeSize};
}

} // namespace hyssopford
