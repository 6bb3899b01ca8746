#include "processes/caller.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

#include "net/http_client.h"

namespace chervilpulley::processes {

namespace json = boost::json;

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr duration kResponseTimeout = std::chrono::seconds(60);

/// The string at a JSON pointer; empty when there is none.
std::string TextAt(const json::value& aValue, std::string_view aPointer)
{
  boost::system::error_code error;
  const json::value* found = aValue.find_pointer(aPointer, error);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

json::object BodyOf(const completion_call& aCall)
{
  json::object body{ { "model", "demo" }, { "max_tokens", aCall.mMaxTokens }, { "stream", aCall.mIsStream } };
  if (aCall.mIsChat) {
    body["messages"] = json::array{ json::object{ { "role", "user" }, { "content", aCall.mPrompt } } };
  } else {
    body["prompt"] = aCall.mPrompt;
  }
  return body;
}

/// Copies a reply's status and headers, or its error, to the response.
void CopyHead(const net::net_result<net::http_reply>& aReply, response& aResponse)
{
  if (!aReply) {
    aResponse.mNetError = aReply.error();
    return;
  }
  aResponse.mStatus = aReply.value().mStatus;
  aResponse.mHeaders = aReply.value().mHeaders;
  aResponse.mRequest = aReply.value().mHeaders.Get("X-Request-Id");
}

/// Fills in the fields of the response that a complete JSON body contains.
void ParseBody(response& aResponse)
{
  boost::system::error_code error;
  const json::value body = json::parse(aResponse.mBody, error);
  if (error) {
    return;
  }
  aResponse.mOutcome = TextAt(body, "/error/outcome");
  const std::string content = TextAt(body, "/choices/0/message/content");
  aResponse.mStream.mText = content.empty() ? TextAt(body, "/choices/0/text") : content;
  aResponse.mStream.mFinishReason = TextAt(body, "/choices/0/finish_reason");
  aResponse.mStream.mDone = aResponse.mStatus == 200;
}

} // namespace

event_parser::event_parser(response& aResponse, const completion_call& aCall)
  : mResponse(aResponse)
  , mCall(aCall)
{
}

bool event_parser::HandleBytes(std::string_view aPiece)
{
  mResponse.mBody += aPiece;
  mPending += aPiece;
  for (std::size_t end = mPending.find(kEventEnd); end != std::string::npos; end = mPending.find(kEventEnd)) {
    const std::string event = mPending.substr(0, end);
    mPending.erase(0, end + kEventEnd.size());
    if (!HandleEvent(event)) {
      return false;
    }
  }
  return true;
}

bool event_parser::HandleEvent(std::string_view aEvent)
{
  std::string id;
  std::string data;
  while (!aEvent.empty()) {
    const std::string_view line = aEvent.substr(0, aEvent.find('\n'));
    aEvent.remove_prefix(std::min(aEvent.size(), line.size() + 1));
    if (line.starts_with("id: ")) {
      id = line.substr(4);
    } else if (line.starts_with("data: ")) {
      data += line.substr(6);
    }
  }
  return data.empty() || HandleData(data, id);
}

bool event_parser::HandleData(std::string_view aData, const std::string& aId)
{
  mResponse.mStream.mDone = aData == "[DONE]";
  if (mResponse.mStream.mDone) {
    return true;
  }
  boost::system::error_code error;
  const json::value event = json::parse(aData, error);
  if (error) {
    return true;
  }
  if (const std::string outcome = TextAt(event, "/error/outcome"); !outcome.empty()) {
    mResponse.mOutcome = outcome;
    return true;
  }
  const std::string delta = TextAt(event, "/choices/0/delta/content");
  const std::string text = delta.empty() ? TextAt(event, "/choices/0/text") : delta;
  if (const std::string reason = TextAt(event, "/choices/0/finish_reason"); !reason.empty()) {
    mResponse.mStream.mFinishReason = reason;
  }
  if (text.empty()) {
    return true;
  }
  mResponse.mStream.mText += text;
  mResponse.mLastEventId = aId;
  ++mResponse.mTokens;
  if (mCall.mOnEventId) {
    mCall.mOnEventId(aId);
  }
  return !mCall.mOnToken || mCall.mOnToken(mResponse.mTokens);
}

caller::caller(net::endpoint aEntry, std::string aKey)
  : mEntry(std::move(aEntry))
  , mKey(std::move(aKey))
{
}

response caller::Complete(const completion_call& aCall) const
{
  net::http_request request;
  request.mMethod = "POST";
  request.mTarget = aCall.mIsChat ? "/v1/chat/completions" : "/v1/completions";
  request.mHeaders.Set("Content-Type", "application/json");
  if (!aCall.mLastEventId.empty()) {
    request.mHeaders.Set("Last-Event-ID", aCall.mLastEventId);
  }
  request.mBody = json::serialize(BodyOf(aCall));
  if (!aCall.mIsStream) {
    return Send(std::move(request));
  }
  response result;
  event_parser reader(result, aCall);
  const auto reply =
    net::StreamBlocking(mEntry, Authorized(std::move(request)), kResponseTimeout, [&](std::string_view aPiece) {
      return reader.HandleBytes(aPiece);
    });
  CopyHead(reply, result);
  if (result.mStatus != 200 && result.mStatus != 0) {
    ParseBody(result);
  }
  return result;
}

response caller::Book(const std::string& aBody, const std::string& aIdempotencyKey) const
{
  net::http_request request;
  request.mMethod = "POST";
  request.mTarget = "/services/bookings/reserve";
  if (!aIdempotencyKey.empty()) {
    request.mHeaders.Set("Idempotency-Key", aIdempotencyKey);
  }
  request.mBody = aBody;
  return Send(std::move(request));
}

response caller::Stock() const
{
  net::http_request request;
  request.mTarget = "/services/stock/rope";
  return Send(std::move(request));
}

response caller::Send(net::http_request aRequest) const
{
  response result;
  const auto reply = net::FetchBlocking(mEntry, Authorized(std::move(aRequest)), kResponseTimeout);
  CopyHead(reply, result);
  if (reply) {
    result.mBody = reply.value().mBody;
    ParseBody(result);
  }
  return result;
}

net::http_request caller::Authorized(net::http_request aRequest) const
{
  aRequest.mHeaders.Set("Authorization", "Bearer " + mKey);
  return aRequest;
}

booking_outcome OutcomeOf(const response& aResponse)
{
  if (aResponse.mNetError) {
    return aResponse.mNetError->mMaybeSent ? booking_outcome::Unknown : booking_outcome::NotRun;
  }
  if (aResponse.mStatus >= 200 && aResponse.mStatus < 300) {
    return booking_outcome::Booked;
  }
  if (aResponse.mOutcome == "not_run") {
    return booking_outcome::NotRun;
  }
  return aResponse.mOutcome == "failed" ? booking_outcome::Failed : booking_outcome::Unknown;
}

} // namespace chervilpulley::processes
