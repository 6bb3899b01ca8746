#pragma once

#include <string>

#include "entry/api_reply.h"
#include "entry/completion_run.h"
#include "net/http_server.h"

/// Ways to give an answer to a caller.
namespace chervilpulley::entry {

/// Streams each token as a server-sent event.
class event_stream_sink : public token_sink
{
public:
  event_stream_sink(net::http_exchange& aExchange,
                    completion_identity aIdentity,
                    request_id aRequest,
                    workspace_id aWorkspace,
                    std::string aKey);
  /// Tokens below this position are not sent: the caller has them.
  void SkipBelow(token_position aNext) { mNext = aNext; }
  boost::asio::awaitable<bool> Deliver(const output_token& aToken) override;
  /// Ends the stream after a whole answer.
  boost::asio::awaitable<void> Finish(bool aIncludeUsage, const token_usage& aUsage);
  /// Ends the stream with an error event.
  boost::asio::awaitable<void> Fail(const api_error& aError);
  bool HasBegun() const { return mHasBegun; }

private:
  boost::asio::awaitable<bool> Begin();

  net::http_exchange& mExchange;
  completion_identity mIdentity;
  request_id mRequest;
  workspace_id mWorkspace;
  std::string mKey;
  token_position mNext;
  bool mHasBegun = false;
};

/// Collects the answer, to be sent whole.
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
