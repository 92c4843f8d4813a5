#include "local_service.hpp"

#include "hyssopford/net/http_forward.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace hyssopford {

namespace {

constexpr std::uint64_t AnnouncementLimit = 4'096;
constexpr const char *JsonField = "Content-Type: application/json\r\n";

} // namespace

HeadDecision
NodeRuntime::LocalService::onHead(const Poco::Net::HTTPRequest &Head,
                                  const HttpHeadFacts &Facts) {
  if (pathOf(Head, Facts) == AnnouncePath) {
    return HeadDecision{std::nullopt, AnnouncementLimit};
  }
  return CallerService::onHead(Head, Facts);
}

void NodeRuntime::LocalService::onRequest(RequestId Id, HttpRequest Request) {
  if (pathOf(Request.Head, Request.Facts) != AnnouncePath) {
    CallerService::onRequest(Id, std::move(Request));
    return;
  }
  const std::string &Method = Request.Head.getMethod();
  if (Method == "DELETE") {
    Registry.withdraw(false);
    Own->reply(Id, makeHttpAnswer(200, JsonField, "{}\n"));
    return;
  }
  if (Method != "POST") {
    Own->reply(Id, makeHttpAnswer(405, "Allow: POST, DELETE\r\n", ""));
    return;
  }
  Error Fault;
  const auto New = parseAnnouncement(Request.Body, Fault);
  if (!New) {
    Own->reply(
        Id, makeHttpAnswer(400, JsonField,
                           nlohmann::json{{"error", toString(Fault)}}.dump()));
    return;
  }
  Registry.announce(*New);
  Own->reply(Id, makeHttpAnswer(200, JsonField, "{}\n"));
}

} // namespace hyssopford
