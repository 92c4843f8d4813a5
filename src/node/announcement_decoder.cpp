#include "hyssopford/node/announcement_decoder.hpp"

#include "hyssopford/core/error_codes.hpp"

namespace hyssopford {

std::optional<Announcement> DefaultAnnouncementDecoder::decode(
    const std::string &Method, std::string_view /*Path*/,
    const std::string &Body, Error &Fault) const {
  if (Method == "POST") {
    return parseAnnouncement(Body, Fault);
  }
  if (Method == "DELETE") {
    Announcement Gone;
    Gone.Kind = AnnouncementKind::Removal;
    return Gone;
  }
  Fault = Error{numberOf(ErrorCode::MalformedAnnouncement), "upstream.announce",
                "", "expected POST or DELETE"};
  return std::nullopt;
}

} // namespace hyssopford
