#pragma once

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

#include "config/config_view.h"
#include "entry/api_reply.h"
#include "entry/api_request.h"
#include "entry/completion_run.h"
#include "entry/request_router.h"
#include "entry/service_run.h"
#include "net/http_server.h"
#include "runtime/process.h"

/// The HTTP API for callers: completions, chats, models and plain services. It authenticates requests, applies rate
/// limits and resumes streams.
namespace chervilpulley::entry {

/// Settings of the API.
struct caller_options
{
  std::string mClusterKey;                             ///< signs the event ids
  duration mDefaultDeadline = std::chrono::minutes(5); ///< of a completion; callers can only shorten it
  duration mStallFloor = std::chrono::seconds(1);      ///< a link that is silent for longer counts as lost
};

/// Handles the HTTP requests of callers. Thread-safe.
class caller_api : public ref_counted
{
public:
  /// Returns the current configuration.
  using view_source = std::function<ref<const config::config_view>()>;
  /// Returns the current list of live instances.
  using live_source = std::function<std::vector<platform::live_instance>()>;
  caller_api(const completion_context& aContext, view_source aView, live_source aLive, caller_options aOptions);
  /// From now on requests that would not end before aEnd are rejected.
  void EndBy(instant aEnd) { mEnd = aEnd; }
  /// Handles one request; runs on the connection's strand.
  boost::asio::awaitable<void> HandleRequest(net::http_exchange& aExchange);

private:
  /// Sends a complete reply and counts it by its status.
  boost::asio::awaitable<void> SendReply(net::http_exchange& aExchange, net::http_reply aReply);
  /// Sends an error reply; also counts the refusal if the request was unauthorized or invalid.
  boost::asio::awaitable<void> SendError(net::http_exchange& aExchange, api_error aError);
  boost::asio::awaitable<void> HandleModels(net::http_exchange& aExchange, const config::config_view& aView);
  boost::asio::awaitable<void> HandleCompletion(net::http_exchange& aExchange,
                                                const config::config_view& aView,
                                                const admin::workspace& aWorkspace,
                                                api_style aStyle);
  boost::asio::awaitable<void> RunCompletion(net::http_exchange& aExchange,
                                             completion_job aJob,
                                             const completion_request& aRequest);
  /// Waits for the link to a sidecar, and requests it if there is none. Null if the sidecar is unknown; without
  /// a link if the wait times out.
  boost::asio::awaitable<ref<link::provider>> WaitForLink(instance_id aSidecar);
  /// Loads the state of a stream from the sidecar that keeps it; aNext is the first position that the caller lacks.
  boost::asio::awaitable<std::optional<api_error>> ResumeStream(completion_job& aJob,
                                                                ref<request_mailbox> aMailbox,
                                                                const std::string& aLastEventId,
                                                                token_position& aNext);
  boost::asio::awaitable<void> HandleService(net::http_exchange& aExchange,
                                             const config::config_view& aView,
                                             const admin::workspace& aWorkspace);
  /// Runs a completion and sends its output in one reply.
  boost::asio::awaitable<void> RunWhole(net::http_exchange& aExchange,
                                        completion_job aJob,
                                        completion_identity aIdentity,
                                        ref<request_mailbox> aMailbox);
  /// Runs a completion and streams its output from aNext on.
  boost::asio::awaitable<void> RunStream(net::http_exchange& aExchange,
                                         completion_job aJob,
                                         completion_identity aIdentity,
                                         ref<request_mailbox> aMailbox,
                                         token_position aNext,
                                         bool aIncludeUsage);
  service_job ServiceJobOf(const net::http_request& aRequest,
                           const admin::workspace& aWorkspace,
                           const admin::route& aRoute,
                           std::string_view aPath) const;
  net::http_reply ReplyOf(const service_result& aResult) const;
  std::optional<api_error> CheckRate(const admin::workspace& aWorkspace);
  /// Whether a request that produces aTokens more tokens ends before the process does.
  bool CanEnd(std::size_t aTokens) const;
  duration DeadlineOf(const net::http_request& aRequest, duration aDefault) const;

  completion_context mContext;
  request_router& mRouter;
  view_source mView;
  live_source mLive;
  caller_options mOptions;
  std::atomic<instant> mEnd{ instant::max() };
};

} // namespace chervilpulley::entry
