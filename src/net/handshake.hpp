/// @file
/// @brief Mutual authentication of a peer link by a shared key.
#pragma once

#include "hyssopford/core/ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hyssopford {

/// @brief Identity that one end of a link states.
struct LinkIdentity {
  /// Public address, "ip:port".
  std::string Address;
  NodeRun Run;

  friend bool operator==(const LinkIdentity &, const LinkIdentity &) = default;
};

/// @brief One end of the handshake: Hello, HelloReply, HelloConfirm. Both ends
/// prove that they have the site's key by a MAC over both nonces, so a replayed
/// frame is refused. Performs no input or output.
class Handshake {
public:
  /// @name Construction
  /// @{

  /// @param Site name of the site
  /// @param Key secret key of the site
  /// @param Self identity of this end
  Handshake(std::string Site, std::string Key, LinkIdentity Self);
  /// @}

  /// @name End that opened the connection
  /// @{

  /// @return the content of the Hello frame
  std::string hello();

  /// @brief Handles the HelloReply frame.
  /// @param Frame the content of the frame
  /// @param Reason receives an explanation if the frame is refused
  /// @return the content of the HelloConfirm frame; nothing if refused
  std::optional<std::string> handleReply(std::string_view Frame,
                                         std::string &Reason);
  /// @}

  /// @name End that accepted the connection
  /// @{

  /// @brief Handles the Hello frame.
  /// @param Frame the content of the frame
  /// @param Reason receives an explanation if the frame is refused
  /// @return the content of the HelloReply frame; nothing if refused
  std::optional<std::string> handleHello(std::string_view Frame,
                                         std::string &Reason);

  /// @brief Handles the HelloConfirm frame.
  /// @param Frame the content of the frame
  /// @param Reason receives an explanation if the frame is refused
  /// @return whether the other end is authenticated
  bool handleConfirm(std::string_view Frame, std::string &Reason);
  /// @}

  /// @name Results
  /// @{

  /// @return the identity of the other end; authenticated once the handshake is
  /// complete
  const LinkIdentity &peer() const { return Peer; }

  /// @return the key for frames of the end that opened the connection
  std::string openerKey() const { return transcriptHmac("opener frames"); }

  /// @return the key for frames of the end that accepted the connection
  std::string acceptorKey() const { return transcriptHmac("acceptor frames"); }
  /// @}

private:
  std::string transcriptHmac(std::string_view Label) const;
  bool checkIdentity(std::string &Reason) const;

  std::string Site;
  std::string Key;
  LinkIdentity Self;
  LinkIdentity Peer;
  std::string OwnNonce;
  /// Values exchanged so far, which the MACs cover.
  std::string Transcript;
};

} // namespace hyssopford
