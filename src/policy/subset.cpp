#include "policy/subset.h"

#include <algorithm>
#include <cmath>

#include "base/random.h"

namespace chervilpulley::policy {

namespace {

constexpr double kHashRange = 18446744073709551616.0; // 2^64
/// Minimum number of servers that a client links to, if there are that many.
constexpr std::size_t kMinSubsetSize = 4;
/// Number of clients with a better score, per drawn client, at which a client is assumed not to be drawn.
constexpr std::size_t kMaxBetterFactor = 4;

std::uint64_t Score(member_key aServer, member_key aClient)
{
  std::uint64_t value = aServer.Value() ^ (aClient.Value() * 0x9e3779b97f4a7c15ULL);
  value ^= value >> 32U;
  value *= 0xd6e8feb86659fd93ULL;
  value ^= value >> 32U;
  value *= 0xd6e8feb86659fd93ULL;
  return value ^ (value >> 32U);
}

/// Number of clients that a server draws. The fractional part of aMean is rounded up for that fraction of the servers,
/// so that a small change of the membership changes the number for few of them.
std::size_t ClientCount(member_key aServer, double aMean)
{
  const double point = static_cast<double>(Score(aServer, member_key(1))) / kHashRange;
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(aMean + point)));
}

struct scored_client
{
  std::uint64_t mScore;
  member_key mFailureDomain;
};

/// Decides whether one server draws a given client.
class server_draw
{
public:
  server_draw(member_key aServer, std::span<const subset_member> aClients, std::size_t aDrawn, bool aSeveralDomains)
    : mServer(aServer)
    , mClients(aClients)
    , mDrawn(aDrawn)
    , mMaxPerDomain(aSeveralDomains ? (aDrawn + 1) / 2 : aDrawn)
  {
  }

  bool Draws(const subset_member& aSelf)
  {
    const std::uint64_t own = Score(mServer, aSelf.mInstance);
    if (!CollectBetter(own)) {
      return false;
    }
    std::sort(mBetter.begin(), mBetter.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mScore > aRight.mScore;
    });
    mBetter.push_back({ own, aSelf.mFailureDomain });
    return DrawsLast();
  }

private:
  /// Collects the clients with a better score than aOwn. False when there are so many that the client cannot be drawn.
  bool CollectBetter(std::uint64_t aOwn)
  {
    mBetter.clear();
    for (const subset_member& client : mClients) {
      const std::uint64_t score = Score(mServer, client.mInstance);
      if (score > aOwn) {
        mBetter.push_back({ score, client.mFailureDomain });
        if (mBetter.size() >= kMaxBetterFactor * mDrawn) {
          return false;
        }
      }
    }
    return true;
  }

  /// Draws clients in order of their score, skipping those whose failure domain has reached its maximum. Returns
  /// whether the last one is drawn.
  bool DrawsLast() const
  {
    std::vector<std::pair<member_key, std::size_t>> perDomain;
    std::size_t drawnCount = 0;
    for (std::size_t i = 0; i < mBetter.size() && drawnCount < mDrawn; ++i) {
      const member_key domain = mBetter[i].mFailureDomain;
      auto count =
        std::find_if(perDomain.begin(), perDomain.end(), [&](const auto& aEntry) { return aEntry.first == domain; });
      if (count == perDomain.end()) {
        count = perDomain.emplace(perDomain.end(), domain, 0);
      }
      if (count->second == mMaxPerDomain) {
        continue;
      }
      ++count->second;
      ++drawnCount;
      if (i + 1 == mBetter.size()) {
        return true;
      }
    }
    return false;
  }

  member_key mServer;
  std::span<const subset_member> mClients;
  std::size_t mDrawn;
  std::size_t mMaxPerDomain;
  std::vector<scored_client> mBetter;
};

bool HasSeveralDomains(std::span<const subset_member> aMembers)
{
  return std::any_of(aMembers.begin(), aMembers.end(), [&](const subset_member& aMember) {
    return aMember.mFailureDomain != aMembers.front().mFailureDomain;
  });
}

/// Adds the servers with the best scores for aSelf, until it has kMinSubsetSize of them.
void FillToMinimum(std::span<const subset_member> aServers,
                   const subset_member& aSelf,
                   std::vector<std::size_t>& aChosen)
{
  const std::size_t minimum = std::min(kMinSubsetSize, aServers.size());
  if (aChosen.size() >= minimum) {
    return;
  }
  std::vector<std::size_t> order(aServers.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::sort(order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return Score(aServers[aLeft].mInstance, aSelf.mInstance) > Score(aServers[aRight].mInstance, aSelf.mInstance);
  });
  for (std::size_t i = 0; i < order.size() && aChosen.size() < minimum; ++i) {
    if (std::find(aChosen.begin(), aChosen.end(), order[i]) == aChosen.end()) {
      aChosen.push_back(order[i]);
    }
  }
  std::sort(aChosen.begin(), aChosen.end());
}

} // namespace

member_key KeyOf(const instance_id& aInstance)
{
  return member_key(StableHash(aInstance.Str()));
}

member_key KeyOf(const failure_domain_id& aDomain)
{
  return member_key(StableHash(aDomain.Str()));
}

std::vector<std::size_t> ChooseSubset(std::span<const subset_member> aServers,
                                      std::span<const subset_member> aClients,
                                      const subset_member& aSelf,
                                      std::size_t aTarget)
{
  std::vector<std::size_t> chosen;
  if (aServers.empty() || aClients.empty()) {
    return chosen;
  }
  const double links = static_cast<double>(aTarget) * static_cast<double>(aClients.size());
  const double mean = links / static_cast<double>(aServers.size());
  const bool severalDomains = HasSeveralDomains(aClients);
  for (std::size_t i = 0; i < aServers.size(); ++i) {
    const std::size_t drawn = std::max<std::size_t>(severalDomains ? 2 : 1, ClientCount(aServers[i].mInstance, mean));
    const bool all = drawn >= aClients.size();
    if (all || server_draw(aServers[i].mInstance, aClients, drawn, severalDomains).Draws(aSelf)) {
      chosen.push_back(i);
    }
  }
  FillToMinimum(aServers, aSelf, chosen);
  return chosen;
}

} // namespace chervilpulley::policy
