#include "engine/engine_client.h"

#include <boost/json.hpp>

namespace chervilpulley::engine {

namespace {

namespace json = boost::json;

engine_error ToEngineError(const net::net_error& aError)
{
  engine_errc code = engine_errc::ConnectionLost;
  if (!aError.mMaybeSent) {
    code = engine_errc::Unreachable;
  } else if (aError.mCode == net::net_errc::Timeout) {
    code = engine_errc::Timeout;
  }
  return { code, "engine: " + aError.mMessage };
}

engine_error StatusError(const net::http_reply& aReply)
{
  engine_errc code = engine_errc::Invalid;
  if (aReply.mStatus == 409) {
    code = engine_errc::NoState;
  } else if (aReply.mStatus == 503) {
    code = engine_errc::Busy;
  }
  return { code, "engine answered " + std::to_string(aReply.mStatus) };
}

engine_result<json::object> ReadObject(const net::net_result<net::http_reply>& aReply)
{
  if (aReply.has_error()) {
    return ToEngineError(aReply.error());
  }
  if (aReply.value().mStatus != 200) {
    return StatusError(aReply.value());
  }
  boost::system::error_code error;
  json::value parsed = json::parse(aReply.value().mBody, error);
  if (error || !parsed.is_object()) {
    return engine_error{ engine_errc::Invalid, "engine's answer is not a JSON object" };
  }
  return std::move(parsed.as_object());
}

std::string TextField(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint32_t NumberField(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_number()) {
    return 0;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint32_t>(error);
  return error ? 0 : number;
}

bool FlagField(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_bool() && value->get_bool();
}

net::http_request Post(const std::string& aTarget, const json::object& aBody)
{
  net::http_request request;
  request.mMethod = "POST";
  request.mTarget = aTarget;
  request.mHeaders.Set("Content-Type", "application/json");
  request.mBody = json::serialize(aBody);
  return request;
}

json::object RunBody(const run_request& aRequest)
{
  json::object body;
  body["request"] = aRequest.mRequest.Str();
  body["attempt"] = aRequest.mAttempt.Value();
  body["position"] = aRequest.mPosition.Value();
  body["first_layer"] = aRequest.mFirstLayer;
  body["last_layer"] = aRequest.mLastLayer;
  body["prefill"] = aRequest.mIsPrefill;
  body["priority"] = aRequest.mPriority;
  body["max_tokens"] = aRequest.mMaxTokens;
  if (aRequest.mIsPrefill && aRequest.mFirstLayer == 0) {
    body["prompt"] = aRequest.mPrompt;
    body["delivered"] = json::array(aRequest.mDelivered.begin(), aRequest.mDelivered.end());
  }
  body["input"] = aRequest.mInput;
  return body;
}

} // namespace

boost::asio::awaitable<engine_result<engine_state>> engine_client::GetState(duration aTimeout)
{
  net::http_request request;
  request.mTarget = "/v1/state";
  const auto reply = co_await mHttp->Fetch(mEndpoint, std::move(request), aTimeout);
  BOOST_OUTCOME_CO_TRY(const auto object, ReadObject(reply));
  engine_state state;
  state.mModel = model_name(TextField(object, "model"));
  state.mLayerCount = NumberField(object, "layer_count");
  state.mFirstLayer = NumberField(object, "first_layer");
  state.mLastLayer = NumberField(object, "last_layer");
  state.mAccelerator = TextField(object, "accelerator");
  state.mRunning = NumberField(object, "running");
  state.mQueued = NumberField(object, "queued");
  state.mStepTime = duration(NumberField(object, "step_us"));
  state.mPrefillTimePerToken = duration(NumberField(object, "prefill_us_per_token"));
  state.mCanImportKv = FlagField(object, "kv_import");
  co_return state;
}

boost::asio::awaitable<engine_result<run_reply>> engine_client::Run(run_request aRequest, duration aTimeout)
{
  const auto reply = co_await mHttp->Fetch(mEndpoint, Post("/v1/run", RunBody(aRequest)), aTimeout);
  BOOST_OUTCOME_CO_TRY(const auto object, ReadObject(reply));
  run_reply response;
  response.mOutput = TextField(object, "output");
  response.mToken = TextField(object, "token");
  response.mIsLast = FlagField(object, "last");
  response.mFinishReason = TextField(object, "finish_reason");
  co_return response;
}

boost::asio::awaitable<engine_result<void>> engine_client::Load(load_request aLoad, duration aTimeout)
{
  json::object body;
  body["model"] = aLoad.mModel.Str();
  body["first_layer"] = aLoad.mFirstLayer;
  body["last_layer"] = aLoad.mLastLayer;
  body["fence"] = aLoad.mFence.Value();
  const auto reply = co_await mHttp->Fetch(mEndpoint, Post("/v1/load", body), aTimeout);
  if (reply.has_error()) {
    co_return ToEngineError(reply.error());
  }
  if (reply.value().mStatus != 200) {
    co_return StatusError(reply.value());
  }
  co_return outcome::success();
}

boost::asio::awaitable<void> engine_client::Cancel(request_id aRequest, duration aTimeout)
{
  json::object body;
  body["request"] = aRequest.Str();
  co_await mHttp->Fetch(mEndpoint, Post("/v1/cancel", body), aTimeout);
}

} // namespace chervilpulley::engine
