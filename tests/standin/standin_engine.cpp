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

/// An engine crashes with kCrashStatus when it runs a prefill whose prompt contains this text.
constexpr std::string_view kCrashMarker = "CRASH-ENGINE";
constexpr int kCrashStatus = 70;
constexpr duration kStallPoll = std::chrono::seconds(3600);

run_request ParseRunRequest(json_body& aBody)
{
  for (std::string_view key : { "request", "position", "first_layer", "last_layer" }) {
    aBody.Require(key);
  }
  run_request run;
  run.mRequest = aBody.Text("request");
  run.mAttempt = aBody.Number("attempt");
  run.mPosition = aBody.Number("position");
  run.mFirstLayer = static_cast<std::uint32_t>(aBody.Number("first_layer"));
  run.mLastLayer = static_cast<std::uint32_t>(aBody.Number("last_layer"));
  run.mPrefill = aBody.Flag("prefill");
  run.mPriority = aBody.Number("priority");
  run.mMaxTokens = aBody.Number("max_tokens");
  run.mPrompt = aBody.Text("prompt");
  run.mDelivered = aBody.Texts("delivered");
  run.mInput = aBody.Text("input");
  return run;
}

/// Output of a stage and input of the next one, written as three numbers separated by colons.
struct stage_output
{
  context_digest mPrompt = 0;
  std::uint64_t mPosition = 0;
  std::uint64_t mState = 0; ///< state after the last layer of a step; in a prefill, the number of tokens in the prompt
};

std::string Format(const stage_output& aOutput)
{
  return std::to_string(aOutput.mPrompt) + ":" + std::to_string(aOutput.mPosition) + ":" +
         std::to_string(aOutput.mState);
}

/// Removes a number and the colon after it, if there is one, from the front of aText.
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

/// Counts the words of a prompt as its tokens; at least 1.
std::uint64_t CountTokens(const std::string& aPrompt)
{
  std::istringstream words(aPrompt);
  std::uint64_t count = 0;
  for (std::string word; words >> word;) {
    ++count;
  }
  return std::max<std::uint64_t>(count, 1);
}

/// The contexts at position 0 and after each delivered token.
std::vector<context_digest> ContextsOf(const std::string& aPrompt, const std::vector<std::string>& aDelivered)
{
  std::vector<context_digest> contexts{ PromptContext(aPrompt) };
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
  net::http_reply reply = co_await HandleRequest(aExchange.Request());
  co_await aExchange.Reply(std::move(reply));
}

