/// @file
/// @brief Two servers with the same constant answer, to compare ways of
/// serving connections.
#pragma once

#include <string>

namespace hyssopford {

/// @brief Serves on the event loop until the process is ended.
void serveOnEventLoop(const std::string &Address);

/// @brief Serves with POCO's HTTPServer, one thread for each connection, until
/// the process is ended.
/// @param Threads the most connections served at a time
void serveOnThreads(const std::string &Address, int Threads);

} // namespace hyssopford
