#include "client.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <array>
#include <fmt/format.h>

namespace hyssopford::ctl {

namespace {

using nlohmann::json;

/// Longest answer that is read, in bytes; above the largest document.
constexpr std::size_t AnswerLimit = 134'217'728;

/// Reads the error form of docs/operators-api.md. The node's address is added
/// where an error names no peer of its own.
std::vector<Error> errorsOf(const json &Body, const std::string &Step,
                            const std::string &Node, int Status) {
  std::vector<Error> Result;
  if (Body.is_object() && Body.contains("errors") &&
      Body["errors"].is_array()) {
    for (const json &Each : Body["errors"]) {
      if (!Each.is_object()) {
        continue;
      }
      const std::string Peer = Each.value("peer", "");
      Result.push_back(Error{Each.value("code", 0), Each.value("step", Step),
                             Peer.empty() ? Node : Peer,
                             Each.value("reason", "")});
    }
  }
  if (Result.empty()) {
    Result.push_back(
        Error{numberOf(ErrorCode::MalformedAnswer), Step, Node,
              fmt::format("answered with status {} without an error in the "
                          "form of docs/operators-api.md",
                          Status)});
  }
  return Result;
}

} // namespace

Client::Client(std::vector<std::string> Nodes, Secret Bearer,
               std::chrono::milliseconds Limit)
    : Addresses(std::move(Nodes)), Token(std::move(Bearer)), Timeout(Limit) {}

CallResult Client::call(const std::string &Node, const std::string &Step,
                        const std::string &Method, const std::string &Path,
                        const std::string &Content) const {
  CallResult Result;
  std::string Body;
  try {
    Poco::Net::HTTPClientSession Session{Poco::Net::SocketAddress(Node)};
    Session.setTimeout(Poco::Timespan(
        std::chrono::duration_cast<std::chrono::microseconds>(Timeout)
            .count()));
    Poco::Net::HTTPRequest Request(Method, Path,
                                   Poco::Net::HTTPRequest::HTTP_1_1);
    Request.set("Authorization", "Bearer " + Token.reveal());
    Request.setHost(Node);
    if (Method == Poco::Net::HTTPRequest::HTTP_POST) {
      Request.setContentType("application/json");
      Request.setContentLength(static_cast<std::streamsize>(Content.size()));
    }
    Session.sendRequest(Request) << Content;
    Poco::Net::HTTPResponse Response;
    std::istream &Stream = Session.receiveResponse(Response);
    std::array<char, 16'384> Block{};
    while (Stream.read(Block.data(), Block.size()) || Stream.gcount() > 0) {
      Body.append(Block.data(), static_cast<std::size_t>(Stream.gcount()));
      if (Body.size() > AnswerLimit) {
        throw Poco::DataFormatException("the answer is too large");
      }
    }
    // A body cut short by a lost connection is no answer.
    if (Response.hasContentLength() &&
        Response.getContentLength64() != static_cast<long long>(Body.size())) {
      throw Poco::Net::NetException("the answer is incomplete");
    }
    Result.Status = static_cast<int>(Response.getStatus());
  } catch (const Poco::Exception &Failure) {
    Result.Errors.push_back(Error{numberOf(ErrorCode::NodeUnreachable), Step,
                                  Node, Failure.displayText()});
    return Result;
  }
  Result.Body = json::parse(Body, nullptr, false);
  if (Result.Status / 100 != 2) {
    Result.Errors = errorsOf(Result.Body, Step, Node, Result.Status);
  } else if (!Result.Body.is_object()) {
    Result.Errors.push_back(Error{numberOf(ErrorCode::MalformedAnswer), Step,
                                  Node, "expected a JSON object as answer"});
  }
  return Result;
}

CallResult Client::getFrom(const std::string &Node, const std::string &Step,
                           const std::string &Path) const {
  return call(Node, Step, Poco::Net::HTTPRequest::HTTP_GET, Path, "");
}

CallResult Client::get(const std::string &Step, const std::string &Path) const {
  std::vector<Error> Unreachable;
  for (const std::string &Node : Addresses) {
    CallResult Result = getFrom(Node, Step, Path);
    if (Result.Status != 0) {
      return Result;
    }
    Unreachable.insert(Unreachable.end(), Result.Errors.begin(),
                       Result.Errors.end());
  }
  CallResult Result;
  Result.Errors = std::move(Unreachable);
  return Result;
}

CallResult Client::postTo(const std::string &Node, const std::string &Step,
                          const std::string &Path, const json &Document) const {
  return call(Node, Step, Poco::Net::HTTPRequest::HTTP_POST, Path,
              Document.dump());
}

} // namespace hyssopford::ctl
