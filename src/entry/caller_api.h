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

/// The callers' interface: completions, chats, models and plain services.
namespace chervilpulley::entry {

struct caller_options
{
  std::string mClusterKey;
  duration mDefaultDeadline = std::chrono::minutes(5);
  duration mStallFloor = std::chrono::seconds(1);
};

/// Answers the requests of callers. Thread-safe.
class caller_api : public ref_counted
{
public:
  using view_source = std::function<ref<const config::config_view>()>;
  using live_source = std::function<std::vector<platform::live_instance>()>;
  caller_api(const completion_context& aContext, view_source aView, live_source aLive, caller_options aOptions);
  /// Answers one request; runs on the connection's strand.
  boost::asio::awaitable<void> HandleRequest(net::http_exchange& aExchange);

private:
  /// Sends a whole answer and counts it.
  boost::asio::awaitable<void> SendReply(net::http_exchange& aExchange, net::http_reply aReply);
  boost::asio::awaitable<void> SendError(net::http_exchange& aExchange, api_error aError);
  boost::asio::awaitable<void> HandleModels(net::http_exchange& aExchange, const config::config_view& aView);
  boost::asio::awaitable<void> HandleCompletion(net::http_exchange& aExchange,
                                                const config::config_view& aView,
                                                const admin::workspace& aWorkspace,
                                                api_style aStyle);
  boost::asio::awaitable<void> RunCompletion(net::http_exchange& aExchange,
                                             completion_job aJob,
                                             const completion_request& aRequest);
  boost::asio::awaitable<ref<link::provider>> WaitForLink(instance_id aSidecar);
  boost::asio::awaitable<std::optional<api_error>> ResumeStream(completion_job& aJob,
                                                                ref<request_mailbox> aMailbox,
                                                                const std::string& aLastEventId,
                                                                token_position& aNext);
  boost::asio::awaitable<void> HandleService(net::http_exchange& aExchange,
                                             const config::config_view& aView,
                                             const admin::workspace& aWorkspace);
  boost::asio::awaitable<void> RunWhole(net::http_exchange& aExchange,
                                        completion_job aJob,
                                        completion_identity aIdentity,
                                        ref<request_mailbox> aMailbox);
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
  duration DeadlineOf(const net::http_request& aRequest, duration aDefault) const;

  completion_context mContext;
  request_router& mRouter;
  view_source mView;
  live_source mLive;
  caller_options mOptions;
};

} // namespace chervilpulley::entry
