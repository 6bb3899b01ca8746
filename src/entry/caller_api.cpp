#include "entry/caller_api.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

#include "base/clock.h"
#include "base/random.h"
#include "entry/event_id.h"
#include "entry/prompt_traits.h"
#include "entry/token_sinks.h"

namespace chervilpulley::entry {

namespace {

constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kMaxCallerIdLength = 128;
constexpr duration kResumeTimeout = std::chrono::seconds(2);
/// A request that has less time left before the end of the process is not begun.
constexpr duration kShortestRequest = std::chrono::milliseconds(500);
constexpr duration kLinkCheckInterval = std::chrono::milliseconds(10);
constexpr duration kDefaultServiceTimeout = std::chrono::seconds(30);
constexpr std::uint32_t kDefaultRetentionHours = 72;
constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kBearer = "Bearer ";

std::string_view ApiKeyOf(const net::http_request& aRequest)
{
  std::string_view value = aRequest.mHeaders.Get("Authorization");
  if (!value.starts_with(kBearer)) {
    return {};
  }
  value.remove_prefix(kBearer.size());
  return value;
}

std::string ResponseIdOf(const net::http_request& aRequest, const request_id& aRequestId)
{
  const std::string_view given = aRequest.mHeaders.Get("X-Request-Id");
  return given.empty() ? aRequestId.Str() : std::string(given.substr(0, kMaxCallerIdLength));
}

/// Keeps the mailbox of a request registered with the router for its own lifetime.
class mailbox_registration
{
public:
  mailbox_registration(request_router& aRouter, const request_id& aRequest, const ref<request_mailbox>& aMailbox)
    : mRouter(aRouter)
    , mRequest(aRequest)
  {
    mRouter.Register(mRequest, aMailbox);
  }
  mailbox_registration(const mailbox_registration&) = delete;
  mailbox_registration& operator=(const mailbox_registration&) = delete;
  ~mailbox_registration() { mRouter.Unregister(mRequest); }

private:
  request_router& mRouter;
  request_id mRequest;
};

/// Creates the mailbox of a request, which is also notified when the caller disconnects.
ref<request_mailbox> WatchCaller(net::http_exchange& aExchange)
{
  auto mailbox = MakeRef<request_mailbox>(aExchange.Executor());
  aExchange.OnHangUp([mailbox] { mailbox->Push({ request_event::kind::CallerDisconnected, nullptr, {} }); });
  return mailbox;
}

/// Identifies requests with the same content, so that a faulty request is recognized when the caller sends it again.
request_digest DigestOf(const completion_job& aJob)
{
  const char separator = '\0';
  const std::string text = aJob.mWorkspace.Str() + separator + aJob.mModel + separator +
                           std::to_string(aJob.mMaxTokens) + separator + aJob.mPrompt;
  return request_digest(StableHash(text));
}

/// Whether a header is forwarded. Headers that belong to one connection, or that only this system may see, are not.
bool IsForwarded(std::string_view aName)
{
  static const std::set<std::string> kUnforwardedHeaders{ "authorization", "connection",         "content-length",
                                                          "host",          "keep-alive",         "transfer-encoding",
                                                          "upgrade",       "x-request-id",       "te",
                                                          "trailer",       "proxy-authorization" };
  std::string lower;
  for (const char c : aName) {
    lower.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
  }
  return !kUnforwardedHeaders.contains(lower);
}

} // namespace

caller_api::caller_api(const completion_context& aContext,
                       view_source aView,
                       live_source aLive,
                       caller_options aOptions)
  : mContext(aContext)
  , mRouter(aContext.mRouter)
  , mView(std::move(aView))
  , mLive(std::move(aLive))
  , mOptions(std::move(aOptions))
{
}

boost::asio::awaitable<void> caller_api::HandleRequest(net::http_exchange& aExchange)
{
  const ref<caller_api> self(this);
  const auto view = mView();
  const net::http_request& request = aExchange.Request();
  const admin::workspace* workspace = view->WorkspaceOfKey(ApiKeyOf(request));
  if (workspace == nullptr) {
    // GCC 12 destroys braced temporaries in a co_await expression twice, so this file uses named variables.
    const api_error error{
      401, "authentication_error", "the API key is missing or not valid", link::OUTCOME_NOT_RUN, std::nullopt
    };
    co_await SendError(aExchange, error);
    co_return;
  }
  if (const auto limited = CheckRate(*workspace)) {
    co_await SendError(aExchange, *limited);
    co_return;
  }
  const std::string_view path = net::PathOf(request.mTarget);
  const bool isPost = request.mMethod == "POST";
  if (path == "/v1/models" && request.mMethod == "GET") {
    co_await HandleModels(aExchange, *view);
  } else if (path == "/v1/completions" && isPost) {
    co_await HandleCompletion(aExchange, *view, *workspace, api_style::Completion);
  } else if (path == "/v1/chat/completions" && isPost) {
    co_await HandleCompletion(aExchange, *view, *workspace, api_style::Chat);
  } else if (path.starts_with(kServicesPath)) {
    co_await HandleService(aExchange, *view, *workspace);
  } else {
    co_await SendError(aExchange, BadRequest(404, request.mMethod + " " + std::string(path) + " does not exist"));
  }
}

boost::asio::awaitable<void> caller_api::SendReply(net::http_exchange& aExchange, net::http_reply aReply)
{
  mContext.mMetrics.Response(aReply.mStatus);
  co_await aExchange.Reply(std::move(aReply));
}

boost::asio::awaitable<void> caller_api::SendError(net::http_exchange& aExchange, api_error aError)
{
  if (aError.mStatus == 401) {
    mContext.mMetrics.Refusal(metrics::refusal_cause::Unauthorized);
  } else if (aError.mStatus == 400 || aError.mStatus == 404) {
    mContext.mMetrics.Refusal(metrics::refusal_cause::BadRequest);
  }
  co_await SendReply(aExchange, ErrorReply(aError));
}

boost::asio::awaitable<void> caller_api::HandleModels(net::http_exchange& aExchange, const config::config_view& aView)
{
  boost::json::array models;
  for (const admin::model_version* model : aView.Models()) {
    models.push_back(boost::json::object{ { "id", model->name() }, { "object", "model" } });
  }
  boost::json::object body;
  body["object"] = "list";
  body["data"] = std::move(models);
  net::http_reply reply = net::JsonReply(200, boost::json::serialize(body));
  co_await SendReply(aExchange, std::move(reply));
}

std::optional<api_error> caller_api::CheckRate(const admin::workspace& aWorkspace)
{
  const auto wait =
    mContext.mGuard.ConsumeRate(workspace_id(aWorkspace.name()), aWorkspace.requests_per_second(), Now());
  if (!wait) {
    return std::nullopt;
  }
  mContext.mMetrics.Refusal(metrics::refusal_cause::RateLimited);
  return api_error{ 429,
                    "rate_limit_error",
                    "workspace \"" + aWorkspace.name() + "\" has used its " +
                      std::to_string(aWorkspace.requests_per_second()) + " requests a second",
                    link::OUTCOME_NOT_RUN,
                    *wait };
}

duration caller_api::DeadlineOf(const net::http_request& aRequest, duration aDefault) const
{
  const std::string_view text = aRequest.mHeaders.Get("X-Deadline-Ms");
  std::int64_t milliseconds = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (parsed.ec != std::errc() || milliseconds <= 0) {
    return aDefault;
  }
  return std::min<duration>(std::chrono::milliseconds(milliseconds), aDefault);
}

bool caller_api::CanEnd(std::size_t aTokens) const
{
  const instant end = mEnd;
  if (end == instant::max()) {
    return true;
  }
  return Now() + kShortestRequest + static_cast<duration::rep>(aTokens) * mRouter.TokenGap() < end;
}

boost::asio::awaitable<void> caller_api::HandleCompletion(net::http_exchange& aExchange,
                                                          const config::config_view& aView,
                                                          const admin::workspace& aWorkspace,
                                                          api_style aStyle)
{
  const auto request = ReadCompletionRequest(aStyle, aExchange.Request().mBody);
  if (request.has_error()) {
    co_await SendError(aExchange, request.error());
    co_return;
  }
  const admin::model_version* model = aView.FindModel(model_name(request.value().mModel));
  if (model == nullptr) {
    co_await SendError(aExchange, BadRequest(404, "model \"" + request.value().mModel + "\" does not exist"));
    co_return;
  }
  completion_job job;
  job.mRequest = request_id(RandomHex(kRequestIdBytes));
  job.mWorkspace = workspace_id(aWorkspace.name());
  job.mPool = pool_name(model->pool());
  job.mModel = model->name();
  job.mLayerCount = model->layer_count();
  job.mPrompt = request.value().mPrompt;
  job.mPromptTokens = CountTokens(request.value().mPrompt);
  job.mMaxTokens = request.value().mMaxTokens;
  job.mPriority = aWorkspace.priority();
  job.mDigest = DigestOf(job);
  job.mTraits = PromptTraits(job.mModel, job.mPrompt, job.mDigest);
  job.mArrived = Now();
  job.mDeadline = job.mArrived + DeadlineOf(aExchange.Request(), mOptions.mDefaultDeadline);
  job.mStallFloor = mOptions.mStallFloor;
  co_await RunCompletion(aExchange, std::move(job), request.value());
}

boost::asio::awaitable<ref<link::provider>> caller_api::WaitForLink(instance_id aSidecar)
{
  ref<link::provider> known = mRouter.Links().Find(aSidecar);
  const auto live = mLive();
  const auto listed =
    std::find_if(live.begin(), live.end(), [&](const auto& aListed) { return aListed.mInstance == aSidecar; });
  if (!known && listed != live.end()) {
    known = mRouter.Links().AddWanted(*listed, Now());
  }
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  const instant deadline = Now() + kResumeTimeout;
  while (known && !known->Link() && Now() < deadline) {
    timer.expires_after(kLinkCheckInterval);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  co_return known;
}

boost::asio::awaitable<std::optional<api_error>> caller_api::ResumeStream(completion_job& aJob,
                                                                          ref<request_mailbox> aMailbox,
                                                                          const std::string& aLastEventId,
                                                                          token_position& aNext)
{
  const auto id = ReadEventId(aLastEventId, mOptions.mClusterKey);
  if (!id || id->mWorkspace != aJob.mWorkspace) {
    co_return BadRequest(400, "Last-Event-ID is not an id of this workspace's streams");
  }
  const api_error streamGoneError{
    410, "server_error", "the stream is not kept any more; send the request again", link::OUTCOME_FAILED, std::nullopt
  };
  const ref<link::provider> head = co_await WaitForLink(id->mHead);
  if (!head) {
    co_return streamGoneError;
  }
  link::frame resume = link::AttemptFrame(id->mRequest, {});
  resume.mutable_resume()->set_workspace(aJob.mWorkspace.Str());
  resume.mutable_resume()->set_next_position(id->mNext.Value());
  mRouter.Links().Send(head, std::move(resume));
  const auto event = co_await aMailbox->Pop(Now() + kResumeTimeout);
  if (event && event->mKind == request_event::kind::Stopping) {
    co_return StoppingError();
  }
  if (!event || !event->mFrame.has_state() || !event->mFrame.state().found()) {
    co_return streamGoneError;
  }
  const link::stream_state& state = event->mFrame.state();
  aJob.mPrompt = state.open().prompt();
  aJob.mPromptTokens = state.open().prompt_tokens();
  aJob.mMaxTokens = state.open().max_tokens();
  aJob.mTokens.assign(state.open().delivered().begin(), state.open().delivered().end());
  aJob.mFinishReason = state.finish_reason();
  aJob.mLastAttempt = state.attempt();
  aJob.mHolders.assign(state.chain().begin(), state.chain().end());
  aNext = id->mNext;
  co_return std::nullopt;
}

boost::asio::awaitable<void> caller_api::RunCompletion(net::http_exchange& aExchange,
                                                       completion_job aJob,
                                                       const completion_request& aRequest)
{
  const auto mailbox = WatchCaller(aExchange);
  const std::string lastEventId(aExchange.Request().mHeaders.Get("Last-Event-ID"));
  const auto id = ReadEventId(lastEventId, mOptions.mClusterKey);
  if (id && id->mWorkspace == aJob.mWorkspace) {
    aJob.mRequest = id->mRequest;
  }
  const mailbox_registration registered(mRouter, aJob.mRequest, mailbox);
  token_position next;
  if (!lastEventId.empty()) {
    if (const auto error = co_await ResumeStream(aJob, mailbox, lastEventId, next)) {
      co_await SendError(aExchange, *error);
      co_return;
    }
  }
  if (aJob.mFinishReason.empty() &&
      !CanEnd(aJob.mMaxTokens - std::min<std::size_t>(aJob.mMaxTokens, aJob.mTokens.size()))) {
    co_await SendError(aExchange, StoppingError());
    co_return;
  }
  completion_identity identity{ aRequest.mStyle, ResponseIdOf(aExchange.Request(), aJob.mRequest), aJob.mModel, 0 };
  identity.mCreatedUnix = std::chrono::duration_cast<std::chrono::seconds>(CalendarNow().time_since_epoch()).count();
  if (aRequest.mStream) {
    co_await RunStream(aExchange, std::move(aJob), identity, mailbox, next, aRequest.mIncludeUsage);
  } else {
    co_await RunWhole(aExchange, std::move(aJob), identity, mailbox);
  }
}

boost::asio::awaitable<void> caller_api::RunWhole(net::http_exchange& aExchange,
                                                  completion_job aJob,
                                                  completion_identity aIdentity,
                                                  ref<request_mailbox> aMailbox)
{
  collecting_sink sink;
  for (std::size_t i = 0; i < aJob.mTokens.size(); ++i) {
    const output_token token{ token_position(i), aJob.mTokens[i], aJob.mFinishReason, instance_id() };
    co_await sink.Deliver(token);
  }
  const std::uint32_t promptTokens = aJob.mPromptTokens;
  completion_run run(mContext, aMailbox, std::move(aJob));
  const completion_result end = co_await run.Run(sink);
  if (end.mError) {
    co_await SendError(aExchange, *end.mError);
  } else if (end.mIsComplete) {
    const token_usage usage{ promptTokens, run.TokenCount() };
    net::http_reply reply = net::JsonReply(200, CompletionJson(aIdentity, sink.Text(), sink.FinishReason(), usage));
    reply.mHeaders.Set("X-Request-Id", aIdentity.mId);
    co_await SendReply(aExchange, std::move(reply));
  }
}

boost::asio::awaitable<void> caller_api::RunStream(net::http_exchange& aExchange,
                                                   completion_job aJob,
                                                   completion_identity aIdentity,
                                                   ref<request_mailbox> aMailbox,
                                                   token_position aNext,
                                                   bool aIncludeUsage)
{
  event_stream_sink sink(aExchange, aIdentity, aJob.mRequest, aJob.mWorkspace, mOptions.mClusterKey);
  sink.SkipBelow(aNext);
  aJob.mIsResumable = true;
  const instance_id head(aJob.mHolders.empty() ? "" : aJob.mHolders.front());
  for (std::size_t i = 0; i < aJob.mTokens.size(); ++i) {
    const bool isLast = i + 1 == aJob.mTokens.size();
    const output_token token{ token_position(i), aJob.mTokens[i], isLast ? aJob.mFinishReason : "", head };
    co_await sink.Deliver(token);
  }
  const std::uint32_t promptTokens = aJob.mPromptTokens;
  completion_run run(mContext, aMailbox, std::move(aJob));
  const completion_result end = co_await run.Run(sink);
  if (end.mIsComplete) {
    const token_usage usage{ promptTokens, run.TokenCount() };
    mContext.mMetrics.Response(200);
    co_await sink.Finish(aIncludeUsage, usage);
  } else if (end.mError && sink.HasBegun()) {
    mContext.mMetrics.InterruptedResponse();
    co_await sink.Fail(*end.mError);
  } else if (end.mError) {
    co_await SendError(aExchange, *end.mError);
  }
}

service_job caller_api::ServiceJobOf(const net::http_request& aRequest,
                                     const admin::workspace& aWorkspace,
                                     const admin::route& aRoute,
                                     std::string_view aPath) const
{
  service_job job;
  job.mRequest = request_id(RandomHex(kRequestIdBytes));
  job.mPool = pool_name(aRoute.pool());
  job.mStallFloor = mOptions.mStallFloor;
  const duration timeout =
    aRoute.timeout_ms() > 0 ? duration(std::chrono::milliseconds(aRoute.timeout_ms())) : kDefaultServiceTimeout;
  job.mDeadline = Now() + DeadlineOf(aRequest, timeout);
  link::service_call& call = job.mCall;
  call.set_workspace(aWorkspace.name());
  call.set_route(aRoute.name());
  call.set_method(aRequest.mMethod);
  call.set_path(aPath.front() == '/' ? std::string(aPath) : "/" + std::string(aPath));
  call.set_body(aRequest.mBody);
  call.set_idempotent(aRoute.idempotent());
  call.set_idempotency_key(aRoute.idempotent() ? "" : std::string(aRequest.mHeaders.Get("Idempotency-Key")));
  const std::uint32_t hours = aRoute.retention_hours() > 0 ? aRoute.retention_hours() : kDefaultRetentionHours;
  const std::chrono::milliseconds retention = std::chrono::hours(hours);
  call.set_retention_ms(static_cast<std::uint64_t>(retention.count()));
  call.set_priority(aWorkspace.priority());
  for (const auto& header : aRequest.mHeaders.All()) {
    if (IsForwarded(header.mName)) {
      link::header* added = call.add_headers();
      added->set_name(header.mName);
      added->set_value(header.mValue);
    }
  }
  return job;
}

net::http_reply caller_api::ReplyOf(const service_result& aResult) const
{
  if (aResult.has_error()) {
    return ErrorReply(aResult.error());
  }
  const link::service_reply& response = aResult.value();
  net::http_reply reply;
  reply.mStatus = response.status();
  for (const auto& header : response.headers()) {
    if (IsForwarded(header.name())) {
      reply.mHeaders.Set(header.name(), header.value());
    }
  }
  reply.mBody = response.body();
  if (response.replayed()) {
    reply.mHeaders.Set("Idempotent-Replayed", "true");
  }
  return reply;
}

boost::asio::awaitable<void> caller_api::HandleService(net::http_exchange& aExchange,
                                                       const config::config_view& aView,
                                                       const admin::workspace& aWorkspace)
{
  const net::http_request& request = aExchange.Request();
  const std::string_view rest = std::string_view(request.mTarget).substr(kServicesPath.size());
  const auto end = rest.find_first_of("/?");
  const std::string name(rest.substr(0, end));
  const admin::route* route = aView.FindRoute(workspace_id(aWorkspace.name()), route_name(name));
  if (route == nullptr) {
    co_await SendError(
      aExchange, BadRequest(404, "route \"" + name + "\" does not exist in workspace \"" + aWorkspace.name() + "\""));
    co_return;
  }
  const std::string key(request.mHeaders.Get("Idempotency-Key"));
  if (route->key_required() && key.empty()) {
    co_await SendError(aExchange, BadRequest(400, "route \"" + name + "\" needs an Idempotency-Key"));
    co_return;
  }
  if (!CanEnd(0)) {
    co_await SendError(aExchange, StoppingError());
    co_return;
  }
  service_job job = ServiceJobOf(request, aWorkspace, *route, end == std::string_view::npos ? "/" : rest.substr(end));
  const std::string responseId = ResponseIdOf(request, job.mRequest);
  const auto mailbox = WatchCaller(aExchange);
  const mailbox_registration registered(mRouter, job.mRequest, mailbox);
  service_run run(mRouter, mailbox, std::move(job));
  const service_result result = co_await run.Run();
  net::http_reply reply = ReplyOf(result);
  reply.mHeaders.Set("X-Request-Id", responseId);
  co_await SendReply(aExchange, std::move(reply));
}

} // namespace chervilpulley::entry
