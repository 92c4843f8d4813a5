#include "session.hpp"

#include <fmt/format.h>
#include <ostream>

namespace hyssopford::ctl {

namespace {

bool hasCode(const CallResult &Result, ErrorCode Code) {
  for (const Error &Each : Result.Errors) {
    if (Each.Code == numberOf(Code)) {
      return true;
    }
  }
  return false;
}

} // namespace

ExitCode exitCodeOf(const CallResult &Result) {
  switch (Result.Status) {
  case 0:
    return ExitCode::Unreachable;
  case 400:
  case 413:
  case 422:
    return ExitCode::Invalid;
  case 401:
  case 403:
    return ExitCode::NotAuthorized;
  case 409:
    return hasCode(Result, ErrorCode::BaseOutdated) ? ExitCode::Conflict
                                                    : ExitCode::Rejected;
  case 503:
    return ExitCode::StoreUnavailable;
  case 504:
    return ExitCode::OutcomeUnknown;
  default:
    return Result.Status / 100 == 2 ? ExitCode::Unreachable
                                    : ExitCode::Rejected;
  }
}

void Session::report(const std::vector<Error> &Errors) const {
  if (!Json) {
    for (const Error &Each : Errors) {
      Surroundings.Err << "hyssopctl: " << toString(Each) << '\n';
    }
    return;
  }
  nlohmann::json List = nlohmann::json::array();
  for (const Error &Each : Errors) {
    List.push_back({{"code", Each.Code},
                    {"step", Each.Step},
                    {"peer", Each.Peer},
                    {"reason", Each.Reason}});
  }
  Surroundings.Err << nlohmann::json{{"errors", List}}.dump(2) << '\n';
}

ExitCode Session::fail(const CallResult &Result) const {
  report(Result.Errors);
  return exitCodeOf(Result);
}

ExitCode Session::usage(ErrorCode Code, std::string Step, std::string Peer,
                        std::string Reason) const {
  report({Error{numberOf(Code), std::move(Step), std::move(Peer),
                std::move(Reason)}});
  return ExitCode::Usage;
}

void Session::print(const nlohmann::json &Document) const {
  Surroundings.Out << Document.dump(2) << '\n';
}

} // namespace hyssopford::ctl
