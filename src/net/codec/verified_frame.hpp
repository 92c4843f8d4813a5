/// @file
/// @brief A frame that passed the FlatBuffers verifier.
#pragma once

#include "frame_generated.h"

#include <cstdint>
#include <flatbuffers/flatbuffers.h>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopford::codec {

/// @brief Verifies the bytes of a frame. Unaligned bytes are copied first, as
/// FlatBuffers needs alignment.
class VerifiedFrame {
public:
  explicit VerifiedFrame(std::string_view Bytes) {
    const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
    if (reinterpret_cast<std::uintptr_t>(Data) % Alignment != 0) {
      Copy.assign((Bytes.size() + Alignment - 1) / Alignment, 0);
      std::copy(Bytes.begin(), Bytes.end(),
                reinterpret_cast<char *>(Copy.data()));
      Data = reinterpret_cast<const std::uint8_t *>(Copy.data());
    }
    flatbuffers::Verifier Verifier(Data, Bytes.size());
    if (wire::VerifyFrameBuffer(Verifier)) {
      Checked = wire::GetFrame(Data);
    }
  }

  /// @return the frame; nullptr if verification failed
  const wire::Frame *frame() const { return Checked; }

  /// @return whether the frame refers to an aligned copy of the bytes
  bool isCopy() const { return !Copy.empty(); }

private:
  static constexpr std::size_t Alignment = 8;
  std::vector<std::uint64_t> Copy;
  const wire::Frame *Checked = nullptr;
};

/// @brief Copies the finished buffer of a builder.
inline std::string bytesOf(const flatbuffers::FlatBufferBuilder &Out) {
  return {reinterpret_cast<const char *>(Out.GetBufferPointer()),
          Out.GetSize()};
}

} // namespace hyssopford::codec
