#include "hyssopford/core/roster.hpp"
#include "hyssopford/core/error_codes.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <iterator>
#include <set>
#include <utility>

namespace hyssopford {

namespace {

constexpr std::string_view Header = "hyssopford-roster 1";
/// Limits of the memory that a damaged or malicious value can occupy.
constexpr std::size_t MaxEpochs = 64;
constexpr std::size_t MaxMembers = 256;

std::set<std::string_view> domainsOf(const RosterEpoch &Epoch) {
  std::set<std::string_view> Domains;
  for (const RosterMember &Member : Epoch.Members) {
    Domains.insert(Member.FailureDomain);
  }
  return Domains;
}

/// Removes and returns the text before the next separator.
std::string_view takeField(std::string_view &Text, char Separator) {
  const std::size_t End = Text.find(Separator);
  const std::string_view Part = Text.substr(0, End);
  Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  return Part;
}

bool parseNumber(std::string_view Text, std::uint64_t &Value) {
  const auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Status == std::errc{} && End == Text.data() + Text.size();
}

bool parseMember(std::string_view Line, RosterMember &Member) {
  Member.Address = takeField(Line, ' ');
  const bool HasRun = parseNumber(takeField(Line, ' '), Member.Id.Run.Value);
  Member.FailureDomain = Line;
  Member.Id.Node = nodeIdOf(Member.Address);
  return HasRun && !Member.Address.empty();
}

bool parseLine(std::string_view Line, std::vector<RosterEpoch> &Epochs) {
  const std::string_view Word = takeField(Line, ' ');
  if (Word == "epoch" && Epochs.size() < MaxEpochs) {
    Epochs.emplace_back();
    return parseNumber(Line, Epochs.back().Epoch);
  }
  if (Word == "member" && !Epochs.empty() &&
      Epochs.back().Members.size() < MaxMembers) {
    return parseMember(Line, Epochs.back().Members.emplace_back());
  }
  return false;
}

void encodeEpoch(const RosterEpoch &Epoch, std::string &Text) {
  fmt::format_to(std::back_inserter(Text), "epoch {}\n", Epoch.Epoch);
  for (const RosterMember &Member : Epoch.Members) {
    fmt::format_to(std::back_inserter(Text), "member {} {} {}\n",
                   Member.Address, Member.Id.Run.Value, Member.FailureDomain);
  }
}

} // namespace

std::vector<RosterMember> holdersOf(const RosterEpoch &Epoch,
                                    std::string_view Key) {
  const std::uint64_t KeyHash = hashBytes(Key);
  std::vector<std::pair<std::uint64_t, const RosterMember *>> Ranked;
  Ranked.reserve(Epoch.Members.size());
  for (const RosterMember &Member : Epoch.Members) {
    Ranked.emplace_back(hashPair(KeyHash, Member.Id.Node.Value), &Member);
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const auto &Left, const auto &Right) {
              return std::pair(Left.first, Left.second->Id) <
                     std::pair(Right.first, Right.second->Id);
            });
  std::vector<RosterMember> Holders;
  const auto Take = [&](bool NewDomainOnly) {
    for (const auto &Entry : Ranked) {
      const RosterMember *Member = Entry.second;
      const bool Taken = std::any_of(
          Holders.begin(), Holders.end(), [&](const RosterMember &Holder) {
            return Holder.Id == Member->Id ||
                   (NewDomainOnly &&
                    Holder.FailureDomain == Member->FailureDomain);
          });
      if (!Taken && Holders.size() < HoldersPerKey) {
        Holders.push_back(*Member);
      }
    }
  };
  Take(true);
  Take(false);
  return Holders;
}

bool isMember(const RosterEpoch &Epoch, NodeRun Id) {
  return std::any_of(
      Epoch.Members.begin(), Epoch.Members.end(),
      [&](const RosterMember &Member) { return Member.Id == Id; });
}

std::size_t
maxMissingHolders(const RosterEpoch &Epoch,
                  const std::function<bool(const RosterMember &)> &IsMissing) {
  std::set<std::string_view> Domains;
  std::size_t Missing = 0;
  for (const RosterMember &Member : Epoch.Members) {
    if (IsMissing(Member)) {
      ++Missing;
      Domains.insert(Member.FailureDomain);
    }
  }
  // With enough domains the holders of a key are in different domains.
  const bool Separate = domainsOf(Epoch).size() >= HoldersPerKey;
  return std::min(holderCount(Epoch), Separate ? Domains.size() : Missing);
}

std::size_t holderCount(const RosterEpoch &Epoch) {
  return std::min(HoldersPerKey, Epoch.Members.size());
}

std::string encodeRoster(const Roster &Value) {
  std::string Text = fmt::format("{}\n", Header);
  for (const RosterEpoch &Epoch : Value.Previous) {
    encodeEpoch(Epoch, Text);
  }
  encodeEpoch(Value.Current, Text);
  return Text;
}

std::optional<Roster> decodeRoster(std::string_view Text,
                                   std::uint64_t Revision, Error &Reason) {
  if (takeField(Text, '\n') != Header) {
    Reason = Error{numberOf(ErrorCode::InvalidRosterHeader), "roster.decode",
                   "", "the text does not begin with a known header"};
    return std::nullopt;
  }
  std::vector<RosterEpoch> Epochs;
  while (!Text.empty()) {
    const std::string_view Line = takeField(Text, '\n');
    if (!parseLine(Line, Epochs)) {
      Reason = Error{numberOf(ErrorCode::InvalidRosterLine), "roster.decode",
                     "", fmt::format("line \"{}\" is not valid", Line)};
      return std::nullopt;
    }
  }
  const auto Ordered = [](const RosterEpoch &Left, const RosterEpoch &Right) {
    return Left.Epoch >= Right.Epoch;
  };
  if (Epochs.empty() || std::adjacent_find(Epochs.begin(), Epochs.end(),
                                           Ordered) != Epochs.end()) {
    Reason = Error{numberOf(ErrorCode::InvalidRosterOrder), "roster.decode", "",
                   "the epochs are missing or not in increasing order"};
    return std::nullopt;
  }
  Roster Result;
  Result.Revision = Revision;
  Result.Current = std::move(Epochs.back());
  Epochs.pop_back();
  Result.Previous = std::move(Epochs);
  return Result;
}

std::string rosterStoreKey(std::string_view Service) {
  return fmt::format("hyssopford/roster/{}", Service);
}

} // namespace hyssopford
