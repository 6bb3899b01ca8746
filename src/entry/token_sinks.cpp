#include "entry/token_sinks.h"

#include "entry/event_id.h"

namespace chervilpulley::entry {

event_stream_sink::event_stream_sink(net::http_exchange& aExchange,
                                     completion_identity aIdentity,
                                     request_id aRequest,
                                     workspace_id aWorkspace,
                                     std::string aKey)
  : mExchange(aExchange)
  , mIdentity(std::move(aIdentity))
  , mRequest(std::move(aRequest))
  , mWorkspace(std::move(aWorkspace))
  , mKey(std::move(aKey))
{
}

boost::asio::awaitable<bool> event_stream_sink::Begin()
{
  mHasBegun = true;
  net::http_reply head;
  head.mHeaders.Set("Content-Type", "text/event-stream");
  head.mHeaders.Set("Cache-Control", "no-cache");
  head.mHeaders.Set("X-Request-Id", mIdentity.mId);
  const auto begun = co_await mExchange.Begin(std::move(head));
  co_return begun.has_value();
}

boost::asio::awaitable<bool> event_stream_sink::Deliver(const output_token& aToken)
{
  if (aToken.mPosition < mNext) {
    co_return true;
  }
  if (!mHasBegun && !co_await Begin()) {
    co_return false;
  }
  mNext = aToken.mPosition.Next();
  const std::string id = WriteEventId({ mRequest, mNext, aToken.mHead, mWorkspace }, mKey);
  const auto written = co_await mExchange.Write(Event(id, ChunkJson(mIdentity, aToken.mText, aToken.mFinishReason)));
  co_return written.has_value();
}

boost::asio::awaitable<void> event_stream_sink::Finish(bool aIncludeUsage, const token_usage& aUsage)
{
  if (!mHasBegun) {
    co_await Begin();
  }
  std::string tail;
  if (aIncludeUsage) {
    tail = Event("", UsageChunkJson(mIdentity, aUsage));
  }
  co_await mExchange.Write(tail + Event("", "[DONE]"));
  co_await mExchange.End();
}

boost::asio::awaitable<void> event_stream_sink::Fail(const api_error& aError)
{
  co_await mExchange.Write(Event("", ErrorBody(aError)));
  co_await mExchange.End();
}

boost::asio::awaitable<bool> collecting_sink::Deliver(const output_token& aToken)
{
  mText += aToken.mText;
  mFinishReason = aToken.mFinishReason;
  co_return true;
}

} // namespace chervilpulley::entry
