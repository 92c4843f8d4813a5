/// @file
/// @brief Stand-in for a trace collector (OTLP over HTTP with JSON).
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hyssopford::standin {

/// @brief Stores and counts the spans that exporters send. Serves
/// `POST /v1/traces`, `GET /count` ({"spans", "requests", "stored"}) and
/// `GET /spans` (the stored spans as a JSON array).
class CollectorService {
public:
  /// Spans stored; later ones are only counted.
  static constexpr std::size_t MaxStored = 100'000;

  /// @param Listen IP number and port; port 0 takes a free one
  explicit CollectorService(const std::string &Listen);
  CollectorService(const CollectorService &) = delete;
  CollectorService &operator=(const CollectorService &) = delete;
  ~CollectorService();

  /// @return the port on which the service listens
  std::uint16_t port() const;

  /// @return the number of spans taken
  std::uint64_t spans() const;

  /// @return the stored spans, each as JSON
  std::vector<std::string> stored() const;

  /// @brief Makes each export request wait and then end with a status.
  /// @param Status the status; 200 takes the spans
  /// @param Delay wait before the answer
  void behave(int Status, std::chrono::milliseconds Delay);

private:
  struct State;
  std::unique_ptr<State> Data;
};

} // namespace hyssopford::standin
