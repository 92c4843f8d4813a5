/// @file
/// @brief Authenticated links between nodes.
#pragma once

#include "hyssopford/core/error.hpp"
#include "hyssopford/core/ids.hpp"
#include "hyssopford/core/memory_budget.hpp"
#include "hyssopford/core/message.hpp"
#include "hyssopford/net/event_loop.hpp"

#include <Poco/Net/ServerSocket.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace hyssopford {

/// Largest request or answer that a link carries, in bytes.
constexpr std::size_t PeerPayloadLimit = 68'157'440;

/// @brief Settings of the links of one node.
struct PeerLinkSettings {
  /// Address to listen on, "ip:port"; port 0 lets the system choose.
  std::string ListenAddress = "127.0.0.1:0";
  /// Address under which peers reach this node, "ip:port"; empty for the
  /// address listened on.
  std::string PublicAddress;
  /// Name of the site; nodes of another site are refused.
  std::string Site;
  /// Secret key that all nodes of the site share.
  std::string Key;
  /// Incarnation of this process.
  Incarnation Run;
  /// Time without sending after which a heartbeat is sent.
  Duration HeartbeatPeriod = 800ms;
  /// Time without receiving after which a link is closed. Together with the
  /// time for gossip it stays below the 3 s within which a dead VM must get no
  /// more requests.
  Duration SilenceLimit = 2400ms;
  /// Time limit for connecting and the handshake.
  Duration HandshakeTimeout = 2s;
  /// Budget that large contents are charged to; must outlive the links. Null
  /// for none.
  MemoryBudget *Memory = nullptr;
};

/// @brief Receives events of the links.
class PeerLinkHandler {
public:
  virtual ~PeerLinkHandler() = default;

  /// @brief A link became usable.
  virtual void onLinkUp(NodeRun Peer) = 0;

  /// @brief A link was lost or could not be opened.
  /// @param Peer the node at the other end
  /// @param Fault the reason, with step and address of the peer
  virtual void onLinkDown(NodeId Peer, const Error &Fault) = 0;

  /// @brief A message arrived.
  virtual void onMessage(NodeRun From, PeerMessage Message) = 0;

  /// @brief A request was discarded while it arrived, for lack of memory. It
  /// did not run.
  /// @param From the sender
  /// @param Attempt the attempt that carried the request
  virtual void onAttemptRefused(NodeRun /*From*/,
                                const AttemptId & /*Attempt*/) {}

  /// @brief An incoming connection failed before its peer was authenticated.
  /// @param Fault the reason, with step and address of the peer
  virtual void onLinkRefused(const Error &Fault) = 0;
};

/// @brief Counters of all links since the start.
struct PeerLinkCounters {
  std::uint64_t FramesSent = 0;
  std::uint64_t FramesReceived = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  /// Messages dropped because there was no usable link.
  std::uint64_t MessagesDropped = 0;
  /// Connections closed for a bad frame, authentication code or handshake.
  std::uint64_t Refused = 0;

  friend bool operator==(const PeerLinkCounters &,
                         const PeerLinkCounters &) = default;
};

/// @brief Manages the links to peers, at most one for each.
class PeerLinks final : public SocketHandler {
public:
  /// @name Construction
  /// @{

  /// @brief Starts to listen for peers.
  /// @param Loop the loop that serves the links
  /// @param Handler receives the events; must outlive this object
  /// @param Settings addresses, key and timeouts
  /// @throws Poco::Exception if the address cannot be bound
  PeerLinks(EventLoop &Loop, PeerLinkHandler &Handler,
            PeerLinkSettings Settings);
  ~PeerLinks() override;
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  /// @}

  /// @name Links
  /// @{

  /// @brief Opens a link unless one exists or is being opened.
  /// @param Peer the node expected at the address
  /// @param Address "ip:port"
  void open(NodeId Peer, const std::string &Address);

  /// @brief Sends a message. Without a usable link the message is dropped and
  /// counted.
  void send(NodeId To, const PeerMessage &Message);

  /// @brief Closes a link after its queue is sent.
  void close(NodeId Peer);
  /// @}

  /// @name Observers
  /// @{

  /// @return the public address of this node
  const std::string &address() const { return Settings.PublicAddress; }

  /// @return identifier and incarnation of this node
  NodeRun self() const { return Self; }

  /// @return the number of usable links
  std::size_t usable() const { return Links.size(); }

  /// @return the number of bytes queued on all usable links
  std::size_t pending() const;

  const PeerLinkCounters &counters() const { return Counters; }
  /// @}

private:
  class Link;
  friend class Link;

  void onReady(int Modes) override;
  bool mayProceed(const Link &New) const;
  bool establish(Link &New);
  void onLinkClosed(Link &Old, const Error &Fault);
  void removeLink(Link &Old);

  EventLoop &Loop;
  PeerLinkHandler &Handler;
  PeerLinkSettings Settings;
  NodeRun Self;
  Poco::Net::ServerSocket Socket;
  PeerLinkCounters Counters;
  /// All connections, usable or not.
  std::unordered_map<const Link *, std::shared_ptr<Link>> All;
  /// Outgoing connections whose handshake is not complete.
  std::map<NodeId, Link *> Opening;
  /// Usable links.
  std::map<NodeId, Link *> Links;
};

} // namespace hyssopford
