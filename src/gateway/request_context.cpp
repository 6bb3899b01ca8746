#include "gateway/request_context.h"

namespace chervilpulley::gateway {

net::http_request Outgoing(const admitted_request& aAsked, wire::dispatch aDispatch, instant aNow)
{
  aDispatch.mTimeLeft = aAsked.mDeadline - aNow;
  aDispatch.mWorkspace = aAsked.mWorkspace;
  aDispatch.mPriority = aAsked.mPriority;
  net::http_request request;
  request.mMethod = aAsked.mRequest.mMethod;
  request.mTarget = aAsked.mRequest.mTarget;
  request.mHeaders = wire::EncodeDispatch(aAsked.mRequest.mHeaders, aDispatch);
  request.mBody = aAsked.mRequest.mBody;
  return request;
}

net::http_reply OwnResponse(unsigned aStatus, std::optional<duration> aComeBack)
{
  net::http_reply reply;
  reply.mStatus = aStatus;
  if (aComeBack) {
    const net::http_header header = wire::ComeBackAfter(*aComeBack);
    reply.mHeaders.Add(header.mName, header.mValue);
  }
  return reply;
}

net::http_headers EndToEnd(const net::http_headers& aHeaders)
{
  net::http_headers headers;
  for (const net::http_header& header : aHeaders.All()) {
    if (!net::IsOfConnection(header.mName)) {
      headers.Add(header.mName, header.mValue);
    }
  }
  return headers;
}

} // namespace chervilpulley::gateway
