#include "fake_node.hpp"

#include "hyssopford/config/routing_config_json.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <array>
#include <fmt/format.h>
#include <mutex>

namespace hyssopford::test {

namespace {

using nlohmann::json;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

struct Answer {
  int Status = 200;
  json Body;
};

Answer failure(int Status, int Code, const std::string &Reason) {
  return {Status,
          {{"errors",
            {{{"code", Code},
              {"step", "fake"},
              {"peer", ""},
              {"reason", Reason}}}}}};
}

void record(FakeState &State, const json &Submission) {
  ++State.Version;
  json Entry = Submission;
  Entry["version"] = State.Version;
  Entry["time"] = "2026-03-01T09:30:00Z";
  State.History.insert(State.History.begin(), std::move(Entry));
}

Answer accept(FakeState &State, const json &Body) {
  const std::string Id = Body.at("patch_id");
  for (const json &Entry : State.History) {
    if (Entry["patch_id"] == Id) {
      return {200,
              {{"status", "accepted"},
               {"version", Entry["version"]},
               {"patch_id", Id},
               {"already_applied", true}}};
    }
  }
  if (State.Races > 0) {
    --State.Races;
    record(State, {{"patch_id", fmt::format("other-{}", State.Version)},
                   {"base_version", State.Version},
                   {"author", "other"},
                   {"patch", json::array()}});
  }
  if (Body.at("base_version") != State.Version) {
    Answer Result = failure(409, 405, "the base is not the newest version");
    Result.Body["version"] = State.Version;
    return Result;
  }
  Error Fault;
  const auto Patched =
      applyJsonPatch(State.Document.dump(), Body.at("patch").dump(), Fault);
  std::vector<Error> Faults;
  if (!Patched) {
    Faults = {Fault};
  } else {
    parseRoutingConfig(*Patched, 1, Faults);
  }
  if (!Faults.empty()) {
    return failure(422, Faults[0].Code, Faults[0].Reason);
  }
  if (Body.value("dry_run", false)) {
    return {200,
            {{"status", "valid"},
             {"version", State.Version + 1},
             {"patch_id", Id},
             {"document", json::parse(*Patched)}}};
  }
  State.Document = json::parse(*Patched);
  record(State, Body);
  return {200,
          {{"status", "accepted"},
           {"version", State.Version},
           {"patch_id", Id},
           {"already_applied", false}}};
}

Answer read(FakeState &State, const std::string &Uri) {
  State.LastPath = Uri;
  const std::string Path = Uri.substr(0, Uri.find('?'));
  if (Path == "/v1/version") {
    return {200, {{"address", "a"}, {"version", State.Version}}};
  }
  if (Path == "/v1/config") {
    return {200, {{"version", State.Version}, {"document", State.Document}}};
  }
  if (Path == "/v1/history") {
    return {200, {{"version", State.Version}, {"entries", State.History}}};
  }
  if (Path == "/v1/status") {
    return {200,
            {{"address", "192.0.2.1:7101"},
             {"version", State.Version},
             {"nodes", State.Nodes},
             {"upstreams", State.Upstreams},
             {"drains", State.Document.value("drains", json::array())},
             {"quarantine", State.Quarantine}}};
  }
  if (Path == "/v1/quarantine") {
    return {200, {{"entries", State.Quarantine}}};
  }
  if (Path == "/v1/explain") {
    return {200, State.Explanation};
  }
  return failure(404, 403, "no such endpoint");
}

class Handler final : public Poco::Net::HTTPRequestHandler {
public:
  Handler(FakeState &Target, std::mutex &Lock) : State(Target), Mutex(Lock) {}

  void handleRequest(HTTPServerRequest &Request,
                     HTTPServerResponse &Response) override {
    std::string Content;
    Poco::StreamCopier::copyToString(Request.stream(), Content);
    const std::scoped_lock Lock(Mutex);
    Answer Result;
    bool Lost = false;
    if (Request.get("Authorization", "") !=
        std::string("Bearer ") + FakeNode::Token) {
      Result = failure(401, 401, "unknown token");
    } else if (Request.getMethod() == "GET") {
      Result = read(State, Request.getURI());
    } else {
      Result = submit(json::parse(Content), Lost);
    }
    if (Lost) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
          .detachSocket()
          .close();
      return;
    }
    const std::string Body = Result.Body.dump();
    Response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Result.Status));
    Response.setContentType("application/json");
    Response.sendBuffer(Body.data(), Body.size());
  }

private:
  Answer submit(const json &Body, bool &Lost) {
    State.Submissions.push_back(Body);
    if (State.SubmitStatus != 0) {
      return failure(State.SubmitStatus, State.SubmitStatus == 503 ? 407 : 408,
                     "set by the test");
    }
    Answer Result = accept(State, Body);
    if (State.AnswersLost > 0) {
      --State.AnswersLost;
      Lost = true;
    }
    return Result;
  }

  FakeState &State;
  std::mutex &Mutex;
};

class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  Factory(FakeState &Target, std::mutex &Lock) : State(Target), Mutex(Lock) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const HTTPServerRequest &) override {
    return new Handler(State, Mutex);
  }

private:
  FakeState &State;
  std::mutex &Mutex;
};

} // namespace

struct FakeNode::Server {
  Server()
      : Socket(Poco::Net::SocketAddress("127.0.0.1:0")),
        Http(new Factory(State, Mutex), Socket,
             new Poco::Net::HTTPServerParams) {}

  FakeState State;
  std::mutex Mutex;
  Poco::Net::ServerSocket Socket;
  Poco::Net::HTTPServer Http;
};

FakeNode::FakeNode() : Data(std::make_unique<Server>()) { Data->Http.start(); }

FakeNode::~FakeNode() { Data->Http.stopAll(true); }

std::string FakeNode::address() const {
  return Data->Socket.address().toString();
}

FakeState &FakeNode::state() {
  const std::scoped_lock Lock(Data->Mutex);
  return Data->State;
}

FakeNode &FakeNode::shared(std::size_t Index) {
  static std::array<FakeNode, 2> Nodes;
  Nodes.at(Index).state() = FakeState();
  return Nodes.at(Index);
}

} // namespace hyssopford::test
