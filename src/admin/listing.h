#pragma once

#include "admin/admin_backend.h"

namespace chervilpulley::admin {

/// Objects, or entries of the log, in a page whose request names no size.
inline constexpr std::uint32_t kDefaultPageSize = 50;
/// Most objects, or entries of the log, in one page.
inline constexpr std::uint32_t kMaxPageSize = 500;

/// The size of a page that a request may have.
std::uint32_t BoundedPageSize(std::uint32_t aRequested);

/// One page of the objects of a kind, in order of their names, without hashes of keys.
admin_result<list_reply> ListObjects(const config::config_view& aView, const list_request& aRequest);

} // namespace chervilpulley::admin
