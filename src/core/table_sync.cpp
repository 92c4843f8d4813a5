#include "hyssopford/core/table_sync.hpp"

#include <algorithm>

namespace hyssopford {

void TableSync::restart(TimePoint Now) {
  Joined = false;
  Waiting = false;
  Cursor = 0;
  Changed = false;
  Interval = FirstInterval;
  Next = Now;
}

void TableSync::receive(NodeId From, const SyncRequest &Request, TimePoint Now,
                        Actions &Out) {
  if (Request.BucketHashes.size() != MemberTable::Buckets) {
    return;
  }
  SyncReply Reply;
  std::size_t Bytes = 0;
  if (Budget.available(Now) < static_cast<std::int64_t>(PieceBytes)) {
    Reply.Busy = true;
  } else {
    const std::vector<std::uint32_t> Own = Table.bucketHashes();
    for (std::uint32_t Bucket = Request.FirstBucket;
         Bucket < MemberTable::Buckets; ++Bucket) {
      if (Own[Bucket] == Request.BucketHashes[Bucket]) {
        continue;
      }
      if (Bytes >= PieceBytes) {
        Reply.NextBucket = Bucket;
        break;
      }
      Table.forBucket(Bucket, [&](const MemberRecord &Record) {
        Bytes += wireSize(Record);
        Reply.Records.push_back(Record);
      });
    }
  }
  Budget.spend(static_cast<std::int64_t>(Bytes));
  Out.emplace_back(SendToPeer{From, std::move(Reply)});
}

void TableSync::receive(const SyncReply &Reply, TimePoint Now) {
  if (!Waiting) {
    return;
  }
  Waiting = false;
  if (Reply.Busy) {
    Next = Now + PieceInterval;
    return;
  }
  Cursor = Reply.NextBucket;
  Changed = Changed || !Reply.Records.empty();
  if (Cursor != 0) {
    Next = Now + PieceInterval;
    return;
  }
  Joined = true;
  // While there are differences the next comparison comes soon: this spreads
  // many news, e.g. of a site that starts, with fewer bytes than gossip.
  Interval = Changed ? FirstInterval : std::min(Interval * 2, Period);
  Changed = false;
  Next = Now + Interval * 3 / 4 + Duration(Random.below(Interval.count() / 2));
}

void TableSync::tick(TimePoint Now, Actions &Out) {
  if (Now < Next) {
    return;
  }
  // A request that is still open now is lost.
  Waiting = false;
  Next = Now + ReplyTimeout;
  if (Links.peers().empty()) {
    Next = Now + PieceInterval;
    return;
  }
  Waiting = true;
  const NodeId Peer = Links.peers()[Random.below(Links.peers().size())];
  Out.emplace_back(SendToPeer{Peer, SyncRequest{Table.bucketHashes(), Cursor}});
}

} // namespace hyssopford
