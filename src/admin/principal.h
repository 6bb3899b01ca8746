#pragma once

#include <string>
#include <string_view>

#include "admin/admin_backend.h"

/// Authentication of operators and the permissions of each role. A refusal names the required role.
namespace chervilpulley::admin {

/// The owner of a key.
struct principal
{
  std::string mName;
  role mRole = ROLE_UNSPECIFIED;
  workspace_id mWorkspace; ///< of a clerk only
};

/// Finds the owner of a key.
/// @param aBootstrapKey key that counts as an operator's while the configuration has no key with that role; may be
/// empty.
/// @param aAuthorization "Bearer name.secret"
admin_result<principal> Authenticate(const config::config_view& aView,
                                     std::string_view aBootstrapKey,
                                     std::string_view aAuthorization);

/// An operator may apply any change, a clerk only changes to routes of its own workspace.
admin_result<void> CheckApply(const principal& aCaller, const change& aChange);
/// Operators and readers may read every object, a clerk only the routes of its own workspace.
admin_result<void> CheckGet(const principal& aCaller, const object_ref& aRef);
/// Same as CheckGet() for a list; a clerk's request must be filtered by its own workspace.
admin_result<void> CheckList(const principal& aCaller, const list_request& aRequest);
/// Operators and readers may inspect the deployment and the audit trail.
/// @param aWhat what is read, for the text of a refusal.
admin_result<void> CheckInspect(const principal& aCaller, std::string_view aWhat);
/// Operators may drain instances.
admin_result<void> CheckDrain(const principal& aCaller);

} // namespace chervilpulley::admin
