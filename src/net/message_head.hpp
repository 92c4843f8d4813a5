/// @file
/// @brief Copies checked heads into POCO's messages.
#pragma once

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <string_view>

namespace hyssopford {

/// @brief Copies the head of a request byte for byte. POCO's own parser decodes
/// the encoded words of RFC 2047, so that a value could gain line ends after
/// the check.
/// @param Head a head that passed checkRequestHead()
/// @param OmittedField name of a field that is left out; empty for none
/// @param Target receives method, target, version and fields
void copyRequestHead(std::string_view Head, std::string_view OmittedField,
                     Poco::Net::HTTPRequest &Target);

/// @brief Copies the head of a response byte for byte.
/// @param Head a head that passed checkResponseHead()
/// @param Target receives version, status, reason and fields
void copyResponseHead(std::string_view Head, Poco::Net::HTTPResponse &Target);

} // namespace hyssopford
