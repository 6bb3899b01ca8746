#pragma once

#include <string>
#include <string_view>

#include "admin/admin_backend.h"

/// Who calls, and what a role may do. Refusals name the role that is needed.
namespace chervilpulley::admin {

/// The owner of a key.
struct principal
{
  std::string mName;
  role mRole = ROLE_UNSPECIFIED;
  workspace_id mWorkspace; ///< of a clerk
};

/// Finds the owner of a key.
/// @param aBootstrapKey key that is an operator's while the configuration holds no key with that role; may be empty.
/// @param aAuthorization "Bearer name.secret"
admin_result<principal> Authenticate(const config::config_view& aView,
                                     std::string_view aBootstrapKey,
                                     std::string_view aAuthorization);

/// An operator may apply any change, a clerk one of routes of its own workspace.
admin_result<void> CheckApply(const principal& aCaller, const change& aChange);
/// A reader may read every object, a clerk the routes of its own workspace.
admin_result<void> CheckGet(const principal& aCaller, const object_ref& aRef);
/// The same for a list; a clerk's must be filtered by its own workspace.
admin_result<void> CheckList(const principal& aCaller, const list_request& aRequest);
/// Readers and operators may see the deployment and the audit trail.
/// @param aWhat names what is read, for the refusal.
admin_result<void> CheckInspect(const principal& aCaller, std::string_view aWhat);
/// Operators may drain instances.
admin_result<void> CheckDrain(const principal& aCaller);

} // namespace chervilpulley::admin
