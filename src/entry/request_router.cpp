#include "entry/request_router.h"

#include <algorithm>

#include "base/clock.h"
#include "base/random.h"

namespace chervilpulley::entry {

namespace {

/// Each gap between tokens changes the mean by one part in as many.
constexpr duration::rep kTokenGapWeight = 16;

} // namespace

void request_router::Register(const request_id& aRequest, ref<request_mailbox> aMailbox)
{
  mMailboxes.Insert(aRequest, std::move(aMailbox));
}

void request_router::Unregister(const request_id& aRequest)
{
  mMailboxes.Erase(aRequest);
}

void request_router::OnFrame(const ref<link::provider>& aProvider, link::frame aFrame)
{
  if (auto mailbox = mMailboxes.Find(request_id(aFrame.request()))) {
    (*mailbox)->Push({ request_event::kind::Frame, aProvider, std::move(aFrame) });
  }
}

void request_router::OnProviderLost(const ref<link::provider>& aProvider)
{
  for (const auto& mailbox : mMailboxes.Values()) {
    mailbox->Push({ request_event::kind::ProviderLost, aProvider, {} });
  }
}

void request_router::ObserveTokenGap(duration aGap)
{
  const duration::rep mean = mTokenGap;
  mTokenGap = mean == 0 ? aGap.count() : mean + (aGap.count() - mean) / kTokenGapWeight;
}

void request_router::StopAll()
{
  for (const auto& mailbox : mMailboxes.Values()) {
    mailbox->Push({ request_event::kind::Stopping, nullptr, {} });
  }
}

ref<link::provider> request_router::Choose(const provider_query& aQuery) const
{
  const instant now = Now();
  const auto providers = mLinks->OfPool(aQuery.mPool);
  std::vector<policy::route_candidate> candidates;
  candidates.reserve(providers.size());
  for (const auto& known : providers) {
    policy::route_candidate candidate = known->Candidate(now);
    const std::string& name = known->Instance().Str();
    candidate.mAvoid = aQuery.mExcluded.contains(name) || known->Report().model() != aQuery.mModel;
    candidate.mPreferred = aQuery.mPreferred.contains(name);
    candidates.push_back(std::move(candidate));
  }
  const policy::route_request request{ layer_index(0),
                                       token_count(aQuery.mPromptTokens),
                                       static_cast<double>(aQuery.mSteps) };
  const auto chosen = policy::ChooseRoute(candidates, request, { RandomNumber(), RandomNumber() });
  return chosen ? providers[*chosen] : nullptr;
}

bool request_router::IsAwaited(const provider_query& aQuery) const
{
  const auto providers = mLinks->OfPool(aQuery.mPool);
  return std::any_of(providers.begin(), providers.end(), [&](const auto& aKnown) {
    return aKnown->IsAwaited() && !aQuery.mExcluded.contains(aKnown->Instance().Str());
  });
}

} // namespace chervilpulley::entry
