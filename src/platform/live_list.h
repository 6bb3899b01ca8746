#pragma once

#include <string>
#include <vector>

#include "chervilpulley/ids.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "platform/object_store.h"

/// The platform's list of live instances, from which an instance finds the others.
namespace chervilpulley::platform {

enum class instance_role
{
  Entry,
  Sidecar
};

/// One item of the live list. The list may be stale: an instance on it may have ended already.
struct live_instance
{
  instance_id mInstance;
  instance_role mRole = instance_role::Sidecar;
  failure_domain_id mFailureDomain;
  pool_name mPool; ///< pool that a sidecar serves
  bool mLeaving = false;
  net::endpoint mHttp;
  net::endpoint mLink;
  net::endpoint mPeer;
  net::endpoint mAdmin;

  bool operator==(const live_instance&) const = default;
};

/// Parses the response body of GET /live; malformed items are skipped.
platform_result<std::vector<live_instance>> ParseLiveList(const std::string& aBody);
/// Formats a body that ParseLiveList reads.
std::string FormatLiveList(const std::vector<live_instance>& aInstances);
/// Fetches the live list from the platform.
platform_call<std::vector<live_instance>> ReadLiveList(ref<net::http_client> aClient,
                                                       net::endpoint aPlatform,
                                                       duration aTimeout);

} // namespace chervilpulley::platform
