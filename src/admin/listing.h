#pragma once

#include "admin/admin_backend.h"

/// Lists of configuration objects in pages, so that the size of a reply is bounded however many objects exist.
namespace chervilpulley::admin {

/// Number of objects, or entries of the log, in a page whose request gives no size.
inline constexpr std::uint32_t kDefaultPageSize = 50;
/// Maximum number of objects, or entries of the log, in one page.
inline constexpr std::uint32_t kMaxPageSize = 500;

/// The page size for a requested size: the default for 0, and never above the maximum.
std::uint32_t BoundedPageSize(std::uint32_t aRequested);

/// Returns one page of the objects of a kind, sorted by name, without key hashes.
admin_result<list_reply> ListObjects(const config::config_view& aView, const list_request& aRequest);

} // namespace chervilpulley::admin
