#include "frame_mac.hpp"

#include <Poco/Exception.h>
#include <Poco/RandomStream.h>
#include <openssl/core_names.h>
#include <openssl/params.h>

namespace hyssopford {

std::string hmacSha256(const std::string &Key, std::string_view Text) {
  Poco::HMACEngine<Sha256Engine> Engine(Key);
  Engine.update(Text.data(), Text.size());
  const auto &Digest = Engine.digest();
  return {Digest.begin(), Digest.end()};
}

bool equalMacs(std::string_view Left, std::string_view Right) {
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

FrameAuthenticator::FrameAuthenticator(const std::string &Key)
    : Context(nullptr) {
  EVP_MAC *Algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  if (Algorithm != nullptr) {
    Context = EVP_MAC_CTX_new(Algorithm);
    EVP_MAC_free(Algorithm);
  }
  std::string Digest = "SHA256";
  const std::array<OSSL_PARAM, 2> Parameters{
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, Digest.data(), 0),
      OSSL_PARAM_construct_end()};
  if (Context == nullptr ||
      EVP_MAC_init(Context, reinterpret_cast<const unsigned char *>(Key.data()),
                   Key.size(), Parameters.data()) != 1) {
    EVP_MAC_CTX_free(Context);
    throw Poco::RuntimeException(
        "OpenSSL: cannot initialise HMAC-SHA256 for peer links");
  }
}

FrameAuthenticator::~FrameAuthenticator() { EVP_MAC_CTX_free(Context); }

std::string FrameAuthenticator::nextMac(std::string_view Content) {
  std::array<unsigned char, 8> Number{};
  for (std::size_t Index = 0; Index < Number.size(); ++Index) {
    Number[Index] = static_cast<unsigned char>(Sequence >> (8 * Index));
  }
  ++Sequence;
  std::array<unsigned char, HandshakeMacSize> Digest{};
  std::size_t Size = 0;
  // Without a key, EVP_MAC_init reuses the key that was set before.
  if (EVP_MAC_init(Context, nullptr, 0, nullptr) != 1 ||
      EVP_MAC_update(Context, Number.data(), Number.size()) != 1 ||
      EVP_MAC_update(Context,
                     reinterpret_cast<const unsigned char *>(Content.data()),
                     Content.size()) != 1 ||
      EVP_MAC_final(Context, Digest.data(), &Size, Digest.size()) != 1) {
    throw Poco::RuntimeException(
        "OpenSSL: cannot compute the HMAC-SHA256 of a frame");
  }
  return {Digest.begin(), Digest.begin() + FrameMacSize};
}

} // namespace hyssopford
