#include "message_head.hpp"

#include "hyssopford/net/http_head.hpp"
#include "hyssopford/net/parse_number.hpp"

#include <algorithm>
#include <string>

namespace hyssopford {

namespace {

/// Offsets of the status code and of the reason in a status line.
constexpr std::size_t StatusOffset = 9;
constexpr std::size_t ReasonOffset = 13;
constexpr std::size_t VersionLength = 8;

std::string_view takeLine(std::string_view &Head) {
  const std::size_t End = std::min(Head.find("\r\n"), Head.size());
  const std::string_view Line = Head.substr(0, End);
  Head.remove_prefix(std::min(End + 2, Head.size()));
  return Line;
}

void copyFields(std::string_view Head, std::string_view OmittedField,
                Poco::Net::HTTPMessage &Target) {
  while (!Head.empty()) {
    const std::string_view Line = takeLine(Head);
    if (Line.empty() || isFieldLine(Line, OmittedField)) {
      continue;
    }
    std::string_view Name;
    std::string_view Value;
    if (splitFieldLine(Line, Name, Value)) {
      Target.add(std::string(Name), std::string(Value));
    }
  }
}

} // namespace

void copyRequestHead(std::string_view Head, std::string_view OmittedField,
                     Poco::Net::HTTPRequest &Target) {
  Target.clear();
  const std::string_view Line = takeLine(Head);
  const std::size_t First = std::min(Line.find(' '), Line.size());
  const std::size_t Last = std::min(Line.rfind(' '), Line.size());
  Target.setMethod(std::string(Line.substr(0, First)));
  Target.setURI(std::string(Line.substr(First + 1, Last - First - 1)));
  Target.setVersion(std::string(Line.substr(Last + 1)));
  copyFields(Head, OmittedField, Target);
}

void copyResponseHead(std::string_view Head, Poco::Net::HTTPResponse &Target) {
  Target.clear();
  const std::string_view Line = takeLine(Head);
  int Status = 0;
  parseNumber(Line.substr(StatusOffset, 3), Status);
  Target.setVersion(std::string(Line.substr(0, VersionLength)));
  Target.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Target.setReason(
      std::string(Line.substr(std::min(ReasonOffset, Line.size()))));
  copyFields(Head, {}, Target);
}

} // namespace hyssopford
