/// @file
/// @brief One connection of an UpstreamClient.
#pragma once

#include "hyssopford/net/http_reader.hpp"
#include "hyssopford/net/tcp_stream.hpp"
#include "hyssopford/net/upstream_client.hpp"

#include <string>
#include <string_view>

namespace hyssopford {

/// @brief A connection to the upstream, which runs one attempt or probe at a
/// time.
class UpstreamClient::Exchange final : public TcpStreamHandler {
public:
  explicit Exchange(UpstreamClient &Parent);
  ~Exchange() override;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// @brief Opens the connection.
  /// @return whether connecting could be started
  bool connect(const std::string &Target) { return Stream.connect(Target); }

  /// @brief Sends an attempt once the connection is open.
  void start(const ForwardToUpstream &NewAttempt);

  /// @brief Sends a probe once the connection is open.
  void startProbe(const std::string &Path, const ProbeUpstream &NewProbe);

  /// @brief Sends nothing; reports to UpstreamClient::finishLossCheck whether
  /// the connection opens within a time.
  void startLossCheck(Duration Limit);

  /// @brief Closes the connection without reporting a result.
  void abandon();

  /// @return whether only idempotent requests may use the connection, since an
  /// answer to an earlier request could be taken for the next one's
  bool isForIdempotentOnly() const { return IdempotentOnly; }

  /// @return whether this idle connection is still open and without input
  bool isReusable() { return Stream.looksIdle(); }

  /// @return whether the answer waits for memory
  bool awaitsMemory() const { return Busy && Reader.awaitsMemory(); }

  /// @brief Goes on with an answer that waits for memory.
  void resume();

  TimePoint idleSince() const { return IdleSince; }
  const AttemptId &attempt() const { return Attempt.Attempt; }
  bool isProbe() const { return Use == Purpose::Probe; }
  /// @return whether the upstream may have received the attempt
  bool isSent() const { return Busy && Use == Purpose::Attempt && Sent; }

private:
  /// What the connection is currently used for.
  enum class Purpose : std::uint8_t { Attempt, Probe, LossCheck };

  void onConnected() override;
  void onData(std::string_view Bytes) override;
  void onClosed(bool Orderly, std::string_view Reason) override;

  void begin(Duration Timeout);
  void send();
  void advance();
  AnswerKind classify();
  void succeed();
  void fail(OutcomeReason Reason);
  /// Ends an attempt whose connection the upstream closed.
  void lose();
  void finishLossCheck(bool IsRefused);
  /// Sends a probe again on a new connection if time is left.
  bool repeatProbe();

  UpstreamClient &Client;
  EventLoop &Loop;
  TcpStream Stream;
  HttpReader Reader;
  ForwardToUpstream Attempt;
  /// Identifier that the answer must repeat; empty for none.
  std::string CorrelationId;
  AnswerKind Kind = AnswerKind::Answer;
  TimePoint Started;
  TimePoint IdleSince;
  EventLoop::TimerId Timer = 0;
  bool Busy = false;
  Purpose Use = Purpose::Attempt;
  ProbePurpose ProbedFor = ProbePurpose::Health;
  bool Connected = false;
  bool Sent = false;
  bool IdempotentOnly = false;
  /// Answers to other requests that were skipped for this attempt.
  std::uint32_t MismatchedAnswers = 0;
  /// True if the connection was used before.
  bool IsReused = false;
};

} // namespace hyssopford
