#include "metrics_service.hpp"

#include "hyssopford/net/http_forward.hpp"

namespace hyssopford {

void MetricsService::onRequest(RequestId Id, HttpRequest Request) {
  const std::string &Method = Request.Head.getMethod();
  if (pathOf(Request.Head, Request.Facts) != "/metrics") {
    Server->reply(Id, makeHttpAnswer(404, "", "no such path\n"));
  } else if (Method != "GET" && Method != "HEAD") {
    Server->reply(Id, makeHttpAnswer(405, "Allow: GET, HEAD\r\n", ""));
  } else {
    Server->reply(
        Id, makeHttpAnswer(200, "Content-Type: text/plain; version=0.0.4\r\n",
                           Page()));
  }
}

} // namespace hyssopford
