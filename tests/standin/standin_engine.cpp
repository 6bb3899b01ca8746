#include "standin_engine.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace chervilpulley::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kCrashMark = "CRASH-ENGINE";
constexpr int kCrashStatus = 70;
constexpr duration kStallPoll = std::chrono::seconds(3600);

run_order ParseOrder(json_body& aBody)
{
  for (std::string_view key : { "request", "position", "first_layer", "last_layer" }) {
    aBody.Require(key);
  }
  run_order order;
  order.mRequest = aBody.Text("request");
  order.mAttempt = aBody.Number("attempt");
  order.mPosition = aBody.Number("position");
  order.mFirstLayer = static_cast<std::uint32_t>(aBody.Number("first_layer"));
  order.mLastLayer = static_cast<std::uint32_t>(aBody.Number("last_layer"));
  order.mPrefill = aBody.Flag("prefill");
  order.mPriority = aBody.Number("priority");
  order.mMaxTokens = aBody.Number("max_tokens");
  order.mPrompt = aBody.Text("prompt");
  order.mDelivered = aBody.Texts("delivered");
  order.mInput = aBody.Text("input");
  return order;
}

/// What a stage hands to the next: three numbers.
struct stage_output
{
  context_digest mPrompt = 0;
  std::uint64_t mPosition = 0;
  std::uint64_t mState = 0; ///< of a step; of a prefill, the number of tokens in the prompt
};

std::string Format(const stage_output& aOutput)
{
  return std::to_string(aOutput.mPrompt) + ":" + std::to_string(aOutput.mPosition) + ":" +
         std::to_string(aOutput.mState);
}

bool ParseNumber(std::string_view& aText, std::uint64_t& aNumber)
{
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), aNumber);
  if (error != std::errc()) {
    return false;
  }
  aText.remove_prefix(static_cast<std::size_t>(end - aText.data()));
  if (!aText.empty() && aText.front() == ':') {
    aText.remove_prefix(1);
  }
  return true;
}

bool Parse(std::string_view aText, stage_output& aOutput)
{
  return ParseNumber(aText, aOutput.mPrompt) && ParseNumber(aText, aOutput.mPosition) &&
         ParseNumber(aText, aOutput.mState) && aText.empty();
}

std::uint64_t CountTokens(const std::string& aPrompt)
{
  std::istringstream words(aPrompt);
  std::uint64_t count = 0;
  for (std::string word; words >> word;) {
    ++count;
  }
  return std::max<std::uint64_t>(count, 1);
}

/// Contexts of the positions 0 to the number of tokens that were delivered.
std::vector<context_digest> ContextsOf(const std::string& aPrompt, const std::vector<std::string>& aDelivered)
{
  std::vector<context_digest> contexts{ ContextOfPrompt(aPrompt) };
  for (const std::string& token : aDelivered) {
    contexts.push_back(NextContext(contexts.back(), token));
  }
  return contexts;
}

net::http_reply OutputReply(const std::string& aOutput)
{
  return ObjectReply(200, { { "output", aOutput } });
}

net::http_reply TokenReply(const std::string& aToken, bool aLast)
{
  return ObjectReply(
    200, { { "output", "" }, { "token", aToken }, { "last", aLast }, { "finish_reason", aLast ? "length" : "" } });
}

} // namespace

engine::engine(engine_options aOptions)
  : mOptions(std::move(aOptions))
  , mLog(mOptions.mRecordsFile)
{
}

asio::awaitable<void> engine::Handle(net::http_exchange& aExchange)
{
  net::http_reply reply = co_await Answer(aExchange.Request());
  co_await aExchange.Reply(std::move(reply));
}

asio::awaitable<net::http_reply> engine::Answer(const net::http_request& aRequest)
{
  const std::string path(net::PathOf(aRequest.mTarget));
  const std::string call = aRequest.mMethod + " " + path;
  if (call == "POST /v1/run") {
    json_body body(aRequest.mBody);
    run_order order = ParseOrder(body);
    if (!body.Fault().empty()) {
      co_return ErrorReply(400, body.Fault());
    }
    co_return co_await Run(std::move(order));
  }
  if (call == "GET /v1/state") {
    co_return State();
  }
  if (call == "POST /v1/cancel") {
    co_return Cancel(aRequest);
  }
  if (call == "POST /v1/kv/export") {
    co_return Export(aRequest);
  }
  if (call == "POST /v1/kv/import") {
    co_return Import(aRequest);
  }
  if (call == "POST /v1/load") {
    co_return Load(aRequest);
  }
  if (call == "POST /control") {
    co_return Control(aRequest);
  }
  if (call == "GET /records") {
    co_return LinesReply(mLog.Text());
  }
  co_return ErrorReply(404, "no such call: " + call);
}

