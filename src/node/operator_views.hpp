/// @file
/// @brief JSON bodies of the operators' port (docs/operators-api.md).
#pragma once

#include "hyssopford/core/config_event.hpp"
#include "hyssopford/node/operator_service.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hyssopford {

/// @name Bodies of the answers to GET
/// @{
nlohmann::json versionView(const OperatorContext &Context);
nlohmann::json configView(const OperatorContext &Context);
nlohmann::json statusView(const OperatorContext &Context);
nlohmann::json membersView(const OperatorContext &Context);
nlohmann::json loadView(const OperatorContext &Context);
nlohmann::json quarantineView(const OperatorContext &Context);
nlohmann::json nodeView(const OperatorContext &Context);

/// @param Method HTTP method of the request to explain
/// @param Host its host
/// @param Path its path
nlohmann::json explainView(const OperatorContext &Context,
                           const std::string &Method, const std::string &Host,
                           const std::string &Path);

/// @param Result the changes, oldest first
/// @param Version version in force
/// @param Limit most entries to return; the newest are kept
nlohmann::json historyView(const HistoryResult &Result, std::uint64_t Version,
                           std::size_t Limit);
/// @}

/// @return the body of an error response
nlohmann::json errorsView(const std::vector<Error> &Errors);

/// @return the HTTP status for a patch that was not accepted
int patchStatus(const PatchResult &Result);

} // namespace hyssopford
