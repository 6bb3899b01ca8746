#pragma once

#include <string>
#include <vector>

#include "chervilpulley/ids.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "platform/object_store.h"

namespace chervilpulley::platform {

/// Client of the platform's object API over HTTP. Satisfies object_store.
///
/// A write that fails with Unavailable or RateLimited had no effect; one that fails with Unknown or BadReply may have
/// taken effect.
class http_object_store
{
public:
  /// @param aWriter instance sent as the writer of objects.
  /// @param aTimeout timeout of one call; a watch adds its own wait time to it.
  http_object_store(ref<net::http_client> aClient, net::endpoint aPlatform, instance_id aWriter, duration aTimeout);

  /// Methods are documented at the object_store concept.
  platform_call<stored_object> Get(std::string aKey);
  platform_call<object_version> Create(std::string aKey, std::string aBody);
  platform_call<object_version> Update(std::string aKey, std::string aBody, object_version aVersion);
  platform_call<void> Delete(std::string aKey, object_version aVersion);
  platform_call<std::vector<object_summary>> List(std::string aPrefix, std::string aAfter, std::size_t aLimit);
  platform_call<watch_reply> Watch(std::string aPrefix, object_version aAfter, duration aTime);

private:
  platform_call<object_version> Put(std::string aKey, std::string aBody, net::http_header aCondition);
  boost::asio::awaitable<net::net_result<net::http_reply>> Read(std::string aTarget, duration aTimeout);

  ref<net::http_client> mClient;
  net::endpoint mPlatform;
  instance_id mWriter;
  duration mTimeout;
};

} // namespace chervilpulley::platform
