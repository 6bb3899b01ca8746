#pragma once

#include <boost/asio/awaitable.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "chervilpulley/ids.h"
#include "chervilpulley/units.h"

/// Interface to the platform's object API: versioned objects with conditional writes, listing and watches.
namespace chervilpulley::platform {

/// Version of an object: the platform's sequence number of its last write.
using object_version = strong_number<struct object_version_tag>;

/// Reason why a call to the platform failed.
enum class platform_errc
{
  Unavailable, ///< the call had no effect: nothing was sent, or the platform refused it
  Unknown,     ///< a write may have taken effect
  Conflict,    ///< the precondition of a write failed; it had no effect
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
  object_version mSequence; ///< passed to the next call as the version to watch from
  std::vector<object_summary> mEvents;
};

template<class T>
using platform_call = boost::asio::awaitable<platform_result<T>>;

/// Operations that the system needs from the object API. Implementations are thread-safe.
template<class Store>
concept object_store =
  requires(Store& aStore, std::string aText, object_version aVersion, std::size_t aLimit, duration aTime)
{
  {
    aStore.Get(aText)
    } -> std::same_as<platform_call<stored_object>>;
  /// Creates an object; Conflict when it exists.
  {
    aStore.Create(aText, aText)
    } -> std::same_as<platform_call<object_version>>;
  /// Replaces an object; Conflict when it has another version.
  {
    aStore.Update(aText, aText, aVersion)
    } -> std::same_as<platform_call<object_version>>;
  /// Deletes an object; Conflict when it has another version.
  {
    aStore.Delete(aText, aVersion)
    } -> std::same_as<platform_call<void>>;
  /// Lists keys with a prefix in order, starting after a key.
  {
    aStore.List(aText, aText, aLimit)
    } -> std::same_as<platform_call<std::vector<object_summary>>>;
  /// Waits for changes of keys with a prefix after a version, at most for a time.
  {
    aStore.Watch(aText, aVersion, aTime)
    } -> std::same_as<platform_call<watch_reply>>;
};

} // namespace chervilpulley::platform
