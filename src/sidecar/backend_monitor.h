#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <optional>

#include "base/ref_counted.h"
#include "engine/engine_client.h"
#include "net/http_client.h"

/// Probes the backend server beside this process, so that requests are refused at once while it is down.
namespace chervilpulley::sidecar {

enum class backend_kind
{
  Engine, ///< runs layers of a model
  Service ///< plain service
};

/// Address of the backend server and how it is probed.
struct backend_options
{
  backend_kind mKind = backend_kind::Engine;
  net::endpoint mAddress;
  duration mProbeInterval = std::chrono::milliseconds(250);
  duration mProbeTimeout = std::chrono::seconds(2);
};

/// Polls the state of the backend server. Thread-safe.
class backend_monitor : public ref_counted
{
public:
  /// @param aOnChange is called when the backend server comes up, goes down, or has loaded other layers.
  backend_monitor(boost::asio::io_context& aContext,
                  ref<net::http_client> aHttp,
                  backend_options aOptions,
                  std::function<void()> aOnChange);

  /// Probes until the context stops.
  boost::asio::awaitable<void> Run();
  /// Marks the backend server as down after it crashed during a call, until a probe succeeds again.
  void MarkDown();
  bool IsUp() const;
  /// State of an engine; nullopt while it is down and for a plain service.
  std::optional<engine::engine_state> Engine() const;
  /// Time since the last probe finished or the backend server was marked as down.
  duration Age() const;

private:
  boost::asio::awaitable<void> ProbeEngine();
  boost::asio::awaitable<void> ProbeService();
  void SetState(bool aIsUp, std::optional<engine::engine_state> aState);

  boost::asio::io_context& mContext;
  ref<net::http_client> mHttp;
  ref<engine::engine_client> mEngine;
  backend_options mOptions;
  std::function<void()> mOnChange;
  mutable std::mutex mMutex;
  bool mIsUp = false;
  std::optional<engine::engine_state> mState;
  instant mReadAt{};
};

} // namespace chervilpulley::sidecar
