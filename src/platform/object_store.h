#pragma once

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"

/// The platform's object API and its live list.
namespace chervilpulley::platform {

/// Version of an object: the platform's sequence number at its last write.
using object_version = strong_number<struct object_version_tag>;

/// What went wrong with a call to the platform.
enum class platform_errc
{
  Unavailable, ///< it surely had no effect (nothing was sent, or the platform refused)
  Unknown,     ///< a write may have taken effect
  Conflict,    ///< the condition of a write did not hold; it had no effect
  NotFound,
  TooLarge,
  RateLimited,
  BadReply
};

struct platform_error
{
  platform_errc mCode = platform_errc::Unavailable;
  std::string mMessage;
};

template<class T>
using platform_result = result<T, platform_error>;

struct stored_object
{
  std::string mBody;
  object_version mVersion;
};

struct object_summary
{
  std::string mKey;
  object_version mVersion;
};

struct watch_reply
{
  object_version mSequence; ///< pass it to the next call
  std::vector<object_summary> mEvents;
};

template<class T>
using platform_call = boost::asio::awaitable<platform_result<T>>;

/// What the system asks of the object API. Thread-safe.
template<class Store>
concept object_store =
  requires(Store& aStore, std::string aText, object_version aVersion, std::size_t aLimit, duration aTime)
{
  {
    aStore.Get(aText)
    } -> std::same_as<platform_call<stored_object>>;
  /// Writes an object that must not exist.
  {
    aStore.Create(aText, aText)
    } -> std::same_as<platform_call<object_version>>;
  /// Writes an object that must have this version.
  {
    aStore.Update(aText, aText, aVersion)
    } -> std::same_as<platform_call<object_version>>;
  /// Deletes an object that must have this version.
  {
    aStore.Delete(aText, aVersion)
    } -> std::same_as<platform_call<void>>;
  /// Keys with a prefix, after a key, in order.
  {
    aStore.List(aText, aText, aLimit)
    } -> std::same_as<platform_call<std::vector<object_summary>>>;
  /// Waits for a change below a prefix.
  {
    aStore.Watch(aText, aVersion, aTime)
    } -> std::same_as<platform_call<watch_reply>>;
};

} // namespace chervilpulley::platform
