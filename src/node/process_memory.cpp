#include "hyssopford/node/process_memory.hpp"

#include <cstdlib>
#if defined(__GLIBC__)
#include <malloc.h>
#endif

namespace hyssopford {

namespace {

/// Size in bytes from which a block is mapped on its own.
constexpr int MappedBlockSize = 1'048'576;

} // namespace

void returnLargeBlocks() {
#if defined(__GLIBC__)
  mallopt(M_MMAP_THRESHOLD, MappedBlockSize);
  mallopt(M_TRIM_THRESHOLD, MappedBlockSize);
#endif
}

} // namespace hyssopford