asio::awaitable<net::http_reply> engine::Run(run_order aOrder)
{
  while (mStalled) {
    co_await mChanged.WaitUntil(Now() + kStallPoll);
  }
  if (!co_await TakeSlot(aOrder.mPriority)) {
    co_return ErrorReply(503, "the engine has too many orders waiting");
  }
  net::http_reply reply;
  if (const std::string fault = CheckLayers(aOrder); !fault.empty()) {
    reply = ErrorReply(409, fault);
  } else if (aOrder.mPrefill) {
    reply = co_await Prefill(aOrder);
  } else {
    reply = co_await Step(aOrder);
  }
  FreeSlot();
  co_return reply;
}

asio::awaitable<net::http_reply> engine::Prefill(const run_order& aOrder)
{
  kv_cache cache;
  cache.mFirstLayer = aOrder.mFirstLayer;
  cache.mLastLayer = aOrder.mLastLayer;
  cache.mPosition = aOrder.mPosition;
  if (aOrder.mFirstLayer == 0) {
    if (aOrder.mPrompt.empty()) {
      co_return ErrorReply(400, "prompt must be given in a prefill at layer 0");
    }
    if (aOrder.mDelivered.size() != aOrder.mPosition) {
      co_return ErrorReply(400, "delivered must hold one token for each position below position");
    }
    cache.mContexts = ContextsOf(aOrder.mPrompt, aOrder.mDelivered);
    cache.mPrompt = cache.mContexts.front();
    cache.mPromptTokens = CountTokens(aOrder.mPrompt);
  } else {
    stage_output input;
    if (!Parse(aOrder.mInput, input) || input.mPosition != aOrder.mPosition) {
      co_return ErrorReply(400, "input must be the output of the stage before, for the same position");
    }
    cache.mPrompt = input.mPrompt;
    cache.mPromptTokens = input.mState;
  }
  Record(aOrder);
  if (aOrder.mPrompt.find(kCrashMark) != std::string::npos) {
    _exit(kCrashStatus);
  }
  const std::string output = Format({ cache.mPrompt, cache.mPosition, cache.mPromptTokens });
  const std::uint64_t tokens = cache.mPromptTokens + cache.mPosition;
  const std::uint64_t generation = Keep(aOrder.mRequest, std::move(cache));
  co_await Work(mOptions.mPrefillPerToken * tokens);
  if (!IsCurrent(aOrder.mRequest, generation)) {
    co_return ErrorReply(409, "request " + aOrder.mRequest + " was cancelled");
  }
  const bool isLast = aOrder.mLastLayer + 1 == mOptions.mLayerCount;
  co_return OutputReply(isLast ? "" : output);
}

/// Puts a cache in place, unless a longer one of the same tokens is there. Gives the generation of what is there.
std::uint64_t engine::Keep(const std::string& aRequest, kv_cache aCache)
{
  const auto found = mCaches.find(aRequest);
  if (found != mCaches.end() && Covers(found->second, aCache)) {
    return found->second.mGeneration;
  }
  aCache.mGeneration = ++mGenerations;
  mCaches[aRequest] = std::move(aCache);
  return mGenerations;
}

/// Whether a cache holds all that another holds.
bool engine::Covers(const kv_cache& aLonger, const kv_cache& aShorter)
{
  const std::size_t known = std::min(aLonger.mContexts.size(), aShorter.mContexts.size());
  return aLonger.mPrompt == aShorter.mPrompt && aLonger.mFirstLayer == aShorter.mFirstLayer &&
         aLonger.mLastLayer == aShorter.mLastLayer && aLonger.mPosition >= aShorter.mPosition &&
         std::equal(aShorter.mContexts.begin(),
                    aShorter.mContexts.begin() + static_cast<std::ptrdiff_t>(known),
                    aLonger.mContexts.begin());
}

