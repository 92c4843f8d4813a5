#include "hyssopford/core/table_sync.hpp"

#include <algorithm>

namespace hyssopford {

void TableSync::restart(TimePoint Now) {
  Joined = false;
  Waiting = false;
  Cursor = 0;
  FoundDifference = false;
  ChangedRecords = 0;
  Interval = MinInterval;
  NextAction = Now;
}

void TableSync::receive(NodeId From, const SyncRequest &Request, TimePoint Now,
                        Actions &Out) {
  if (Request.BucketHashes.size() != MemberTable::Buckets) {
    return;
  }
  SyncReply Reply;
  std::size_t Bytes = 0;
  if (Budget.available(Now) < static_cast<std::int64_t>(ReplyBytes)) {
    Reply.Busy = true;
  } else {
    const std::vector<std::uint32_t> Own = Table.bucketHashes();
    for (std::uint32_t Bucket = Request.FirstBucket;
         Bucket < MemberTable::Buckets; ++Bucket) {
      if (Own[Bucket] == Request.BucketHashes[Bucket]) {
        continue;
      }
      if (Bytes >= ReplyBytes) {
        Reply.NextBucket = Bucket;
        break;
      }
      Table.forEachInBucket(Bucket, [&](const MemberRecord &Record) {
        Bytes += wireSize(Record);
        Reply.Records.push_back(Record);
      });
    }
  }
  Budget.spend(static_cast<std::int64_t>(Bytes));
  Out.emplace_back(SendToPeer{From, std::move(Reply)});
}

void TableSync::receive(const SyncReply &Reply, std::size_t Changed,
                        TimePoint Now) {
  if (!Waiting) {
    return;
  }
  Waiting = false;
  if (Reply.Busy) {
    NextAction = Now + RequestInterval;
    return;
  }
  Cursor = Reply.NextBucket;
  FoundDifference = FoundDifference || !Reply.Records.empty();
  ChangedRecords += Changed;
  if (Cursor != 0) {
    NextAction = Now + RequestInterval;
    return;
  }
  Joined = true;
  // While there are differences the next comparison follows soon. This spreads
  // many updates, as when a site starts, with fewer bytes than gossip.
  Interval =
      FoundDifference ? MinInterval : std::min(Interval * 2, MaxInterval);
  const bool Grows = ChangedRecords * GrowthShare > Table.liveCount();
  Settled = Settled || !Grows;
  // A peer that joins as well may know less than this node, so soon after the
  // start any difference means that others are worth asking.
  const bool Joining = FirstRequest && Now < *FirstRequest + SettleTimeout;
  if (Grows || (Joining && FoundDifference)) {
    Interval = GrowthInterval;
  }
  FoundDifference = false;
  ChangedRecords = 0;
  NextAction =
      Now + Interval * 3 / 4 + Duration(Random.below(Interval.count() / 2));
}

void TableSync::tick(TimePoint Now, Actions &Out) {
  if (Now < NextAction) {
    return;
  }
  // A request without an answer by now is lost.
  Waiting = false;
  NextAction = Now + ReplyTimeout;
  if (Links.peers().empty()) {
    NextAction = Now + RequestInterval;
    return;
  }
  Waiting = true;
  FirstRequest = FirstRequest.value_or(Now);
  Settled = Settled || *FirstRequest + SettleTimeout <= Now;
  const NodeId Peer = Links.peers()[Random.below(Links.peers().size())];
  Out.emplace_back(SendToPeer{Peer, SyncRequest{Table.bucketHashes(), Cursor}});
}

} // namespace hyssopford
