#pragma once

#include <string>
#include <vector>

#include "chervilpulley/ids.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "platform/object_store.h"

namespace chervilpulley::platform {

enum class instance_role
{
  Entry,
  Sidecar
};

/// One line of the live list. It lags: it gives candidates, never certainty.
struct live_instance
{
  instance_id mInstance;
  instance_role mRole = instance_role::Sidecar;
  failure_domain_id mFailureDomain;
  pool_name mPool; ///< of a sidecar
  bool mLeaving = false;
  net::endpoint mHttp;
  net::endpoint mLink;
  net::endpoint mPeer;
  net::endpoint mAdmin;

  bool operator==(const live_instance&) const = default;
};

/// Parses the body of GET /live; lines that can't be read are left out.
platform_result<std::vector<live_instance>> ParseLiveList(const std::string& aBody);
/// The body that ParseLiveList reads.
std::string FormatLiveList(const std::vector<live_instance>& aInstances);
/// Reads the live list from the platform.
platform_call<std::vector<live_instance>> ReadLiveList(ref<net::http_client> aClient,
                                                       net::endpoint aPlatform,
                                                       duration aTimeout);

} // namespace chervilpulley::platform