asio::awaitable<net::http_reply> engine::Step(const run_order& aOrder)
{
  const auto found = mCaches.find(aOrder.mRequest);
  if (found == mCaches.end() || found->second.mPosition < aOrder.mPosition) {
    co_return ErrorReply(409,
                         "no KV cache of request " + aOrder.mRequest + " for the positions below " +
                           std::to_string(aOrder.mPosition));
  }
  kv_cache& cache = found->second;
  if (cache.mFirstLayer != aOrder.mFirstLayer || cache.mLastLayer != aOrder.mLastLayer) {
    co_return ErrorReply(409, "the KV cache of request " + aOrder.mRequest + " is of other layers");
  }
  std::uint64_t state = 0;
  if (aOrder.mFirstLayer == 0) {
    if (aOrder.mInput.empty() != (aOrder.mPosition == 0)) {
      co_return ErrorReply(400, "input must be the previous token, and empty at position 0");
    }
    cache.mContexts.resize(std::max<std::uint64_t>(aOrder.mPosition, 1));
    if (aOrder.mPosition > 0) {
      cache.mContexts.push_back(NextContext(cache.mContexts.back(), aOrder.mInput));
    }
    state = StartOfStep(cache.mContexts.back(), aOrder.mPosition);
  } else {
    stage_output input;
    if (!Parse(aOrder.mInput, input) || input.mPosition != aOrder.mPosition || input.mPrompt != cache.mPrompt) {
      co_return ErrorReply(400, "input must be the output of the stage before, for the same request and position");
    }
    state = input.mState;
  }
  const bool isLast = aOrder.mLastLayer + 1 == mOptions.mLayerCount;
  if (isLast && aOrder.mMaxTokens <= aOrder.mPosition) {
    co_return ErrorReply(400, "max_tokens must be over position");
  }
  state = RunLayers(state, aOrder.mFirstLayer, aOrder.mLastLayer);
  cache.mPosition = aOrder.mPosition + 1;
  const std::uint64_t generation = cache.mGeneration;
  const context_digest prompt = cache.mPrompt;
  Record(aOrder);
  co_await Work(mOptions.mStepPerLayer * (aOrder.mLastLayer - aOrder.mFirstLayer + 1));
  if (!IsCurrent(aOrder.mRequest, generation)) {
    co_return ErrorReply(409, "request " + aOrder.mRequest + " was cancelled");
  }
  if (isLast) {
    co_return TokenReply(TokenOf(state), aOrder.mPosition + 1 == aOrder.mMaxTokens);
  }
  co_return OutputReply(Format({ prompt, aOrder.mPosition, state }));
}

/// Waits for a place in the batch; a higher priority goes first. False when too many wait.
asio::awaitable<bool> engine::TakeSlot(std::uint64_t aPriority)
{
  if (mRunning >= mOptions.mMaxBatch) {
    if (mQueued.size() >= mOptions.mMaxQueued) {
      co_return false;
    }
    const auto self = mQueued.insert(aPriority);
    while (mRunning >= mOptions.mMaxBatch || *mQueued.rbegin() > aPriority) {
      co_await mChanged.WaitUntil(Now() + kStallPoll);
    }
    mQueued.erase(self);
  }
  ++mRunning;
  co_return true;
}

void engine::FreeSlot()
{
  --mRunning;
  mChanged.NotifyAll();
}

asio::awaitable<void> engine::Work(duration aTime)
{
  co_await SleepFor(aTime + mSlow);
  while (mStalled) {
    co_await mChanged.WaitUntil(Now() + kStallPoll);
  }
}

net::http_reply engine::State() const
{
  const std::uint64_t layers = mOptions.mLastLayer - mOptions.mFirstLayer + 1;
  return ObjectReply(200,
                     { { "model", mOptions.mModel },
                       { "layer_count", mOptions.mLayerCount },
                       { "first_layer", mOptions.mFirstLayer },
                       { "last_layer", mOptions.mLastLayer },
                       { "accelerator", mOptions.mAccelerator },
                       { "running", mRunning },
                       { "queued", mQueued.size() },
                       { "step_us", mOptions.mStepPerLayer.count() * layers },
                       { "prefill_us_per_token", mOptions.mPrefillPerToken.count() },
                       { "kv_import", mOptions.mKvImport } });
}

net::http_reply engine::Cancel(const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  body.Require("request");
  const std::string request = body.Text("request");
  if (!body.Fault().empty()) {
    return ErrorReply(400, body.Fault());
  }
  mCaches.erase(request);
  return ObjectReply(200, {});
}

net::http_reply engine::Export(const net::http_request& aRequest) const
{
  json_body body(aRequest.mBody);
  body.Require("request");
  const std::string request = body.Text("request");
  if (!body.Fault().empty()) {
    return ErrorReply(400, body.Fault());
  }
  const auto found = mCaches.find(request);
  if (found == mCaches.end()) {
    return ErrorReply(404, "no KV cache of request " + request);
  }
  const kv_cache& cache = found->second;
  std::string blob = std::to_string(cache.mPrompt) + ":" + std::to_string(cache.mPromptTokens) + ":" +
                     std::to_string(cache.mFirstLayer) + ":" + std::to_string(cache.mLastLayer);
  for (const context_digest context : cache.mContexts) {
    blob += ":" + std::to_string(context);
  }
  return ObjectReply(200, { { "position", cache.mPosition }, { "blob", blob } });
}

