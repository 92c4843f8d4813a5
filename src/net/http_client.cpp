#include "hyssopford/net/http_client.hpp"

#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/net/tcp_stream.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace hyssopford {

/// One connection and the call that runs on it.
class HttpClient::Exchange final : public TcpStreamHandler {
public:
  explicit Exchange(HttpClient &Parent)
      : Client(Parent), Stream(Parent.Loop, *this),
        Reader(HttpReader::Kind::Response,
               HttpLimits{8'192, 65'536, 100, Parent.Settings.BodyLimit}) {}

  ~Exchange() override { Client.Loop.cancel(Timer); }
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  bool connect() { return Stream.connect(Client.Settings.Address); }

  bool isReusable() { return Stream.looksIdle(); }

  TimePoint idleSince() const { return IdleSince; }

  void start(std::string Request, Duration Timeout, Callback Receiver) {
    RequestBytes = std::move(Request);
    Done = std::move(Receiver);
    Sent = false;
    Timer = Client.Loop.after(Timeout, [this] {
      Timer = 0;
      Stream.close();
      // Connections may have gone silent together; a new one shows whether the
      // server answers.
      Client.closeIdle();
      fail("timed out waiting for the response");
    });
    if (Connected) {
      send();
    }
  }

private:
  void onConnected() override {
    Connected = true;
    send();
  }

  void onData(std::string_view Bytes) override {
    if (!Done) {
      // Bytes on an idle connection belong to no call.
      Stream.close();
      fail("unexpected bytes");
      return;
    }
    Reader.feed(Bytes);
    while (true) {
      switch (Reader.advance()) {
      case HttpReader::Progress::NeedMore:
        return;
      case HttpReader::Progress::HeadReady:
        continue;
      case HttpReader::Progress::Complete:
        succeed();
        return;
      case HttpReader::Progress::Failed:
        Stream.close();
        fail("malformed response: " + Reader.fault().Reason);
        return;
      }
    }
  }

  void onClosed(bool Orderly, std::string_view Reason) override {
    if (Done && Orderly && Reader.finish() == HttpReader::Progress::Complete) {
      succeed();
      return;
    }
    fail(std::string(Reason));
  }

  void send() {
    if (Done) {
      Sent = true;
      Stream.write(std::exchange(RequestBytes, {}));
    }
  }

  void succeed() {
    HttpCallResult Result{Reader.facts().Status, Reader.takeBody(), true, ""};
    if (const std::string &Name = Client.Settings.KeptField; !Name.empty()) {
      Result.Field = Reader.response().get(Name, "");
    }
    const bool Reusable = Stream.isOpen() && !Stream.isBroken() &&
                          Reader.facts().KeepAlive && Stream.pending() == 0 &&
                          Reader.buffered() == 0;
    if (Reusable) {
      Reader.next();
      IdleSince = EventLoop::now();
    } else {
      Stream.close();
    }
    complete(std::move(Result), Reusable);
  }

  void fail(std::string Reason) {
    complete(HttpCallResult{0, "", Sent, std::move(Reason)}, false);
  }

  void complete(HttpCallResult Result, bool Reusable) {
    Client.Loop.cancel(Timer);
    Timer = 0;
    const Callback Receiver = std::exchange(Done, nullptr);
    Client.finish(*this, Reusable);
    if (Receiver) {
      Receiver(std::move(Result));
    }
  }

  HttpClient &Client;
  TcpStream Stream;
  HttpReader Reader;
  std::string RequestBytes;
  Callback Done;
  bool Connected = false;
  bool Sent = false;
  TimePoint IdleSince;
  EventLoop::TimerId Timer = 0;
};

HttpClient::HttpClient(EventLoop &EventSource, HttpClientSettings Chosen)
    : Loop(EventSource), Settings(std::move(Chosen)) {}

HttpClient::~HttpClient() = default;

void HttpClient::call(const std::string &Method, const std::string &Target,
                      const std::string &Body, Duration Timeout,
                      Callback Done) {
  std::string Request = fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n", Method,
                                    Target, Settings.Address);
  if (Method != "GET") {
    Request += fmt::format("Content-Type: application/json\r\n"
                           "Content-Length: {}\r\n",
                           Body.size());
  }
  Request += "\r\n" + Body;
  std::shared_ptr<Exchange> Connection;
  const TimePoint Oldest = EventLoop::now() - Settings.IdleTimeout;
  while (!Idle.empty() && !Connection) {
    Connection = std::move(Idle.back());
    Idle.pop_back();
    if (Connection->idleSince() < Oldest || !Connection->isReusable()) {
      Connection.reset();
    }
  }
  if (!Connection) {
    Connection = std::make_shared<Exchange>(*this);
    if (!Connection->connect()) {
      Loop.defer([Receiver = std::move(Done)] {
        Receiver(HttpCallResult{0, "", false, "cannot open a connection"});
      });
      return;
    }
    ++Opened;
  }
  Active.emplace(Connection.get(), Connection);
  Connection->start(std::move(Request), Timeout, std::move(Done));
}

void HttpClient::closeIdle() {
  // Destroyed later, as a handler may be running.
  Loop.defer([Dropped = std::exchange(Idle, {})] {});
}

void HttpClient::finish(Exchange &Ended, bool Reusable) {
  const auto InPool =
      std::find_if(Idle.begin(), Idle.end(),
                   [&](const auto &Each) { return Each.get() == &Ended; });
  if (InPool != Idle.end()) {
    Loop.defer([Kept = std::move(*InPool)] {});
    Idle.erase(InPool);
    return;
  }
  const auto Found = Active.find(&Ended);
  if (Found == Active.end()) {
    return;
  }
  std::shared_ptr<Exchange> Kept = std::move(Found->second);
  Active.erase(Found);
  if (Reusable && Idle.size() < Settings.PoolSize) {
    Idle.push_back(std::move(Kept));
  } else {
    // Destroyed later, as its handler may be running.
    Loop.defer([Dropped = std::move(Kept)] {});
  }
}

} // namespace hyssopford
