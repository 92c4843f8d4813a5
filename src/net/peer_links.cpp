#include "hyssopford/net/peer_links.hpp"
#include "hyssopford/core/error_codes.hpp"

#include "hyssopford/net/message_codec.hpp"
#include "peer_link.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <utility>

namespace hyssopford {

namespace {

constexpr int Backlog = 1'024;

} // namespace

PeerLinks::PeerLinks(EventLoop &EventSource, PeerLinkHandler &Receiver,
                     PeerLinkSettings LinkSettings)
    : Loop(EventSource), Handler(Receiver), Settings(std::move(LinkSettings)) {
  Socket.bind(Poco::Net::SocketAddress(Settings.ListenAddress), true, false);
  Socket.listen(Backlog);
  Socket.setBlocking(false);
  if (Settings.PublicAddress.empty()) {
    Settings.PublicAddress = Socket.address().toString();
  }
  Self = NodeRun{nodeIdOf(Settings.PublicAddress), Settings.Run};
  Loop.add(Socket, Poco::Net::PollSet::POLL_READ, *this);
}

PeerLinks::~PeerLinks() { Loop.remove(Socket); }

void PeerLinks::open(NodeId Peer, const std::string &Address) {
  if (Links.contains(Peer) || Opening.contains(Peer) || Peer == Self.Node) {
    return;
  }
  auto New = std::make_shared<Link>(*this);
  All.emplace(New.get(), New);
  Opening.emplace(Peer, New.get());
  if (!New->connect(Peer, Address)) {
    New->drop();
    onLinkClosed(*New, Error{numberOf(ErrorCode::LinkEnded), "link.connect",
                             Address, "cannot open a connection"});
  }
}

void PeerLinks::send(NodeId To, const PeerMessage &Message) {
  const auto Found = Links.find(To);
  if (Found == Links.end()) {
    ++Counters.MessagesDropped;
    return;
  }
  Found->second->send(Message);
}

void PeerLinks::close(NodeId Peer) {
  const auto Found = Links.find(Peer);
  if (Found != Links.end()) {
    Found->second->closeAfterQueue();
  }
}

std::size_t PeerLinks::pending() const {
  std::size_t Sum = 0;
  for (const auto &[Peer, Each] : Links) {
    Sum += Each->pending();
  }
  return Sum;
}

void PeerLinks::onReady(int /*Modes*/) {
  try {
    const Poco::Net::StreamSocket Accepted = Socket.acceptConnection();
    auto New = std::make_shared<Link>(*this);
    All.emplace(New.get(), New);
    New->accept(Accepted);
  } catch (const Poco::Exception &Fault) {
    Handler.onLinkRefused(Error{numberOf(ErrorCode::LinkNotAccepted),
                                "link.accept", address(), Fault.displayText()});
  }
}

bool PeerLinks::mayProceed(const Link &New) const {
  const NodeRun Peer = New.peer();
  // If both ends opened a link at the same time, the link opened by the node
  // with the lower identifier is kept.
  if (!New.openedBySelf() && Opening.contains(Peer.Node) &&
      Self.Node < Peer.Node) {
    return false;
  }
  const auto Found = Links.find(Peer.Node);
  if (Found == Links.end()) {
    return true;
  }
  const Link &Existing = *Found->second;
  if (Existing.peer().Run != Peer.Run) {
    return Existing.peer().Run < Peer.Run;
  }
  const auto OpenedByLower = [&](const Link &Each) {
    return Each.openedBySelf() == (Self.Node < Peer.Node);
  };
  return OpenedByLower(New) || !OpenedByLower(Existing);
}

bool PeerLinks::establish(Link &New) {
  const NodeId Peer = New.peer().Node;
  if (New.openedBySelf()) {
    Opening.erase(Peer);
  }
  if (!mayProceed(New)) {
    return false;
  }
  const auto Outgoing = Opening.find(Peer);
  if (Outgoing != Opening.end()) {
    Link &Superseded = *Outgoing->second;
    Opening.erase(Outgoing);
    Superseded.drop();
    removeLink(Superseded);
  }
  const auto Existing = Links.find(Peer);
  if (Existing != Links.end()) {
    Link &Old = *Existing->second;
    Links.erase(Existing);
    Old.drop();
    removeLink(Old);
    Handler.onLinkDown(Peer,
                       Error{numberOf(ErrorCode::LinkEnded), "link.replaced",
                             "", "replaced by a newer link to the same peer"});
  }
  Links.emplace(Peer, &New);
  return true;
}

void PeerLinks::onLinkClosed(Link &Old, const Error &Fault) {
  const auto Usable = Links.find(Old.peer().Node);
  const auto Pending = Opening.find(Old.expected());
  const bool WasUsable = Usable != Links.end() && Usable->second == &Old;
  const bool WasPending = Pending != Opening.end() && Pending->second == &Old;
  const NodeId Peer = WasPending ? Old.expected() : Old.peer().Node;
  if (WasUsable) {
    Links.erase(Usable);
  }
  if (WasPending) {
    Opening.erase(Pending);
  }
  removeLink(Old);
  if (WasUsable || (WasPending && !Links.contains(Peer))) {
    Handler.onLinkDown(Peer, Fault);
  } else if (!WasPending) {
    Handler.onLinkRefused(Fault);
  }
}

void PeerLinks::removeLink(Link &Old) {
  const auto Found = All.find(&Old);
  if (Found != All.end()) {
    // Destroyed later, as its handler may be running.
    Loop.defer([Kept = std::move(Found->second)] {});
    All.erase(Found);
  }
}

} // namespace hyssopford
