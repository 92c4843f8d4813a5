#include "local_service.hpp"

#include "hyssopford/net/http_forward.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopford {

namespace {

/// Largest body of an announcement, in bytes.
constexpr std::uint64_t AnnouncementLimit = 4'096;
constexpr const char *JsonField = "Content-Type: application/json\r\n";

} // namespace

HeadDecision
NodeRuntime::LocalService::onHead(const Poco::Net::HTTPRequest &Head,
                                  const HttpHeadFacts &Facts) {
  if (Decoder.accepts(pathOf(Head, Facts))) {
    return HeadDecision{std::nullopt, AnnouncementLimit};
  }
  return CallerService::onHead(Head, Facts);
}

void NodeRuntime::LocalService::onRequest(RequestId Id, HttpRequest Request) {
  const std::string_view Path = pathOf(Request.Head, Request.Facts);
  if (!Decoder.accepts(Path)) {
    CallerService::onRequest(Id, std::move(Request));
    return;
  }
  Error Fault;
  const auto New =
      Decoder.decode(Request.Head.getMethod(), Path, Request.Body, Fault);
  if (!New) {
    Log.log(LogLevel::Warning, "announcement_refused",
            {{"step", Fault.Step},
             {"peer", Request.Peer},
             {"reason", Fault.Reason}});
    LocalServer->reply(
        Id, makeHttpAnswer(
                400, JsonField,
                nlohmann::json{{"error", toString(Fault)}}.dump(
                    -1, ' ', false, nlohmann::json::error_handler_t::replace)));
    return;
  }
  const AnnouncementResult Result = Registry.apply(*New);
  if (Result == AnnouncementResult::Foreign) {
    Log.log(LogLevel::Warning, "announcement_foreign",
            {{"instance", New->Instance},
             {"service", New->Service},
             {"peer", Request.Peer}});
    LocalServer->reply(
        Id,
        makeHttpAnswer(409, JsonField,
                       "{\"error\":\"the upstream has another service\"}\n"));
    return;
  }
  if (Result != AnnouncementResult::Applied) {
    const bool Holds = Result == AnnouncementResult::Holds;
    Log.log(LogLevel::Info, "announcement_overtaken",
            {{"instance", New->Instance},
             {"start", New->Start},
             {"sequence", New->Sequence},
             {"acknowledged", Holds ? "yes" : "no"}});
  }
  if (Result == AnnouncementResult::Dropped) {
    LocalServer->reply(
        Id,
        makeHttpAnswer(409, JsonField,
                       "{\"error\":\"another announcement is in force\"}\n"));
    return;
  }
  LocalServer->reply(Id, makeHttpAnswer(200, JsonField, "{}\n"));
}

} // namespace hyssopford
