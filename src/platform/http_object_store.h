#pragma once

#include <string>
#include <vector>

#include "chervilpulley/ids.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "platform/object_store.h"

namespace chervilpulley::platform {

/// The platform's object API over HTTP. Satisfies object_store.
///
/// Errors of writes: Unavailable and RateLimited had no effect, Unknown may have taken effect, and so may BadReply.
class http_object_store
{
public:
  /// @param aWriter instance that is named as the writer of objects.
  /// @param aTimeout longest wait for the answer to one call; a watch waits its own time longer.
  http_object_store(ref<net::http_client> aClient, net::endpoint aPlatform, instance_id aWriter, duration aTimeout);

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
