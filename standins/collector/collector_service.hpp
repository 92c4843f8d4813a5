/// @file
/// @brief Stand-in for a trace collector (OTLP over HTTP with JSON).
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hyssopford::standin {

/// @brief Stores and counts exported spans. Serves
/// `POST /v1/traces`, `GET /count` ({"spans", "requests", "stored"}) and
/// `GET /spans` (the stored spans as a JSON array).
class CollectorService {
public:
  /// Largest number of spans that are stored; further ones are only counted.
  static constexpr std::size_t MaxStoredSpans = 100'000;

  /// @brief Starts serving.
  /// @param Listen IP address and port; port 0 selects a free port
  /// @note Throws Poco::Exception if the address cannot be bound.
  explicit CollectorService(const std::string &Listen);
  CollectorService(const CollectorService &) = delete;
  CollectorService &operator=(const CollectorService &) = delete;
  ~CollectorService();

  /// @return the port on which the service listens
  std::uint16_t port() const;

  /// @return the number of spans counted, stored or not
  std::uint64_t spans() const;

  /// @return the stored spans, each as a JSON text
  std::vector<std::string> storedSpans() const;

  /// @brief Sets how later export requests are answered.
  /// @param Status the HTTP status; spans are stored only with 200
  /// @param Delay time before the answer
  void behave(int Status, std::chrono::milliseconds Delay);

private:
  struct State;
  std::unique_ptr<State> Data;
};

} // namespace hyssopford::standin
