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
constexpr duration kAnswerLimit = std::chrono::seconds(60);

/// The text at a path of keys and indices; empty when there is none.
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

/// Takes the head of a reply into the answer.
void TakeHead(const net::net_result<net::http_reply>& aReply, answer& aAnswer)
{
  if (!aReply) {
    aAnswer.mNetError = aReply.error();
    return;
  }
  aAnswer.mStatus = aReply.value().mStatus;
  aAnswer.mHeaders = aReply.value().mHeaders;
  aAnswer.mRequest = aReply.value().mHeaders.Get("X-Request-Id");
}

/// Takes what a whole JSON body says into the answer.
void TakeWhole(answer& aAnswer)
{
  boost::system::error_code error;
  const json::value body = json::parse(aAnswer.mBody, error);
  if (error) {
    return;
  }
  aAnswer.mOutcome = TextAt(body, "/error/outcome");
  const std::string content = TextAt(body, "/choices/0/message/content");
  aAnswer.mStream.mText = content.empty() ? TextAt(body, "/choices/0/text") : content;
  aAnswer.mStream.mFinishReason = TextAt(body, "/choices/0/finish_reason");
  aAnswer.mStream.mDone = aAnswer.mStatus == 200;
}

} // namespace

event_reader::event_reader(answer& aAnswer, const completion_call& aCall)
  : mAnswer(aAnswer)
  , mCall(aCall)
{
}

bool event_reader::Take(std::string_view aPiece)
{
  mAnswer.mBody += aPiece;
  mPending += aPiece;
  for (std::size_t end = mPending.find(kEventEnd); end != std::string::npos; end = mPending.find(kEventEnd)) {
    const std::string event = mPending.substr(0, end);
    mPending.erase(0, end + kEventEnd.size());
    if (!TakeEvent(event)) {
      return false;
    }
  }
  return true;
}

bool event_reader::TakeEvent(std::string_view aEvent)
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
  return data.empty() || TakeData(data, id);
}

bool event_reader::TakeData(std::string_view aData, const std::string& aId)
{
  mAnswer.mStream.mDone = aData == "[DONE]";
  if (mAnswer.mStream.mDone) {
    return true;
  }
  boost::system::error_code error;
  const json::value event = json::parse(aData, error);
  if (error) {
    return true;
  }
  if (const std::string outcome = TextAt(event, "/error/outcome"); !outcome.empty()) {
    mAnswer.mOutcome = outcome;
    return true;
  }
  const std::string delta = TextAt(event, "/choices/0/delta/content");
  const std::string text = delta.empty() ? TextAt(event, "/choices/0/text") : delta;
  if (const std::string reason = TextAt(event, "/choices/0/finish_reason"); !reason.empty()) {
    mAnswer.mStream.mFinishReason = reason;
  }
  if (text.empty()) {
    return true;
  }
  mAnswer.mStream.mText += text;
  mAnswer.mLastEventId = aId;
  ++mAnswer.mTokens;
  if (mCall.mOnEventId) {
    mCall.mOnEventId(aId);
  }
  return !mCall.mOnToken || mCall.mOnToken(mAnswer.mTokens);
}

caller::caller(net::endpoint aEntry, std::string aKey)
  : mEntry(std::move(aEntry))
  , mKey(std::move(aKey))
{
}

answer caller::Complete(const completion_call& aCall) const
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
  answer result;
  event_reader reader(result, aCall);
  const auto reply = net::StreamBlocking(
    mEntry, Authorized(std::move(request)), kAnswerLimit, [&](std::string_view aPiece) { return reader.Take(aPiece); });
  TakeHead(reply, result);
  if (result.mStatus != 200 && result.mStatus != 0) {
    TakeWhole(result);
  }
  return result;
}

answer caller::Book(const std::string& aBody, const std::string& aIdempotencyKey) const
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

answer caller::Stock() const
{
  net::http_request request;
  request.mTarget = "/services/stock/rope";
  return Send(std::move(request));
}

answer caller::Send(net::http_request aRequest) const
{
  answer result;
  const auto reply = net::FetchBlocking(mEntry, Authorized(std::move(aRequest)), kAnswerLimit);
  TakeHead(reply, result);
  if (reply) {
    result.mBody = reply.value().mBody;
    TakeWhole(result);
  }
  return result;
}

net::http_request caller::Authorized(net::http_request aRequest) const
{
  aRequest.mHeaders.Set("Authorization", "Bearer " + mKey);
  return aRequest;
}

told ToldBy(const answer& aAnswer)
{
  if (aAnswer.mNetError) {
    return aAnswer.mNetError->mMaybeSent ? told::Unknown : told::NotRun;
  }
  if (aAnswer.mStatus >= 200 && aAnswer.mStatus < 300) {
    return told::Booked;
  }
  if (aAnswer.mOutcome == "not_run") {
    return told::NotRun;
  }
  return aAnswer.mOutcome == "failed" ? told::Failed : told::Unknown;
}

} // namespace chervilpulley::processes
