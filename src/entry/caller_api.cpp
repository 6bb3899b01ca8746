#include "entry/caller_api.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

#include "base/clock.h"
#include "base/random.h"
#include "entry/answer_sinks.h"
#include "entry/event_id.h"

namespace chervilpulley::entry {

namespace {

constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kLongestCallerId = 128;
constexpr duration kTakeUpTimeout = std::chrono::seconds(2);
constexpr duration kLinkCheck = std::chrono::milliseconds(10);
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

std::string AnswerIdOf(const net::http_request& aRequest, const request_id& aRequestId)
{
  const std::string_view given = aRequest.mHeaders.Get("X-Request-Id");
  return given.empty() ? aRequestId.Str() : std::string(given.substr(0, kLongestCallerId));
}

/// Keeps a request's mailbox registered while the request is answered.
class registration
{
public:
  registration(request_router& aRouter, const request_id& aRequest, const ref<request_mailbox>& aMailbox)
    : mRouter(aRouter)
    , mRequest(aRequest)
  {
    mRouter.Register(mRequest, aMailbox);
  }
  registration(const registration&) = delete;
  registration& operator=(const registration&) = delete;
  ~registration() { mRouter.Unregister(mRequest); }

private:
  request_router& mRouter;
  request_id mRequest;
};

ref<request_mailbox> WatchCaller(net::http_exchange& aExchange)
{
  auto mailbox = MakeRef<request_mailbox>(aExchange.Executor());
  aExchange.OnHangUp([mailbox] { mailbox->Push({ request_event::kind::HungUp, nullptr, {} }); });
  return mailbox;
}

request_digest DigestOf(const completion_order& aOrder)
{
  const char separator = '\0';
  const std::string text = aOrder.mWorkspace.Str() + separator + aOrder.mModel + separator +
                           std::to_string(aOrder.mMaxTokens) + separator + aOrder.mPrompt;
  return request_digest(StableHash(text));
}

/// Headers that belong to one connection, or that only this system may see.
bool IsForwarded(std::string_view aName)
{
  static const std::set<std::string> kKeptHeaders{ "authorization", "connection",         "content-length",
                                                   "host",          "keep-alive",         "transfer-encoding",
                                                   "upgrade",       "x-request-id",       "te",
                                                   "trailer",       "proxy-authorization" };
  std::string lower;
  for (const char c : aName) {
    lower.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
  }
  return !kKeptHeaders.contains(lower);
}

} // namespace

caller_api::caller_api(const completion_tools& aTools, view_source aView, live_source aLive, caller_options aOptions)
  : mTools(aTools)
  , mRouter(aTools.mRouter)
  , mView(std::move(aView))
  , mLive(std::move(aLive))
  , mOptions(std::move(aOptions))
{
}

boost::asio::awaitable<void> caller_api::Answer(net::http_exchange& aExchange)
{
  const ref<caller_api> self(this);
  const auto view = mView();
  const net::http_request& request = aExchange.Request();
  const admin::workspace* workspace = view->WorkspaceOfKey(ApiKeyOf(request));
  if (workspace == nullptr) {
    // GCC 12 frees braced temporaries of a co_await expression twice: they get names in this file.
    const api_error error{
      401, "authentication_error", "the API key is missing or not valid", link::OUTCOME_NOT_RUN, std::nullopt
    };
    co_await GiveError(aExchange, error);
    co_return;
  }
  if (const auto limited = CheckRate(*workspace)) {
    co_await GiveError(aExchange, *limited);
    co_return;
  }
  const std::string_view path = net::PathOf(request.mTarget);
  const bool isPost = request.mMethod == "POST";
  if (path == "/v1/models" && request.mMethod == "GET") {
    co_await AnswerModels(aExchange, *view);
  } else if (path == "/v1/completions" && isPost) {
    co_await AnswerCompletion(aExchange, *view, *workspace, api_style::Completion);
  } else if (path == "/v1/chat/completions" && isPost) {
    co_await AnswerCompletion(aExchange, *view, *workspace, api_style::Chat);
  } else if (path.starts_with(kServicesPath)) {
    co_await AnswerService(aExchange, *view, *workspace);
  } else {
    co_await GiveError(aExchange, BadRequest(404, request.mMethod + " " + std::string(path) + " does not exist"));
  }
}

boost::asio::awaitable<void> caller_api::Give(net::http_exchange& aExchange, net::http_reply aReply)
{
  mTools.mMetrics.Answered(aReply.mStatus);
  co_await aExchange.Reply(std::move(aReply));
}

boost::asio::awaitable<void> caller_api::GiveError(net::http_exchange& aExchange, api_error aError)
{
  if (aError.mStatus == 401) {
    mTools.mMetrics.Refusal(metrics::refusal_cause::Unauthorized);
  } else if (aError.mStatus == 400 || aError.mStatus == 404) {
    mTools.mMetrics.Refusal(metrics::refusal_cause::BadRequest);
  }
  co_await Give(aExchange, ErrorReply(aError));
}

boost::asio::awaitable<void> caller_api::AnswerModels(net::http_exchange& aExchange, const config::config_view& aView)
{
  boost::json::array models;
  for (const admin::model_version* model : aView.Models()) {
    models.push_back(boost::json::object{ { "id", model->name() }, { "object", "model" } });
  }
  boost::json::object body;
  body["object"] = "list";
  body["data"] = std::move(models);
  net::http_reply reply = net::JsonReply(200, boost::json::serialize(body));
  co_await Give(aExchange, std::move(reply));
}

std::optional<api_error> caller_api::CheckRate(const admin::workspace& aWorkspace)
{
  const auto wait = mTools.mGuard.TakeRate(workspace_id(aWorkspace.name()), aWorkspace.requests_per_second(), Now());
  if (!wait) {
    return std::nullopt;
  }
  mTools.mMetrics.Refusal(metrics::refusal_cause::RateLimited);
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

boost::asio::awaitable<void> caller_api::AnswerCompletion(net::http_exchange& aExchange,
                                                          const config::config_view& aView,
                                                          const admin::workspace& aWorkspace,
                                                          api_style aStyle)
{
  const auto request = ReadCompletionRequest(aStyle, aExchange.Request().mBody);
  if (request.has_error()) {
    co_await GiveError(aExchange, request.error());
    co_return;
  }
  const admin::model_version* model = aView.FindModel(model_name(request.value().mModel));
  if (model == nullptr) {
    co_await GiveError(aExchange, BadRequest(404, "model \"" + request.value().mModel + "\" does not exist"));
    co_return;
  }
  completion_order order;
  order.mRequest = request_id(RandomHex(kRequestIdBytes));
  order.mWorkspace = workspace_id(aWorkspace.name());
  order.mPool = pool_name(model->pool());
  order.mModel = model->name();
  order.mLayerCount = model->layer_count();
  order.mPrompt = request.value().mPrompt;
  order.mPromptTokens = CountTokens(request.value().mPrompt);
  order.mMaxTokens = request.value().mMaxTokens;
  order.mPriority = aWorkspace.priority();
  order.mDigest = DigestOf(order);
  order.mArrived = Now();
  order.mDeadline = order.mArrived + DeadlineOf(aExchange.Request(), mOptions.mDefaultDeadline);
  order.mStallFloor = mOptions.mStallFloor;
  co_await RunCompletion(aExchange, std::move(order), request.value());
}

boost::asio::awaitable<ref<link::provider>> caller_api::LinkTo(instance_id aSidecar)
{
  ref<link::provider> known = mRouter.Links().Find(aSidecar);
  const auto live = mLive();
  const auto listed =
    std::find_if(live.begin(), live.end(), [&](const auto& aListed) { return aListed.mInstance == aSidecar; });
  if (!known && listed != live.end()) {
    known = mRouter.Links().AddWanted(*listed, Now());
  }
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  const instant deadline = Now() + kTakeUpTimeout;
  while (known && !known->Link() && Now() < deadline) {
    timer.expires_after(kLinkCheck);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
  co_return known;
}

boost::asio::awaitable<std::optional<api_error>> caller_api::TakeUp(completion_order& aOrder,
                                                                    ref<request_mailbox> aMailbox,
                                                                    const std::string& aLastEventId,
                                                                    token_position& aNext)
{
  const auto id = ReadEventId(aLastEventId, mOptions.mClusterKey);
  if (!id || id->mWorkspace != aOrder.mWorkspace) {
    co_return BadRequest(400, "Last-Event-ID is not an id of this workspace's streams");
  }
  const api_error gone{
    410, "server_error", "the stream is not kept any more; send the request again", link::OUTCOME_FAILED, std::nullopt
  };
  const ref<link::provider> head = co_await LinkTo(id->mHead);
  if (!head) {
    co_return gone;
  }
  link::frame ask = link::AttemptFrame(id->mRequest, {});
  ask.mutable_resume()->set_workspace(aOrder.mWorkspace.Str());
  ask.mutable_resume()->set_next_position(id->mNext.Value());
  mRouter.Links().Send(head, std::move(ask));
  const auto event = co_await aMailbox->Pop(Now() + kTakeUpTimeout);
  if (!event || !event->mFrame.has_state() || !event->mFrame.state().found()) {
    co_return gone;
  }
  const link::stream_state& state = event->mFrame.state();
  aOrder.mPrompt = state.open().prompt();
  aOrder.mPromptTokens = state.open().prompt_tokens();
  aOrder.mMaxTokens = state.open().max_tokens();
  aOrder.mTokens.assign(state.open().delivered().begin(), state.open().delivered().end());
  aOrder.mFinishReason = state.finish_reason();
  aOrder.mLastAttempt = state.attempt();
  aOrder.mHolders.assign(state.chain().begin(), state.chain().end());
  aNext = id->mNext;
  co_return std::nullopt;
}

boost::asio::awaitable<void> caller_api::RunCompletion(net::http_exchange& aExchange,
                                                       completion_order aOrder,
                                                       const completion_request& aRequest)
{
  const auto mailbox = WatchCaller(aExchange);
  const std::string lastEventId(aExchange.Request().mHeaders.Get("Last-Event-ID"));
  const auto id = ReadEventId(lastEventId, mOptions.mClusterKey);
  if (id && id->mWorkspace == aOrder.mWorkspace) {
    aOrder.mRequest = id->mRequest;
  }
  const registration registered(mRouter, aOrder.mRequest, mailbox);
  token_position next;
  if (!lastEventId.empty()) {
    if (const auto error = co_await TakeUp(aOrder, mailbox, lastEventId, next)) {
      co_await GiveError(aExchange, *error);
      co_return;
    }
  }
  answer_identity identity{ aRequest.mStyle, AnswerIdOf(aExchange.Request(), aOrder.mRequest), aOrder.mModel, 0 };
  identity.mCreatedUnix = std::chrono::duration_cast<std::chrono::seconds>(CalendarNow().time_since_epoch()).count();
  if (aRequest.mStream) {
    co_await StreamAnswer(aExchange, std::move(aOrder), identity, mailbox, next, aRequest.mIncludeUsage);
  } else {
    co_await GiveWholeAnswer(aExchange, std::move(aOrder), identity, mailbox);
  }
}

boost::asio::awaitable<void> caller_api::GiveWholeAnswer(net::http_exchange& aExchange,
                                                         completion_order aOrder,
                                                         answer_identity aIdentity,
                                                         ref<request_mailbox> aMailbox)
{
  sink_whole sink;
  for (std::size_t i = 0; i < aOrder.mTokens.size(); ++i) {
    const answer_token token{ token_position(i), aOrder.mTokens[i], aOrder.mFinishReason, instance_id() };
    co_await sink.Deliver(token);
  }
  const std::uint32_t promptTokens = aOrder.mPromptTokens;
  completion_run run(mTools, aMailbox, std::move(aOrder));
  const completion_end end = co_await run.Run(sink);
  if (end.mError) {
    co_await GiveError(aExchange, *end.mError);
  } else if (end.mIsComplete) {
    const token_usage usage{ promptTokens, run.TokenCount() };
    net::http_reply reply = net::JsonReply(200, AnswerJson(aIdentity, sink.Text(), sink.FinishReason(), usage));
    reply.mHeaders.Set("X-Request-Id", aIdentity.mId);
    co_await Give(aExchange, std::move(reply));
  }
}

boost::asio::awaitable<void> caller_api::StreamAnswer(net::http_exchange& aExchange,
                                                      completion_order aOrder,
                                                      answer_identity aIdentity,
                                                      ref<request_mailbox> aMailbox,
                                                      token_position aNext,
                                                      bool aIncludeUsage)
{
  sink_stream sink(aExchange, aIdentity, aOrder.mRequest, aOrder.mWorkspace, mOptions.mClusterKey);
  sink.SkipBelow(aNext);
  const instance_id head(aOrder.mHolders.empty() ? "" : aOrder.mHolders.front());
  for (std::size_t i = 0; i < aOrder.mTokens.size(); ++i) {
    const bool isLast = i + 1 == aOrder.mTokens.size();
    const answer_token token{ token_position(i), aOrder.mTokens[i], isLast ? aOrder.mFinishReason : "", head };
    co_await sink.Deliver(token);
  }
  const std::uint32_t promptTokens = aOrder.mPromptTokens;
  completion_run run(mTools, aMailbox, std::move(aOrder));
  const completion_end end = co_await run.Run(sink);
  if (end.mIsComplete) {
    const token_usage usage{ promptTokens, run.TokenCount() };
    mTools.mMetrics.Answered(200);
    co_await sink.Finish(aIncludeUsage, usage);
  } else if (end.mError && sink.HasBegun()) {
    mTools.mMetrics.Cut();
    co_await sink.Fail(*end.mError);
  } else if (end.mError) {
    co_await GiveError(aExchange, *end.mError);
  }
}

service_order caller_api::OrderOf(const net::http_request& aRequest,
                                  const admin::workspace& aWorkspace,
                                  const admin::route& aRoute,
                                  std::string_view aPath) const
{
  service_order order;
  order.mRequest = request_id(RandomHex(kRequestIdBytes));
  order.mPool = pool_name(aRoute.pool());
  order.mStallFloor = mOptions.mStallFloor;
  const duration timeout =
    aRoute.timeout_ms() > 0 ? duration(std::chrono::milliseconds(aRoute.timeout_ms())) : kDefaultServiceTimeout;
  order.mDeadline = Now() + DeadlineOf(aRequest, timeout);
  link::service_call& call = order.mCall;
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
  return order;
}

net::http_reply caller_api::ReplyOf(const service_result& aResult) const
{
  if (aResult.has_error()) {
    return ErrorReply(aResult.error());
  }
  const link::service_reply& answer = aResult.value();
  net::http_reply reply;
  reply.mStatus = answer.status();
  for (const auto& header : answer.headers()) {
    if (IsForwarded(header.name())) {
      reply.mHeaders.Set(header.name(), header.value());
    }
  }
  reply.mBody = answer.body();
  if (answer.replayed()) {
    reply.mHeaders.Set("Idempotent-Replayed", "true");
  }
  return reply;
}

boost::asio::awaitable<void> caller_api::AnswerService(net::http_exchange& aExchange,
                                                       const config::config_view& aView,
                                                       const admin::workspace& aWorkspace)
{
  const net::http_request& request = aExchange.Request();
  const std::string_view rest = std::string_view(request.mTarget).substr(kServicesPath.size());
  const auto end = rest.find_first_of("/?");
  const std::string name(rest.substr(0, end));
  const admin::route* route = aView.FindRoute(workspace_id(aWorkspace.name()), route_name(name));
  if (route == nullptr) {
    co_await GiveError(
      aExchange, BadRequest(404, "route \"" + name + "\" does not exist in workspace \"" + aWorkspace.name() + "\""));
    co_return;
  }
  const std::string key(request.mHeaders.Get("Idempotency-Key"));
  if (route->key_required() && key.empty()) {
    co_await GiveError(aExchange, BadRequest(400, "route \"" + name + "\" needs an Idempotency-Key"));
    co_return;
  }
  service_order order = OrderOf(request, aWorkspace, *route, end == std::string_view::npos ? "/" : rest.substr(end));
  const std::string answerId = AnswerIdOf(request, order.mRequest);
  const auto mailbox = WatchCaller(aExchange);
  const registration registered(mRouter, order.mRequest, mailbox);
  service_run run(mRouter, mailbox, std::move(order));
  const service_result result = co_await run.Run();
  net::http_reply reply = ReplyOf(result);
  reply.mHeaders.Set("X-Request-Id", answerId);
  co_await Give(aExchange, std::move(reply));
}

} // namespace chervilpulley::entry
