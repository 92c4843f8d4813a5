/// @file
/// @brief HTTP handlers of the upstream stand-in.
#pragma once

#include "behaviour.hpp"

#include <Poco/Net/HTTPRequestHandlerFactory.h>

namespace hyssopford {

/// @brief Creates the handler of a request: /health, /.control, or the service
/// for any other path.
class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(Behaviour &Settings) : Current(Settings) {}

  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &Request) override;

private:
  Behaviour &Current;
};

} // namespace hyssopford
