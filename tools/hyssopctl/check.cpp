#include "commands.hpp"

#include "hyssopford/config/node_settings.hpp"
#include "hyssopford/config/routing_config_json.hpp"

#include <fstream>
#include <iterator>
#include <ostream>

namespace hyssopford::ctl {

ExitCode checkSettingsFile(const std::string &File, std::ostream &Out) {
  std::string Report;
  const int Code = checkNodeSettings(File, Report);
  Out << Report;
  return Code == 0 ? ExitCode::Done : ExitCode::Usage;
}

ExitCode checkRoutingFile(const std::string &File, std::ostream &Out) {
  std::ifstream Stream(File);
  const std::string Content{std::istreambuf_iterator<char>(Stream), {}};
  std::vector<Error> Errors;
  if (!Stream) {
    Errors.push_back(Error{numberOf(ErrorCode::FileUnreadable), "config.read",
                           File, "cannot be read; expected a JSON file"});
  } else {
    parseRoutingConfig(Content, 0, Errors);
  }
  for (const Error &Each : Errors) {
    Out << File << ": " << toString(Each) << '\n';
  }
  if (!Errors.empty()) {
    return ExitCode::Usage;
  }
  Out << File << ": valid\n";
  return ExitCode::Done;
}

} // namespace hyssopford::ctl