asio::awaitable<net::http_reply> engine::HandleRequest(const net::http_request& aRequest)
{
  const std::string path(net::PathOf(aRequest.mTarget));
  const std::string call = aRequest.mMethod + " " + path;
  if (call == "POST /v1/run") {
    json_body body(aRequest.mBody);
    run_request run = ParseRunRequest(body);
    if (!body.Error().empty()) {
      co_return ErrorReply(400, body.Error());
    }
    co_return co_await Run(std::move(run));
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

asio::awaitable<net::http_reply> engine::Run(run_request aRun)
{
  while (mStalled) {
    co_await mChanged.WaitUntil(Now() + kStallPoll);
  }
  if (!co_await AcquireSlot(aRun.mPriority)) {
    co_return ErrorReply(503, "the engine has too many orders waiting");
  }
  net::http_reply reply;
  if (const std::string reason = CheckLayers(aRun); !reason.empty()) {
    reply = ErrorReply(409, reason);
  } else if (aRun.mPrefill) {
    reply = co_await Prefill(aRun);
  } else {
    reply = co_await Step(aRun);
  }
  ReleaseSlot();
  co_return reply;
}

asio::awaitable<net::http_reply> engine::Prefill(const run_request& aRun)
{
  kv_cache cache;
  cache.mFirstLayer = aRun.mFirstLayer;
  cache.mLastLayer = aRun.mLastLayer;
  cache.mPosition = aRun.mPosition;
  if (aRun.mFirstLayer == 0) {
    if (aRun.mPrompt.empty()) {
      co_return ErrorReply(400, "prompt must be given in a prefill at layer 0");
    }
    if (aRun.mDelivered.size() != aRun.mPosition) {
      co_return ErrorReply(400, "delivered must hold one token for each position below position");
    }
    cache.mContexts = ContextsOf(aRun.mPrompt, aRun.mDelivered);
    cache.mPrompt = cache.mContexts.front();
    cache.mPromptTokens = CountTokens(aRun.mPrompt);
  } else {
    stage_output input;
    if (!Parse(aRun.mInput, input) || input.mPosition != aRun.mPosition) {
      co_return ErrorReply(400, "input must be the output of the stage before, for the same position");
    }
    cache.mPrompt = input.mPrompt;
    cache.mPromptTokens = input.mState;
  }
  Record(aRun);
  if (aRun.mPrompt.find(kCrashMarker) != std::string::npos) {
    _exit(kCrashStatus);
  }
  const std::string output = Format({ cache.mPrompt, cache.mPosition, cache.mPromptTokens });
  const std::uint64_t tokens = cache.mPromptTokens + cache.mPosition;
  const std::uint64_t generation = StoreCache(aRun.mRequest, std::move(cache));
  co_await SimulateWork(mOptions.mPrefillPerToken * tokens);
  if (!IsCurrent(aRun.mRequest, generation)) {
    co_return ErrorReply(409, "request " + aRun.mRequest + " was cancelled");
  }
  const bool isLast = aRun.mLastLayer + 1 == mOptions.mLayerCount;
  co_return OutputReply(isLast ? "" : output);
}

/// Stores a cache, unless the stored one already covers it. Returns the generation of the cache that is stored
/// afterwards.
std::uint64_t engine::StoreCache(const std::string& aRequest, kv_cache aCache)
{
  const auto found = mCaches.find(aRequest);
  if (found != mCaches.end() && Covers(found->second, aCache)) {
    return found->second.mGeneration;
  }
  aCache.mGeneration = ++mLastGeneration;
  mCaches[aRequest] = std::move(aCache);
  return mLastGeneration;
}

/// Whether aLonger holds every position of aShorter, for the same prompt, tokens and layers.
bool engine::Covers(const kv_cache& aLonger, const kv_cache& aShorter)
{
  const std::size_t known = std::min(aLonger.mContexts.size(), aShorter.mContexts.size());
  return aLonger.mPrompt == aShorter.mPrompt && aLonger.mFirstLayer == aShorter.mFirstLayer &&
         aLonger.mLastLayer == aShorter.mLastLayer && aLonger.mPosition >= aShorter.mPosition &&
         std::equal(aShorter.mContexts.begin(),
                    aShorter.mContexts.begin() + static_cast<std::ptrdiff_t>(known),
                    aLonger.mContexts.begin());
}

asio::awaitable<net::http_reply> engine::Step(const run_request& aRun)
{
  const auto found = mCaches.find(aRun.mRequest);
  if (found == mCaches.end() || found->second.mPosition < aRun.mPosition) {
    co_return ErrorReply(
      409, "no KV cache of request " + aRun.mRequest + " for the positions below " + std::to_string(aRun.mPosition));
  }
  kv_cache& cache = found->second;
  if (cache.mFirstLayer != aRun.mFirstLayer || cache.mLastLayer != aRun.mLastLayer) {
    co_return ErrorReply(409, "the KV cache of request " + aRun.mRequest + " is of other layers");
  }
  std::uint64_t state = 0;
  if (aRun.mFirstLayer == 0) {
    if (aRun.mInput.empty() != (aRun.mPosition == 0)) {
      co_return ErrorReply(400, "input must be the previous token, and empty at position 0");
    }
    cache.mContexts.resize(std::max<std::uint64_t>(aRun.mPosition, 1));
    if (aRun.mPosition > 0) {
      cache.mContexts.push_back(NextContext(cache.mContexts.back(), aRun.mInput));
    }
    state = InitialState(cache.mContexts.back(), aRun.mPosition);
  } else {
    stage_output input;
    if (!Parse(aRun.mInput, input) || input.mPosition != aRun.mPosition || input.mPrompt != cache.mPrompt) {
      co_return ErrorReply(400, "input must be the output of the stage before, for the same request and position");
    }
    state = input.mState;
  }
  const bool isLast = aRun.mLastLayer + 1 == mOptions.mLayerCount;
  if (isLast && aRun.mMaxTokens <= aRun.mPosition) {
    co_return ErrorReply(400, "max_tokens must be over position");
  }
  state = RunLayers(state, aRun.mFirstLayer, aRun.mLastLayer);
  cache.mPosition = aRun.mPosition + 1;
  const std::uint64_t generation = cache.mGeneration;
  const context_digest prompt = cache.mPrompt;
  Record(aRun);
  co_await SimulateWork(mOptions.mStepPerLayer * (aRun.mLastLayer - aRun.mFirstLayer + 1));
  if (!IsCurrent(aRun.mRequest, generation)) {
    co_return ErrorReply(409, "request " + aRun.mRequest + " was cancelled");
  }
  if (isLast) {
    co_return TokenReply(TokenFromState(state), aRun.mPosition + 1 == aRun.mMaxTokens);
  }
  co_return OutputReply(Format({ prompt, aRun.mPosition, state }));
}

/// Waits for a slot in the batch; higher priorities go first. Returns false if too many requests wait.
asio::awaitable<bool> engine::AcquireSlot(std::uint64_t aPriority)
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

void engine::ReleaseSlot()
{
  --mRunning;
  mChanged.NotifyAll();
}

/// Takes the time of the work and the configured delay, and longer while the engine is stalled.
asio::awaitable<void> engine::SimulateWork(duration aTime)
{
  co_await SleepFor(aTime + mDelay);
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
  if (!body.Error().empty()) {
    return ErrorReply(400, body.Error());
  }
  mCaches.erase(request);
  return ObjectReply(200, {});
}

net::http_reply engine::Export(const net::http_request& aRequest) const
{
  json_body body(aRequest.mBody);
  body.Require("request");
  const std::string request = body.Text("request");
  if (!body.Error().empty()) {
    return ErrorReply(400, body.Error());
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
  if (!body.Error().empty()) {
    return ErrorReply(400, body.Error());
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
  cache.mGeneration = ++mLastGeneration;
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
  if (!body.Error().empty()) {
    return ErrorReply(400, body.Error());
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
  const std::uint64_t delayMs =
    body.Number("slow_ms", std::chrono::duration_cast<std::chrono::milliseconds>(mDelay).count());
  const bool stalled = body.Flag("stall", mStalled);
  const bool kvImport = body.Flag("kv_import", mOptions.mKvImport);
  const bool checkFence = body.Flag("check_fence", mOptions.mCheckFence);
  if (!body.Error().empty()) {
    return ErrorReply(400, body.Error());
  }
  mDelay = std::chrono::milliseconds(delayMs);
  mStalled = stalled;
  mOptions.mKvImport = kvImport;
  mOptions.mCheckFence = checkFence;
  mChanged.NotifyAll();
  return ObjectReply(200, {});
}

void engine::Record(const run_request& aRun)
{
  mLog.Append({ { "request", aRun.mRequest },
                { "attempt", aRun.mAttempt },
                { "position", aRun.mPosition },
                { "first_layer", aRun.mFirstLayer },
                { "last_layer", aRun.mLastLayer },
                { "prefill", aRun.mPrefill },
                { "time_us", Now().time_since_epoch().count() },
                { "pid", getpid() } });
}

/// Explains why the requested layers cannot run on this engine; empty if they can.
std::string engine::CheckLayers(const run_request& aRun) const
{
  const bool isRange = aRun.mFirstLayer <= aRun.mLastLayer;
  if (isRange && aRun.mFirstLayer >= mOptions.mFirstLayer && aRun.mLastLayer <= mOptions.mLastLayer) {
    return {};
  }
  return "layers " + std::to_string(aRun.mFirstLayer) + " to " + std::to_string(aRun.mLastLayer) +
         " are not the ones held, " + std::to_string(mOptions.mFirstLayer) + " to " +
         std::to_string(mOptions.mLastLayer);
}

/// Whether the cache of a request is still the one of this generation, neither cancelled nor replaced.
bool engine::IsCurrent(const std::string& aRequest, std::uint64_t aGeneration) const
{
  const auto found = mCaches.find(aRequest);
  return found != mCaches.end() && found->second.mGeneration == aGeneration;
}

} // namespace chervilpulley::standin