net::http_reply engine::Import(const net::http_request& aRequest)
{
  if (!mOptions.mKvImport) {
    return ErrorReply(501, "this engine has no KV import");
  }
  json_body body(aRequest.mBody);
  for (std::string_view key : { "request", "position", "blob" }) {
    body.Require(key);
  }
  const std::string request = body.Text("request");
  kv_cache cache;
  cache.mPosition = body.Number("position");
  const std::string blob = body.Text("blob");
  if (!body.Fault().empty()) {
    return ErrorReply(400, body.Fault());
  }
  std::string_view rest = blob;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  if (!ParseNumber(rest, cache.mPrompt) || !ParseNumber(rest, cache.mPromptTokens) || !ParseNumber(rest, first) ||
      !ParseNumber(rest, last)) {
    return ErrorReply(400, "blob must be what an export gave");
  }
  for (std::uint64_t context = 0; ParseNumber(rest, context);) {
    cache.mContexts.push_back(context);
  }
  if (first < mOptions.mFirstLayer || last > mOptions.mLastLayer) {
    return ErrorReply(409, "blob is of layers that this engine does not hold");
  }
  cache.mFirstLayer = static_cast<std::uint32_t>(first);
  cache.mLastLayer = static_cast<std::uint32_t>(last);
  cache.mGeneration = ++mGenerations;
  mCaches[request] = std::move(cache);
  return ObjectReply(200, {});
}

net::http_reply engine::Load(const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  for (std::string_view key : { "model", "first_layer", "last_layer", "fence" }) {
    body.Require(key);
  }
  const std::string model = body.Text("model");
  const std::uint64_t first = body.Number("first_layer");
  const std::uint64_t last = body.Number("last_layer");
  const std::uint64_t fence = body.Number("fence");
  if (!body.Fault().empty()) {
    return ErrorReply(400, body.Fault());
  }
  if (first > last || last >= mOptions.mLayerCount) {
    return ErrorReply(400, "first_layer and last_layer must be a range within the model's layers");
  }
  if (mOptions.mCheckFence && fence < mFence) {
    return ErrorReply(409, "fence " + std::to_string(fence) + " is older than " + std::to_string(mFence));
  }
  mFence = std::max(mFence, fence);
  mLog.Append({ { "load", model }, { "first_layer", first }, { "last_layer", last }, { "fence", fence } });
  if (model != mOptions.mModel || first != mOptions.mFirstLayer || last != mOptions.mLastLayer) {
    mCaches.clear();
  }
  mOptions.mModel = model;
  mOptions.mFirstLayer = static_cast<std::uint32_t>(first);
  mOptions.mLastLayer = static_cast<std::uint32_t>(last);
  return ObjectReply(200, {});
}

net::http_reply engine::Control(const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  const std::uint64_t slowMs =
    body.Number("slow_ms", std::chrono::duration_cast<std::chrono::milliseconds>(mSlow).count());
  const bool stalled = body.Flag("stall", mStalled);
  const bool kvImport = body.Flag("kv_import", mOptions.mKvImport);
  const bool checkFence = body.Flag("check_fence", mOptions.mCheckFence);
  if (!body.Fault().empty()) {
    return ErrorReply(400, body.Fault());
  }
  mSlow = std::chrono::milliseconds(slowMs);
  mStalled = stalled;
  mOptions.mKvImport = kvImport;
  mOptions.mCheckFence = checkFence;
  mChanged.NotifyAll();
  return ObjectReply(200, {});
}

void engine::Record(const run_order& aOrder)
{
  mLog.Append({ { "request", aOrder.mRequest },
                { "attempt", aOrder.mAttempt },
                { "position", aOrder.mPosition },
                { "first_layer", aOrder.mFirstLayer },
                { "last_layer", aOrder.mLastLayer },
                { "prefill", aOrder.mPrefill },
                { "time_us", Now().time_since_epoch().count() },
                { "pid", getpid() } });
}

/// Why the order's layers can't be run here; empty when they can.
std::string engine::CheckLayers(const run_order& aOrder) const
{
  const bool isRange = aOrder.mFirstLayer <= aOrder.mLastLayer;
  if (isRange && aOrder.mFirstLayer >= mOptions.mFirstLayer && aOrder.mLastLayer <= mOptions.mLastLayer) {
    return {};
  }
  return "layers " + std::to_string(aOrder.mFirstLayer) + " to " + std::to_string(aOrder.mLastLayer) +
         " are not the ones held, " + std::to_string(mOptions.mFirstLayer) + " to " +
         std::to_string(mOptions.mLastLayer);
}

bool engine::IsCurrent(const std::string& aRequest, std::uint64_t aGeneration) const
{
  const auto found = mCaches.find(aRequest);
  return found != mCaches.end() && found->second.mGeneration == aGeneration;
}

} // namespace chervilpulley::standin
