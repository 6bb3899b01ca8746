#include "admin/listing.h"

#include <boost/algorithm/hex.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "admin/key_hashes.h"
#include "policy/config_objects.h"

namespace chervilpulley::admin {

namespace {

/// Prefix of the last object's name in a page token, by which a foreign token is recognized.
constexpr std::string_view kTokenPrefix = "after:";

std::string EncodePageToken(const std::string& aName)
{
  std::string token;
  boost::algorithm::hex_lower(std::string(kTokenPrefix) + aName, std::back_inserter(token));
  return token;
}

/// Returns the name after which the page starts; empty for the first page.
admin_result<std::string> DecodePageToken(const std::string& aToken)
{
  if (aToken.empty()) {
    return std::string();
  }
  std::string text;
  try {
    boost::algorithm::unhex(aToken, std::back_inserter(text));
  } catch (const boost::algorithm::hex_decode_error&) {
    text.clear();
  }
  if (!text.starts_with(kTokenPrefix)) {
    return admin_error{ admin_errc::Invalid, fmt::format("page token \"{}\" is not one of a list's reply", aToken) };
  }
  return text.substr(kTokenPrefix.size());
}

bool HasWorkspace(object_kind aKind)
{
  return aKind == OBJECT_KIND_ROUTE || aKind == OBJECT_KIND_OPERATOR_KEY;
}

const std::string& WorkspaceOf(const object& aObject)
{
  return aObject.has_route() ? aObject.route().workspace() : aObject.operator_key().workspace();
}

admin_result<void> CheckRequest(const list_request& aRequest)
{
  const auto& kinds = policy::kObjectKinds;
  if (std::find(kinds.begin(), kinds.end(), aRequest.kind()) == kinds.end()) {
    return admin_error{ admin_errc::Invalid, "a list needs the kind of its objects" };
  }
  if (!aRequest.workspace().empty() && !HasWorkspace(aRequest.kind())) {
    return admin_error{ admin_errc::Invalid,
                        fmt::format("a list of kind \"{}\" can't be filtered by workspace",
                                    policy::KindText(aRequest.kind())) };
  }
  return outcome::success();
}

} // namespace

std::uint32_t BoundedPageSize(std::uint32_t aRequested)
{
  return aRequested == 0 ? kDefaultPageSize : std::min(aRequested, kMaxPageSize);
}

admin_result<list_reply> ListObjects(const config::config_view& aView, const list_request& aRequest)
{
  BOOST_OUTCOME_TRYV(CheckRequest(aRequest));
  BOOST_OUTCOME_TRY(const std::string after, DecodePageToken(aRequest.page_token()));
  const std::uint32_t size = BoundedPageSize(aRequest.page_size());
  list_reply reply;
  reply.set_revision(aView.Revision().Value());
  std::string last;
  for (const object* each : aView.List(aRequest.kind())) {
    const std::string name = policy::NameOf(*each);
    const bool isRequested = aRequest.workspace().empty() || WorkspaceOf(*each) == aRequest.workspace();
    if (name <= after || !isRequested) {
      continue;
    }
    if (static_cast<std::uint32_t>(reply.objects_size()) == size) {
      reply.set_next_page_token(EncodePageToken(last));
      break;
    }
    last = name;
    object* added = reply.add_objects();
    *added = *each;
    RemoveKeyHashes(*added);
  }
  return reply;
}

} // namespace chervilpulley::admin
