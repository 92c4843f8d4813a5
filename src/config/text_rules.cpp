#include "text_rules.hpp"

namespace hyssopford::detail {

namespace {

#define HYSSOPFORD_OCTET "(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
#define HYSSOPFORD_PORT                                                        \
  "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9][0-9]|6[0-4][0-9]{3}|[1-5][0-9]{4}|"   \
  "[1-9][0-9]{0,3})"

} // namespace

const TextRule &nameRule() {
  static const std::regex Pattern("[a-z0-9][a-z0-9_.-]*");
  static const TextRule Rule{&Pattern,
                             "a name of lower-case letters, digits, '_', '.' "
                             "and '-' that starts with a letter or digit",
                             64};
  return Rule;
}

const TextRule &hostRule() {
  static const std::regex Pattern(
      "([a-z0-9_]([a-z0-9_.-]*[a-z0-9_])?|\\[[0-9a-f:.]+\\])?");
  static const TextRule Rule{
      &Pattern, "a host in lower case without port, or an empty text", 253};
  return Rule;
}

const TextRule &methodRule() {
  // RFC 9110, section 5.6.2 (token).
  static const std::regex Pattern("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
  static const TextRule Rule{&Pattern, "a method (a token of RFC 9110)", 32};
  return Rule;
}

const TextRule &pathPrefixRule() {
  static const std::regex Pattern("/[!\"$->@-~]*");
  static const TextRule Rule{
      &Pattern, "a path that starts with '/', without query or fragment", 1024};
  return Rule;
}

const TextRule &addressRule() {
  static const std::regex Pattern("((" HYSSOPFORD_OCTET
                                  "\\.){3}" HYSSOPFORD_OCTET
                                  "|\\[[0-9a-f:.]+\\]):" HYSSOPFORD_PORT);
  static const TextRule Rule{
      &Pattern, "an IP address and port such as \"192.0.2.7:7101\"", 64};
  return Rule;
}

const TextRule &listenAddressRule() {
  static const std::regex Pattern(
      "((" HYSSOPFORD_OCTET "\\.){3}" HYSSOPFORD_OCTET
      "|\\[[0-9a-f:.]+\\]):(0|" HYSSOPFORD_PORT ")");
  static const TextRule Rule{
      &Pattern,
      "an IP address and port such as \"192.0.2.7:7101\", or port 0 for a free "
      "one",
      64};
  return Rule;
}

const TextRule &fingerprintRule() {
  static const std::regex Pattern("[0-9a-f]{16}");
  static const TextRule Rule{&Pattern, "16 lower-case hexadecimal digits", 16};
  return Rule;
}

const TextRule &keyDigestRule() {
  static const std::regex Pattern("[0-9a-f]{64}");
  static const TextRule Rule{
      &Pattern, "a SHA-256 digest of 64 lower-case hexadecimal digits", 64};
  return Rule;
}

const TextRule &filePathRule() {
  static const std::regex Pattern("/[!-~ ]*[!-~]");
  static const TextRule Rule{
      &Pattern, "an absolute path of a file, in printable ASCII", 1024};
  return Rule;
}

} // namespace hyssopford::detail
