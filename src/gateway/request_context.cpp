#include "gateway/request_context.h"

namespace chervilpulley::gateway {

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
