#include "hyssopford/core/error.hpp"

#include <fmt/format.h>

namespace hyssopford {

std::string toString(const Error &Value) {
  if (Value.Peer.empty()) {
    return fmt::format("[hyssopford.{}] {}: {}", Value.Code, Value.Step,
                       Value.Reason);
  }
  return fmt::format("[hyssopford.{}] {} ({}): {}", Value.Code, Value.Step,
                     Value.Peer, Value.Reason);
}

} // namespace hyssopford
