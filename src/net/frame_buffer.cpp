#include "frame_buffer.hpp"

namespace hyssopford {

void FrameBuffer::feed(std::string_view Bytes) {
  Buffer.erase(0, Position);
  Position = 0;
  Buffer.append(Bytes);
}

FrameBuffer::Status FrameBuffer::next(std::size_t Limit,
                                      std::string_view &Frame) {
  if (Buffer.size() - Position < FrameLengthSize) {
    return Status::NeedMore;
  }
  std::size_t Size = 0;
  for (std::size_t Index = 0; Index < FrameLengthSize; ++Index) {
    Size |= std::size_t{static_cast<unsigned char>(Buffer[Position + Index])}
            << (8 * Index);
  }
  if (Size > Limit) {
    return Status::TooLong;
  }
  if (Buffer.size() - Position - FrameLengthSize < Size) {
    return Status::NeedMore;
  }
  Frame = std::string_view(Buffer).substr(Position + FrameLengthSize, Size);
  Position += FrameLengthSize + Size;
  return Status::Ready;
}

void ChunkAssembler::begin(std::uint64_t Stream, std::size_t Total,
                           MemoryCharge Charge) {
  Content &Added = Partial[Stream];
  Added.Bytes.reserve(Total);
  Added.Charge = std::move(Charge);
}

void ChunkAssembler::skip(std::uint64_t Stream) {
  Partial[Stream].Skipped = true;
}

std::optional<std::string> ChunkAssembler::add(std::uint64_t Stream, bool Last,
                                               std::string_view Bytes,
                                               bool &Refused) {
  Content &Current = Partial[Stream];
  Refused = Bytes.empty() && !Last;
  if (!Current.Skipped) {
    Current.Bytes.append(Bytes);
    if (Current.Charge.isBounded()) {
      // The stated size is exceeded only by a faulty peer.
      Refused = Refused || Current.Bytes.size() > Current.Charge.size();
    } else {
      PartialBytes += Bytes.size();
    }
    Refused = Refused || Current.Bytes.size() > ContentLimit ||
              PartialBytes > PartialLimit;
  }
  if (Refused || !Last) {
    return std::nullopt;
  }
  const bool Skipped = Current.Skipped;
  std::string Complete = std::move(Current.Bytes);
  if (!Current.Charge.isBounded()) {
    PartialBytes -= Complete.size();
  }
  CompleteCharge = std::move(Current.Charge);
  Partial.erase(Stream);
  return Skipped ? std::nullopt : std::optional(std::move(Complete));
}

std::string frameLength(std::size_t Size) {
  std::string Length(FrameLengthSize, '\0');
  for (std::size_t Index = 0; Index < FrameLengthSize; ++Index) {
    Length[Index] = static_cast<char>((Size >> (8 * Index)) & 0xffU);
  }
  return Length;
}

} // namespace hyssopford
