/// @file
/// @brief Settings of the process's allocator.
#pragma once

namespace hyssopford {

/// @brief Makes the allocator return large blocks to the system when they are
/// freed. By default its threshold rises with the size of freed blocks, so that
/// the process keeps the memory of large bodies. Must be called before threads
/// are started.
void returnLargeBlocks();

} // namespace hyssopford
