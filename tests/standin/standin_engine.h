#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "demo_model.h"
#include "json_body.h"
#include "net/http_server.h"
#include "record_log.h"
#include "signal.h"

/// Stands in for a model engine: runs a range of the demo model's layers, keeps KV caches and records what it ran. It
/// can be slowed, stalled or crashed, to test the handling of engine failures.
namespace chervilpulley::standin {

/// Settings of the stand-in engine; main.cpp fills them from its flags.
struct engine_options
{
  std::string mModel = "demo";
  std::uint32_t mLayerCount = 8;
  std::uint32_t mFirstLayer = 0;
  std::uint32_t mLastLayer = 7;
  duration mStepPerLayer{ 500 };   ///< time that one step takes in each layer
  duration mPrefillPerToken{ 50 }; ///< time that a prefill takes for each token
  std::string mAccelerator = "standin";
  bool mKvImport = true;
  bool mCheckFence = true;       ///< refuse load orders with an older fence
  std::size_t mMaxBatch = 64;    ///< requests that run at once
  std::size_t mMaxQueued = 1024; ///< requests that wait for a slot; any more are refused
  std::string mRecordsFile;
};

/// Body of POST /v1/run: a prefill, or one step at one position, in a range of layers.
struct run_request
{
  std::string mRequest;
  std::uint64_t mAttempt = 0;
  std::uint64_t mPosition = 0;
  std::uint32_t mFirstLayer = 0;
  std::uint32_t mLastLayer = 0;
  bool mPrefill = false;
  std::uint64_t mPriority = 0;
  std::uint64_t mMaxTokens = 0;
  std::string mPrompt;
  std::vector<std::string> mDelivered; ///< tokens at the positions below mPosition; for a prefill at layer 0
  std::string mInput;                  ///< output of the previous stage; at layer 0 the previous token
};

/// A model engine that serves a range of the demo model's layers.
class engine
{
public:
  explicit engine(engine_options aOptions);

  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);

private:
  /// KV cache of a request; holds all positions below mPosition.
  struct kv_cache
  {
    std::uint64_t mGeneration = 0; ///< distinguishes it from a later cache of the same request
    std::uint32_t mFirstLayer = 0;
    std::uint32_t mLastLayer = 0;
    std::uint64_t mPosition = 0;
    context_digest mPrompt = 0;
    std::uint64_t mPromptTokens = 0;
    std::vector<context_digest> mContexts; ///< by position; only in an engine that has layer 0
  };

  boost::asio::awaitable<net::http_reply> HandleRequest(const net::http_request& aRequest);
  boost::asio::awaitable<net::http_reply> Run(run_request aRun);
  boost::asio::awaitable<net::http_reply> Prefill(const run_request& aRun);
  std::uint64_t StoreCache(const std::string& aRequest, kv_cache aCache);
  static bool Covers(const kv_cache& aLonger, const kv_cache& aShorter);
  boost::asio::awaitable<net::http_reply> Step(const run_request& aRun);
  boost::asio::awaitable<bool> AcquireSlot(std::uint64_t aPriority);
  void ReleaseSlot();
  boost::asio::awaitable<void> SimulateWork(duration aTime);
  net::http_reply State() const;
  net::http_reply Cancel(const net::http_request& aRequest);
  net::http_reply Export(const net::http_request& aRequest) const;
  net::http_reply Import(const net::http_request& aRequest);
  net::http_reply Load(const net::http_request& aRequest);
  net::http_reply Control(const net::http_request& aRequest);
  void Record(const run_request& aRun);
  std::string CheckLayers(const run_request& aRun) const;
  bool IsCurrent(const std::string& aRequest, std::uint64_t aGeneration) const;

  engine_options mOptions;
  record_log mLog;
  std::map<std::string, kv_cache> mCaches;
  std::uint64_t mLastGeneration = 0;
  std::uint64_t mFence = 0;
  std::size_t mRunning = 0;
  std::multiset<std::uint64_t> mQueued; ///< priorities of the requests that wait for a slot
  duration mDelay{ 0 };
  bool mStalled = false;
  signal mChanged;
};

} // namespace chervilpulley::standin
