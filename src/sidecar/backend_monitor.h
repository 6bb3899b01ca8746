#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <optional>

#include "base/ref_counted.h"
#include "engine/engine_client.h"
#include "net/http_client.h"

/// Keeps an eye on the backend server beside this process.
namespace chervilpulley::sidecar {

enum class backend_kind
{
  Engine,
  Service
};

struct backend_options
{
  backend_kind mKind = backend_kind::Engine;
  net::endpoint mAddress;
  duration mProbeInterval = std::chrono::milliseconds(250);
  duration mProbeTimeout = std::chrono::seconds(2);
};

/// Reads the backend server's state again and again. Thread-safe.
class backend_monitor : public ref_counted
{
public:
  /// @param aOnChange is called when the backend server comes up, goes down, or holds other layers.
  backend_monitor(boost::asio::io_context& aContext,
                  ref<net::http_client> aHttp,
                  backend_options aOptions,
                  std::function<void()> aOnChange);

  boost::asio::awaitable<void> Run();
  /// The backend server ended during a call: counts as down until it answers again.
  void MarkDown();
  bool IsUp() const;
  /// State of an engine; nothing while it is down, or for a plain service.
  std::optional<engine::engine_state> Engine() const;
  /// Time since the engine's figures were read.
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
