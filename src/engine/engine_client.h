#pragma once

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

#include "base/ref_counted.h"
#include "base/result.h"
#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"
#include "net/http_client.h"

/// Client of a model engine; docs/PROTOCOLS.md describes the protocol. Its errors tell whether the engine was reached,
/// lost its KV cache or is busy, since the caller recovers differently from each.
namespace chervilpulley::engine {

/// Reason why a call to an engine failed.
enum class engine_errc
{
  ConnectionLost, ///< the connection closed during the call, as when the engine crashes
  Unreachable,    ///< no connection, or nothing was sent; the call did not reach the engine
  Timeout,        ///< no response before the timeout
  NoState,        ///< the engine has no KV cache for the earlier positions, or holds other layers
  Busy,           ///< the engine accepts no more work at present
  Invalid         ///< the engine rejected the input, or its response is malformed
};

struct engine_error
{
  engine_errc mCode = engine_errc::ConnectionLost;
  std::string mMessage;
};

template<class T>
using engine_result = result<T, engine_error>;

/// Layers that an engine holds, and its load.
struct engine_state
{
  model_name mModel;
  std::uint32_t mLayerCount = 0;
  std::uint32_t mFirstLayer = 0; ///< inclusive
  std::uint32_t mLastLayer = 0;  ///< inclusive
  std::string mAccelerator;
  std::uint32_t mRunning = 0;
  std::uint32_t mQueued = 0;
  duration mStepTime{ 0 };
  duration mPrefillTimePerToken{ 0 };
  bool mCanImportKv = false;
};

/// One pass through the engine's layers, for a prefill or a decode step.
struct run_request
{
  request_id mRequest;
  attempt_number mAttempt;
  token_position mPosition;
  std::uint32_t mFirstLayer = 0;
  std::uint32_t mLastLayer = 0;
  bool mIsPrefill = false;
  std::uint32_t mPriority = 0;
  std::uint32_t mMaxTokens = 0;
  std::string mPrompt;                 ///< only in a prefill that starts at layer 0
  std::vector<std::string> mDelivered; ///< tokens already delivered; only in a prefill that starts at layer 0
  std::string mInput;                  ///< output of the stage before
};

/// Result of a pass.
struct run_reply
{
  std::string mOutput; ///< input of the next stage
  std::string mToken;  ///< token that the last layer of the model produced
  bool mIsLast = false;
  std::string mFinishReason;
};

/// Tells an engine to load a range of layers.
struct load_request
{
  model_name mModel;
  std::uint32_t mFirstLayer = 0; ///< inclusive
  std::uint32_t mLastLayer = 0;  ///< inclusive
  revision_number mFence;        ///< engines that check fencing numbers reject an older one
};

/// An engine at one address. Thread-safe.
class engine_client : public ref_counted
{
public:
  engine_client(ref<net::http_client> aHttp, net::endpoint aEndpoint)
    : mHttp(std::move(aHttp))
    , mEndpoint(std::move(aEndpoint))
  {
  }
  boost::asio::awaitable<engine_result<engine_state>> GetState(duration aTimeout);
  boost::asio::awaitable<engine_result<run_reply>> Run(run_request aRequest, duration aTimeout);
  boost::asio::awaitable<engine_result<void>> Load(load_request aLoad, duration aTimeout);
  /// Stops a request and frees its KV cache. Best effort: errors are ignored.
  boost::asio::awaitable<void> Cancel(request_id aRequest, duration aTimeout);

private:
  ref<net::http_client> mHttp;
  net::endpoint mEndpoint;
};

} // namespace chervilpulley::engine
