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

/// Client of a model engine, as docs/PROTOCOLS.md describes it.
namespace chervilpulley::engine {

enum class engine_errc
{
  ConnectionLost, ///< the engine ended during the call
  Unreachable,    ///< the engine can't be reached; the call surely did not reach it
  Timeout,        ///< no answer within the time given
  NoState,        ///< it has no KV cache for the positions before this one, or holds other layers
  Busy,           ///< it takes no more work now
  Invalid         ///< it refused the input, or its answer can't be read
};

struct engine_error
{
  engine_errc mCode = engine_errc::ConnectionLost;
  std::string mMessage;
};

template<class T>
using engine_result = result<T, engine_error>;

/// What the engine holds and how busy it is.
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

/// One pass through the engine's layers.
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
  std::string mPrompt;                 ///< in a prefill at layer 0
  std::vector<std::string> mDelivered; ///< in a prefill at layer 0
  std::string mInput;
};

struct run_reply
{
  std::string mOutput; ///< for the next stage
  std::string mToken;  ///< from the last layer of a step
  bool mIsLast = false;
  std::string mFinishReason;
};

/// An order to hold a range of layers.
struct load_request
{
  model_name mModel;
  std::uint32_t mFirstLayer = 0; ///< inclusive
  std::uint32_t mLastLayer = 0;  ///< inclusive
  revision_number mFence;        ///< engines that check fencing numbers refuse an older one
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
  boost::asio::awaitable<engine_result<void>> Load(load_request aOrder, duration aTimeout);
  /// Stops a request and drops its KV cache; failures are of no consequence.
  boost::asio::awaitable<void> Cancel(request_id aRequest, duration aTimeout);

private:
  ref<net::http_client> mHttp;
  net::endpoint mEndpoint;
};

} // namespace chervilpulley::engine
