/// @file
/// @brief JSON bodies of the operators' port (docs/operators-api.md).
#pragma once

#include "hyssopford/core/config_event.hpp"
#include "hyssopford/node/operator_service.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hyssopford {

/// @name Answers to GET
/// @{
nlohmann::json versionView(const OperatorView &View);
nlohmann::json configView(const OperatorView &View);
nlohmann::json statusView(const OperatorView &View);
nlohmann::json membersView(const OperatorView &View);
nlohmann::json loadView(const OperatorView &View);
nlohmann::json quarantineView(const OperatorView &View);
nlohmann::json nodeView(const OperatorView &View);

/// @param Query decoded "method", "host" and "path"
nlohmann::json explainView(const OperatorView &View, const std::string &Method,
                           const std::string &Host, const std::string &Path);

/// @param Limit most entries to show
nlohmann::json historyView(const HistoryResult &Result, std::uint64_t Version,
                           std::size_t Limit);
/// @}

/// @return the body of a refusal
nlohmann::json errorsView(const std::vector<Error> &Errors);

/// @brief Gives the HTTP status of a patch that was not accepted.
int patchStatus(const PatchResult &Result);

} // namespace hyssopford
