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

std::optional<std::string> ChunkAssembler::add(std::uint64_t Stream, bool Last,
                                               std::string_view Bytes,
                                               bool &Refused) {
  std::string &Content = Partial[Stream];
  Content.append(Bytes);
  PartialBytes += Bytes.size();
  Refused = Content.size() > ContentLimit || PartialBytes > PartialLimit ||
            (Bytes.empty() && !Last);
  if (Refused || !Last) {
    return std::nullopt;
  }
  std::string Complete = std::move(Content);
  PartialBytes -= Complete.size();
  Partial.erase(Stream);
  return Complete;
}

std::string frameLength(std::size_t Size) {
  std::string Length(FrameLengthSize, '\0');
  for (std::size_t Index = 0; Index < FrameLengthSize; ++Index) {
    Length[Index] = static_cast<char>((Size >> (8 * Index)) & 0xffU);
  }
  return Length;
}

} // namespace hyssopford
