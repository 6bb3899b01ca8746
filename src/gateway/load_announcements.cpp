#include "gateway/load_announcements.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <utility>

#include "gateway/json_read.h"
#include "gateway/peer_hints.h"

namespace chervilpulley::gateway {

namespace {

constexpr std::string_view kLoadField = "load";
constexpr std::string_view kHomeField = "h";
/// By name of the domain, the own one under kHomeName: tokens in use, then pairs of rank and tokens wanted.
constexpr std::string_view kDomainsField = "d";
constexpr std::string_view kLargestField = "w"; ///< triples of rank, hash of the workspace and tokens wanted
constexpr std::string_view kWorkspacesField = "n";
constexpr std::string_view kTickField = "t";
/// The own domain is not named again among the domains: its name takes a good part of a small announcement.
constexpr std::string_view kHomeName;
constexpr duration kTick = std::chrono::milliseconds(100);
/// Of two ticks, the one that is ahead by less than half the range is the later one.
constexpr std::uint16_t kHalfTickRange = 0x8000;
/// Of kMaxPeers receivers, at least this many are of foreign domains if there are any, so that a large domain does not
/// keep all others from hearing of its gateways.
constexpr std::size_t kMinForeignReceivers = kMaxPeers / 4;

std::uint64_t ToAmount(double aTokens)
{
  if (!(aTokens > 0)) { // also for NaN
    return 0;
  }
  return static_cast<std::uint64_t>(std::llround(std::min(aTokens, static_cast<double>(kMaxAnnouncedAmount))));
}

/// One amount of a foreign domain.
struct foreign_amount
{
  const failure_domain_id* mDomain = nullptr;
  std::optional<std::size_t> mRank; ///< nothing for the tokens in use
  std::uint64_t mAmount = 0;
};

/// The amounts of foreign domains that are not zero, those to be kept first at the front.
std::vector<foreign_amount> ForeignAmounts(const load_announcement& aAnnouncement)
{
  std::vector<foreign_amount> amounts;
  for (const auto& [domain, load] : aAnnouncement.mDomains) {
    if (domain == aAnnouncement.mHome || !domain.IsValid() || domain.Str().size() > kMaxAnnouncedNameBytes) {
      continue;
    }
    amounts.push_back({ &domain, std::nullopt, ToAmount(load.mInUse) });
    for (std::size_t rank = 0; rank < policy::kRankCount; ++rank) {
      amounts.push_back({ &domain, rank, ToAmount(load.mWanted[rank]) });
    }
  }
  std::erase_if(amounts, [](const foreign_amount& aAmount) { return aAmount.mAmount == 0; });
  std::stable_sort(amounts.begin(), amounts.end(), [](const foreign_amount& aLeft, const foreign_amount& aRight) {
    return std::tuple(!aLeft.mRank, aLeft.mAmount) > std::tuple(!aRight.mRank, aRight.mAmount);
  });
  return amounts;
}

boost::json::array EncodeDomain(const domain_load& aLoad)
{
  boost::json::array amounts{ ToAmount(aLoad.mInUse) };
  for (std::size_t rank = 0; rank < policy::kRankCount; ++rank) {
    if (const std::uint64_t amount = ToAmount(aLoad.mWanted[rank]); amount > 0) {
      amounts.emplace_back(rank);
      amounts.emplace_back(amount);
    }
  }
  return amounts;
}

boost::json::array EncodeLargest(std::vector<policy::workspace_demand> aLargest)
{
  std::stable_sort(aLargest.begin(), aLargest.end(), [](const auto& aLeft, const auto& aRight) {
    return ToAmount(aLeft.mTokens) > ToAmount(aRight.mTokens);
  });
  aLargest.resize(std::min(aLargest.size(), kMaxAnnouncedWorkspaces));
  boost::json::array values;
  for (const policy::workspace_demand& demand : aLargest) {
    if (const std::uint64_t amount = ToAmount(demand.mTokens); amount > 0) {
      values.insert(values.end(), { demand.mRank, demand.mWorkspace, amount });
    }
  }
  return values;
}

/// The whole message with the first aCount of the amounts of foreign domains.
boost::json::object EncodeWith(const load_announcement& aAnnouncement,
                               const std::vector<foreign_amount>& aForeign,
                               std::size_t aCount)
{
  std::map<failure_domain_id, domain_load> kept;
  for (std::size_t index = 0; index < aCount; ++index) {
    const foreign_amount& amount = aForeign[index];
    domain_load& load = kept[*amount.mDomain];
    (amount.mRank ? load.mWanted[*amount.mRank] : load.mInUse) = static_cast<double>(amount.mAmount);
  }
  boost::json::object domains;
  const auto home = aAnnouncement.mDomains.find(aAnnouncement.mHome);
  if (home != aAnnouncement.mDomains.end()) {
    if (auto amounts = EncodeDomain(home->second); amounts != boost::json::array{ 0 }) {
      domains[kHomeName] = std::move(amounts);
    }
  }
  for (const auto& [domain, load] : kept) {
    domains[domain.Str()] = EncodeDomain(load);
  }
  boost::json::object load{ { kHomeField, aAnnouncement.mHome.Str() } };
  if (aAnnouncement.mTick) {
    load[kTickField] = *aAnnouncement.mTick;
  }
  if (!domains.empty()) {
    load[kDomainsField] = std::move(domains);
  }
  if (auto largest = EncodeLargest(aAnnouncement.mLargest); !largest.empty()) {
    load[kLargestField] = std::move(largest);
  }
  if (aAnnouncement.mWorkspaces > 0) {
    load[kWorkspacesField] = std::min<std::uint64_t>(aAnnouncement.mWorkspaces, kMaxAnnouncedAmount);
  }
  return { { kLoadField, std::move(load) } };
}

bool Fits(const boost::json::object& aMessage)
{
  const auto* domains = aMessage.at(kLoadField).as_object().if_contains(kDomainsField);
  // The own domain counts even when it has no load and is left out.
  const std::size_t count =
    domains == nullptr ? 0 : domains->as_object().size() + (domains->as_object().contains(kHomeName) ? 0 : 1);
  return count <= kMaxAnnouncedDomains && boost::json::serialize(aMessage).size() <= kMaxAnnouncementBytes;
}

/// A whole number from 0 to aMax; nothing for any other value.
std::optional<std::uint64_t> CountUpTo(const boost::json::value* aValue, std::uint64_t aMax)
{
  const auto count = wire::WholeNumber(aValue);
  return count && *count <= aMax ? count : std::nullopt;
}

std::optional<domain_load> DecodeDomain(const boost::json::value& aValue)
{
  const auto* amounts = aValue.if_array();
  if (amounts == nullptr || amounts->size() % 2 == 0 || amounts->size() > 1 + 2 * policy::kRankCount) {
    return std::nullopt;
  }
  domain_load load;
  const auto inUse = CountUpTo(amounts->data(), kMaxAnnouncedAmount);
  if (!inUse) {
    return std::nullopt;
  }
  load.mInUse = static_cast<double>(*inUse);
  std::size_t nextRank = 0; // ranks ascend, so that none is given twice
  for (std::size_t index = 1; index < amounts->size(); index += 2) {
    const auto rank = CountUpTo(&(*amounts)[index], policy::kRankCount - 1);
    const auto amount = CountUpTo(&(*amounts)[index + 1], kMaxAnnouncedAmount);
    if (!rank || *rank < nextRank || !amount) {
      return std::nullopt;
    }
    load.mWanted[*rank] = static_cast<double>(*amount);
    nextRank = *rank + 1;
  }
  return load;
}

bool DecodeDomains(const boost::json::value& aValue, load_announcement& aAnnouncement)
{
  const auto* domains = aValue.if_object();
  if (domains == nullptr || domains->size() > kMaxAnnouncedDomains) {
    return false;
  }
  for (const auto& [key, value] : *domains) {
    const auto load = DecodeDomain(value);
    const std::string name = key.empty() ? aAnnouncement.mHome.Str() : std::string(key);
    if (!load || name.size() > kMaxAnnouncedNameBytes ||
        !aAnnouncement.mDomains.emplace(failure_domain_id(name), *load).second) {
      return false;
    }
  }
  return true;
}

bool DecodeLargest(const boost::json::value& aValue, load_announcement& aAnnouncement)
{
  constexpr std::size_t kFields = 3;
  const auto* values = aValue.if_array();
  if (values == nullptr || values->size() % kFields != 0 || values->size() > kFields * kMaxAnnouncedWorkspaces) {
    return false;
  }
  auto& largest = aAnnouncement.mLargest;
  for (std::size_t index = 0; index < values->size(); index += kFields) {
    const auto rank = CountUpTo(&(*values)[index], policy::kRankCount - 1);
    const auto hash = CountUpTo(&(*values)[index + 1], UINT32_MAX);
    const auto amount = CountUpTo(&(*values)[index + 2], kMaxAnnouncedAmount);
    const bool isRepeated = std::any_of(largest.begin(), largest.end(), [&](const auto& aDemand) {
      return rank == aDemand.mRank && hash == aDemand.mWorkspace;
    });
    if (!rank || !hash || !amount || isRepeated) {
      return false;
    }
    largest.push_back({ *rank, static_cast<policy::workspace_hash>(*hash), static_cast<double>(*amount) });
  }
  return true;
}

/// Whether an announcement has something in a domain.
bool Names(const load_announcement& aAnnouncement, const failure_domain_id& aDomain)
{
  return aAnnouncement.mDomains.contains(aDomain);
}

/// Takes aCount of the sorted endpoints, beginning behind the one taken last and continuing at the front.
std::vector<net::endpoint> TakeInTurn(std::vector<net::endpoint> aFrom, std::size_t aCount, net::endpoint& aLast)
{
  std::rotate(aFrom.begin(), std::upper_bound(aFrom.begin(), aFrom.end(), aLast), aFrom.end());
  aFrom.resize(std::min(aFrom.size(), aCount));
  if (!aFrom.empty()) {
    aLast = aFrom.back();
  }
  return aFrom;
}

} // namespace

boost::json::object EncodeAnnouncement(const load_announcement& aAnnouncement)
{
  const std::vector<foreign_amount> foreign = ForeignAmounts(aAnnouncement);
  boost::json::object whole = EncodeWith(aAnnouncement, foreign, foreign.size());
  if (Fits(whole)) {
    return whole;
  }
  // Binary search for the largest number of amounts that fit; the first fitting count may be 0.
  std::size_t fitting = 0;
  std::size_t tooMany = foreign.size();
  while (fitting + 1 < tooMany) {
    const std::size_t middle = (fitting + tooMany) / 2;
    (Fits(EncodeWith(aAnnouncement, foreign, middle)) ? fitting : tooMany) = middle;
  }
  return EncodeWith(aAnnouncement, foreign, fitting);
}

std::optional<load_announcement> DecodeAnnouncement(const boost::json::object& aObject)
{
  const auto* value = aObject.if_contains(kLoadField);
  const auto* load = value == nullptr ? nullptr : value->if_object();
  const auto* home = load == nullptr ? nullptr : load->if_contains(kHomeField);
  if (aObject.size() != 1 || home == nullptr || !home->is_string() || home->get_string().empty() ||
      home->get_string().size() > kMaxAnnouncedNameBytes) {
    return std::nullopt;
  }
  load_announcement announcement;
  announcement.mHome = failure_domain_id(std::string(home->get_string()));
  if (const auto* domains = load->if_contains(kDomainsField)) {
    if (!DecodeDomains(*domains, announcement)) {
      return std::nullopt;
    }
  }
  announcement.mDomains.try_emplace(announcement.mHome);
  if (announcement.mDomains.size() > kMaxAnnouncedDomains) {
    return std::nullopt;
  }
  if (const auto* largest = load->if_contains(kLargestField)) {
    if (!DecodeLargest(*largest, announcement)) {
      return std::nullopt;
    }
  }
  if (const auto* workspaces = load->if_contains(kWorkspacesField)) {
    const auto count = CountUpTo(workspaces, kMaxAnnouncedAmount);
    if (!count) {
      return std::nullopt;
    }
    announcement.mWorkspaces = *count;
  }
  if (const auto* tick = load->if_contains(kTickField)) {
    const auto count = CountUpTo(tick, UINT16_MAX);
    if (!count) {
      return std::nullopt;
    }
    announcement.mTick = static_cast<std::uint16_t>(*count);
  }
  return announcement;
}

void load_announcements::SetPeers(std::vector<announcement_peer> aPeers)
{
  mPeers.clear();
  for (announcement_peer& peer : aPeers) {
    mPeers.insert_or_assign(std::move(peer.mAddress), std::move(peer.mDomain));
  }
  std::erase_if(mHeard, [&](const auto& aEntry) { return !mPeers.contains(aEntry.first); });
  std::erase_if(mRound, [&](const net::endpoint& aAddress) { return !mPeers.contains(aAddress); });
}

void load_announcements::Received(const net::endpoint& aFrom, load_announcement aAnnouncement, instant aNow)
{
  if (!mPeers.contains(aFrom)) {
    return;
  }
  const auto last = mHeard.find(aFrom);
  if (last != mHeard.end() && aNow - last->second.mAt <= kAnnouncementTime) {
    const auto& lastTick = last->second.mAnnouncement.mTick;
    if (lastTick && aAnnouncement.mTick) {
      const auto ahead = static_cast<std::uint16_t>(*aAnnouncement.mTick - *lastTick);
      if (ahead == 0 || ahead >= kHalfTickRange) {
        return;
      }
    }
  }
  mHeard.insert_or_assign(aFrom, heard{ std::move(aAnnouncement), aNow });
}

bool load_announcements::IsReceiver(const net::endpoint& aAddress,
                                    const failure_domain_id& aDomain,
                                    const load_announcement& aOwn,
                                    instant aNow) const
{
  if (aDomain == mHome || Names(aOwn, aDomain)) {
    return true;
  }
  const auto found = mHeard.find(aAddress);
  return found != mHeard.end() && aNow - found->second.mAt <= kAnnouncementTime &&
         Names(found->second.mAnnouncement, mHome);
}

/// The receivers of a round, at most kMaxPeers: those of the own domain, then those of others in turn.
std::vector<net::endpoint> load_announcements::ChooseReceivers(const load_announcement& aOwn, instant aNow)
{
  std::vector<net::endpoint> own;
  std::vector<net::endpoint> foreign;
  for (const auto& [address, domain] : mPeers) {
    if (IsReceiver(address, domain, aOwn, aNow)) {
      (domain == mHome ? own : foreign).push_back(address);
    }
  }
  const std::size_t reserved = std::min(foreign.size(), kMinForeignReceivers);
  std::vector<net::endpoint> receivers = TakeInTurn(std::move(own), kMaxPeers - reserved, mLastOwn);
  const auto others = TakeInTurn(std::move(foreign), kMaxPeers - receivers.size(), mLastForeign);
  receivers.insert(receivers.end(), others.begin(), others.end());
  return receivers;
}

void load_announcements::Announce(const load_announcement& aOwn, instant aNow)
{
  if (!mSender || (mNextAt && aNow < *mNextAt)) {
    return;
  }
  if (mRound.empty()) {
    mRound = ChooseReceivers(aOwn, aNow);
    std::reverse(mRound.begin(), mRound.end());
  }
  if (mRound.empty()) {
    return;
  }
  load_announcement announcement = aOwn;
  announcement.mTick = static_cast<std::uint16_t>(aNow.time_since_epoch() / kTick);
  const std::string datagram = boost::json::serialize(EncodeAnnouncement(announcement));
  const std::size_t cost = datagram.size() + kDatagramHeaderBytes;
  // The rest of the round is divided evenly, so that no send is left with few receivers: the intervals are between
  // kMinAnnouncementInterval and twice that time, unless one receiver needs more.
  const double budget =
    kMaxAnnouncementBytesPerSecond * std::chrono::duration<double>(kMinAnnouncementInterval).count();
  const auto inTime = static_cast<std::size_t>(static_cast<double>(cost * mRound.size()) / budget);
  const std::size_t sends = std::clamp<std::size_t>(inTime, 1, mRound.size());
  const std::size_t count = (mRound.size() + sends - 1) / sends;
  const std::vector<net::endpoint> receivers(mRound.rbegin(), mRound.rbegin() + static_cast<std::ptrdiff_t>(count));
  mRound.resize(mRound.size() - count);
  const double seconds = static_cast<double>(cost * count) / kMaxAnnouncementBytesPerSecond;
  const auto needed = std::chrono::ceil<duration>(std::chrono::duration<double>(seconds));
  mNextAt = aNow + std::max(kMinAnnouncementInterval, needed);
  mSentBytes += cost * count;
  mSender(receivers, datagram);
}

std::size_t load_announcements::HeardCount(instant aNow) const
{
  std::size_t count = 0;
  ForEach(aNow, [&](const auto&, duration) { ++count; });
  return count;
}

} // namespace chervilpulley::gateway
