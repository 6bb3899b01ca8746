#pragma once

#include <string>

#include "entry/api_reply.h"
#include "entry/completion_run.h"
#include "net/http_server.h"

/// Sinks that forward the output of a completion to the caller, as a stream of events or collected into one reply.
/// An event stream can be resumed after the connection or the entry is lost, so each event carries a signed id.
namespace chervilpulley::entry {

/// Sends each token to the caller as a server-sent event. The response headers are sent with the first token.
class event_stream_sink : public token_sink
{
public:
  event_stream_sink(net::http_exchange& aExchange,
                    completion_identity aIdentity,
                    request_id aRequest,
                    workspace_id aWorkspace,
                    std::string aKey);
  /// Skips tokens below this position, which the caller received before it resumed the stream.
  void SkipBelow(token_position aNext) { mNext = aNext; }
  boost::asio::awaitable<bool> Deliver(const output_token& aToken) override;
  /// Ends the stream after the complete output, with a usage chunk if the caller requested one.
  boost::asio::awaitable<void> Finish(bool aIncludeUsage, const token_usage& aUsage);
  /// Ends a stream that has begun with an error event.
  boost::asio::awaitable<void> Fail(const api_error& aError);
  /// Whether the response headers were sent, after which an error can only be an event of the stream.
  bool HasBegun() const { return mHasBegun; }

private:
  boost::asio::awaitable<bool> Begin();

  net::http_exchange& mExchange;
  completion_identity mIdentity;
  request_id mRequest;
  workspace_id mWorkspace;
  std::string mKey;     ///< signs the event ids
  token_position mNext; ///< first position to send
  bool mHasBegun = false;
};

/// Collects the output, for a caller that gets it in one reply.
class collecting_sink : public token_sink
{
public:
  boost::asio::awaitable<bool> Deliver(const output_token& aToken) override;
  const std::string& Text() const { return mText; }
  const std::string& FinishReason() const { return mFinishReason; }

private:
  std::string mText;
  std::string mFinishReason;
};

} // namespace chervilpulley::entry
