#include "gateway/request_context.h"

#include <algorithm>

#include "gateway/service_request.h"
#include "gateway/stream_request.h"

namespace chervilpulley::gateway {

namespace {

/// The request of a list that holds the most, or null; adds what all of them hold to aTotal.
template<class List>
typename List::pointer LargestOf(List& aRequests, std::size_t& aTotal)
{
  typename List::pointer largest = nullptr;
  for (auto& request : aRequests) {
    aTotal += request.HeldBytes();
    if (largest == nullptr || request.HeldBytes() > largest->HeldBytes()) {
      largest = &request;
    }
  }
  return largest;
}

} // namespace

double EstimateOutputTokens(const pool* aPool, std::optional<double> aHint, double aLimit)
{
  const double typical = aPool != nullptr && aPool->mEngine ? aPool->mEngine->mTypicalOutputTokens : 0;
  // Callers' estimates are often far off, so half of the weight stays with the typical output.
  return std::min(std::max(1.0, (aHint.value_or(typical) + typical) / 2), std::max(1.0, aLimit));
}

void LimitHeldBytes(request_environment& aEnvironment, std::size_t aOwnBytes, instant aNow)
{
  if (aOwnBytes < kFreeHeldBytes) {
    return;
  }
  std::size_t total = 0;
  const ref<service_request> service(LargestOf(aEnvironment.mServices, total));
  const ref<stream_request> stream(LargestOf(aEnvironment.mStreams, total));
  if (total <= kMaxHeldBytes) {
    return;
  }
  const std::size_t ofService = service ? service->HeldBytes() : 0;
  const std::size_t ofStream = stream ? stream->HeldBytes() : 0;
  if (ofService >= ofStream) {
    service->HandleOversized(aNow);
  } else {
    stream->HandleOversized(aNow);
  }
}

net::http_request Outgoing(const admitted_request& aAdmitted, wire::dispatch aDispatch, instant aNow)
{
  aDispatch.mTimeLeft = aAdmitted.mDeadline - aNow;
  aDispatch.mWorkspace = aAdmitted.mWorkspace;
  aDispatch.mPriority = aAdmitted.mPriority;
  net::http_request request;
  request.mMethod = aAdmitted.mRequest.mMethod;
  request.mTarget = aAdmitted.mRequest.mTarget;
  request.mHeaders = wire::EncodeDispatch(aAdmitted.mRequest.mHeaders, aDispatch);
  request.mBody = aAdmitted.mRequest.mBody;
  return request;
}

net::http_reply OwnResponse(unsigned aStatus, std::optional<duration> aRetryAfter)
{
  net::http_reply reply;
  reply.mStatus = aStatus;
  if (aRetryAfter) {
    const net::http_header header = wire::RetryAfterHeader(*aRetryAfter);
    reply.mHeaders.Add(header.mName, header.mValue);
  }
  return reply;
}

net::http_headers EndToEnd(const net::http_headers& aHeaders)
{
  net::http_headers headers;
  for (const net::http_header& header : aHeaders.All()) {
    if (!net::IsHopByHop(header.mName)) {
      headers.Add(header.mName, header.mValue);
    }
  }
  return headers;
}

} // namespace chervilpulley::gateway
