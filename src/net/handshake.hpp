/// @file
/// @brief Keyed mutual handshake of a peer link.
#pragma once

#include "hyssopford/core/ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief What one end states about itself.
struct LinkIdentity {
  std::string Address;
  NodeRun Run;

  friend bool operator==(const LinkIdentity &, const LinkIdentity &) = default;
};

/// @brief One end of the handshake: Hello, HelloReply, HelloConfirm. Both ends
/// prove that they hold the site's key over both nonces, so no recorded frame
/// is accepted again. It does no input or output.
class Handshake {
public:
  /// @name Construction
  /// @{

  /// @param Site name of the site
  /// @param Key secret of the site
  /// @param Self this end
  Handshake(std::string Site, std::string Key, LinkIdentity Self);
  /// @}

  /// @name End that opened the connection
  /// @{

  /// @return the content of the first frame
  std::string hello();

  /// @brief Takes the HelloReply frame.
  /// @param Frame the content of the frame
  /// @param Reason receives an explanation if it is refused
  /// @return the content of the HelloConfirm frame
  std::optional<std::string> takeReply(std::string_view Frame,
                                       std::string &Reason);
  /// @}

  /// @name End that accepted the connection
  /// @{

  /// @brief Takes the Hello frame.
  /// @return the content of the HelloReply frame
  std::optional<std::string> takeHello(std::string_view Frame,
                                       std::string &Reason);

  /// @brief Takes the HelloConfirm frame.
  /// @return whether the other end is authentic
  bool takeConfirm(std::string_view Frame, std::string &Reason);
  /// @}

  /// @name Results
  /// @{

  /// @return the other end; proven once the handshake is complete
  const LinkIdentity &peer() const { return Peer; }

  /// @return the key for frames of the end that opened the connection
  std::string openerKey() const { return derive("opener frames"); }

  /// @return the key for frames of the end that accepted the connection
  std::string acceptorKey() const { return derive("acceptor frames"); }
  /// @}

private:
  std::string derive(std::string_view Label) const;
  bool checkIdentity(std::string &Reason) const;

  std::string Site;
  std::string Key;
  LinkIdentity Self;
  LinkIdentity Peer;
  std::string OwnNonce;
  /// What both ends have stated so far.
  std::string Transcript;
};

} // namespace hyssopford
