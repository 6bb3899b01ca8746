#include "policy/config_propagation.h"

#include <algorithm>
#include <utility>

#include "base/random.h"

namespace chervilpulley::policy {

namespace {

std::uint64_t RankOf(const propagation_member& aMember)
{
  return StableHash(aMember.mFailureDomain.Str() + "/" + aMember.mInstance.Str());
}

struct ranked_member
{
  std::uint64_t mRank = 0;
  propagation_member mMember;
};

bool IsBefore(const ranked_member& aLeft, const ranked_member& aRight)
{
  const auto& left = aLeft.mMember;
  const auto& right = aRight.mMember;
  if (left.mFailureDomain != right.mFailureDomain) {
    return left.mFailureDomain.Str() < right.mFailureDomain.Str();
  }
  return aLeft.mRank != aRight.mRank ? aLeft.mRank < aRight.mRank : left.mInstance.Str() < right.mInstance.Str();
}

} // namespace

propagation_plan::propagation_plan(propagation_member aSelf, std::vector<propagation_member> aMembers)
  : mSelf(std::move(aSelf))
{
  std::vector<ranked_member> ranked;
  ranked.reserve(aMembers.size() + 1);
  for (auto& member : aMembers) {
    if (member.mInstance != mSelf.mInstance) {
      const auto rank = RankOf(member);
      ranked.push_back({ rank, std::move(member) });
    }
  }
  ranked.push_back({ RankOf(mSelf), mSelf });
  std::sort(ranked.begin(), ranked.end(), IsBefore);
  mOrder.reserve(ranked.size());
  for (auto& member : ranked) {
    mOrder.push_back(std::move(member.mMember));
  }
}

bool propagation_plan::IsRelay() const
{
  const auto relays = RelaysOf(mSelf.mFailureDomain);
  return std::find(relays.begin(), relays.end(), mSelf.mInstance) != relays.end();
}

std::vector<instance_id> propagation_plan::Sources() const
{
  std::vector<instance_id> domain;
  for (const auto& member : mOrder) {
    if (member.mFailureDomain == mSelf.mFailureDomain) {
      domain.push_back(member.mInstance);
    }
  }
  const auto self = std::find(domain.begin(), domain.end(), mSelf.mInstance);
  const auto rank = static_cast<std::size_t>(self - domain.begin());
  std::vector<instance_id> sources;
  if (rank >= kRelaysPerDomain && rank < domain.size()) {
    sources.push_back(domain[(rank - kRelaysPerDomain) / kPropagationFanOut]);
  }
  for (std::size_t i = 0; i < std::min(kRelaysPerDomain, domain.size()); ++i) {
    const bool isListed = domain[i] == mSelf.mInstance || (!sources.empty() && domain[i] == sources.front());
    if (!isListed) {
      sources.push_back(domain[i]);
    }
  }
  return sources;
}

std::vector<instance_id> propagation_plan::RelaysOf(const failure_domain_id& aDomain) const
{
  std::vector<instance_id> relays;
  for (const auto& member : mOrder) {
    if (member.mFailureDomain == aDomain && relays.size() < kRelaysPerDomain) {
      relays.push_back(member.mInstance);
    }
  }
  return relays;
}

std::vector<failure_domain_id> propagation_plan::OtherDomains() const
{
  std::vector<failure_domain_id> domains;
  for (const auto& member : mOrder) {
    const bool isListed = !domains.empty() && domains.back() == member.mFailureDomain;
    if (!isListed && member.mFailureDomain != mSelf.mFailureDomain) {
      domains.push_back(member.mFailureDomain);
    }
  }
  return domains;
}

} // namespace chervilpulley::policy
