#include "admin/principal.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/random.h"
#include "policy/config_rules.h"

namespace chervilpulley::admin {

namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr std::string_view kBootstrapName = "bootstrap";
constexpr char kRouteNameSeparator = '/';

std::string_view RoleText(role aRole)
{
  switch (aRole) {
    case ROLE_READER:
      return "reader";
    case ROLE_CLERK:
      return "clerk";
    case ROLE_OPERATOR:
      return "operator";
    default:
      return "none";
  }
}

/// Whether the configuration has a key with the role operator, which disables the bootstrap key.
bool HasOperatorKey(const config::config_view& aView)
{
  const auto keys = aView.List(OBJECT_KIND_OPERATOR_KEY);
  return std::any_of(
    keys.begin(), keys.end(), [](const object* aKey) { return aKey->operator_key().role() == ROLE_OPERATOR; });
}

admin_error Forbidden(const principal& aCaller, std::string_view aAction, role aNeeded)
{
  return { admin_errc::Forbidden,
           fmt::format(
             "role \"{}\" may not {}; role \"{}\" is needed", RoleText(aCaller.mRole), aAction, RoleText(aNeeded)) };
}

/// A refusal that also names the clerk's workspace.
admin_error ForbiddenToClerk(const principal& aCaller, std::string_view aAction, role aNeeded)
{
  return { admin_errc::Forbidden,
           fmt::format("role \"clerk\" of workspace \"{}\" may not {}; role \"{}\" is needed",
                       aCaller.mWorkspace.Str(),
                       aAction,
                       RoleText(aNeeded)) };
}

bool IsOwnRoute(const principal& aCaller, const object_ref& aRef)
{
  const std::string prefix = aCaller.mWorkspace.Str() + kRouteNameSeparator;
  return aRef.kind() == OBJECT_KIND_ROUTE && aCaller.mWorkspace.IsValid() && aRef.name().starts_with(prefix);
}

/// Whether an operation affects only a route of the clerk's workspace, by its name as well as its content.
bool IsOwnRoute(const principal& aCaller, const operation& aOperation)
{
  if (!IsOwnRoute(aCaller, aOperation.ref())) {
    return false;
  }
  if (aOperation.op() == CHANGE_OP_DELETE) {
    return true;
  }
  return aOperation.object().has_route() && aOperation.object().route().workspace() == aCaller.mWorkspace.Str();
}

admin_result<void> Allowed()
{
  return outcome::success();
}

} // namespace

admin_result<principal> Authenticate(const config::config_view& aView,
                                     std::string_view aBootstrapKey,
                                     std::string_view aAuthorization)
{
  if (!aAuthorization.starts_with(kScheme)) {
    return admin_error{ admin_errc::BadKey, "metadata \"authorization\" must be \"Bearer\" and a key" };
  }
  const std::string_view key = aAuthorization.substr(kScheme.size());
  if (const operator_key* found = aView.FindOperatorKey(key)) {
    return principal{ found->name(), found->role(), workspace_id(found->workspace()) };
  }
  if (!aBootstrapKey.empty() && EqualConstantTime(key, aBootstrapKey) && !HasOperatorKey(aView)) {
    return principal{ std::string(kBootstrapName), ROLE_OPERATOR, {} };
  }
  return admin_error{ admin_errc::BadKey, "the key is not one of an operator, reader or clerk" };
}

admin_result<void> CheckApply(const principal& aCaller, const change& aChange)
{
  if (aCaller.mRole == ROLE_OPERATOR) {
    return Allowed();
  }
  if (aCaller.mRole != ROLE_CLERK) {
    return Forbidden(aCaller, "apply changes", ROLE_OPERATOR);
  }
  for (const operation& each : aChange.operations()) {
    if (!IsOwnRoute(aCaller, each)) {
      return ForbiddenToClerk(aCaller, "change " + policy::Describe(each.ref()), ROLE_OPERATOR);
    }
  }
  return Allowed();
}

admin_result<void> CheckGet(const principal& aCaller, const object_ref& aRef)
{
  if (aCaller.mRole == ROLE_OPERATOR || aCaller.mRole == ROLE_READER) {
    return Allowed();
  }
  if (aCaller.mRole == ROLE_CLERK && IsOwnRoute(aCaller, aRef)) {
    return Allowed();
  }
  return ForbiddenToClerk(aCaller, "read " + policy::Describe(aRef), ROLE_READER);
}

admin_result<void> CheckList(const principal& aCaller, const list_request& aRequest)
{
  if (aCaller.mRole == ROLE_OPERATOR || aCaller.mRole == ROLE_READER) {
    return Allowed();
  }
  const bool isOwn = aCaller.mWorkspace.IsValid() && aRequest.workspace() == aCaller.mWorkspace.Str();
  if (aCaller.mRole == ROLE_CLERK && aRequest.kind() == OBJECT_KIND_ROUTE && isOwn) {
    return Allowed();
  }
  const std::string what = aRequest.kind() == OBJECT_KIND_ROUTE ? "list routes of other workspaces" : "list objects";
  return ForbiddenToClerk(aCaller, what, ROLE_READER);
}

admin_result<void> CheckInspect(const principal& aCaller, std::string_view aWhat)
{
  if (aCaller.mRole == ROLE_OPERATOR || aCaller.mRole == ROLE_READER) {
    return Allowed();
  }
  return Forbidden(aCaller, fmt::format("read the {}", aWhat), ROLE_READER);
}

admin_result<void> CheckDrain(const principal& aCaller)
{
  if (aCaller.mRole == ROLE_OPERATOR) {
    return Allowed();
  }
  return Forbidden(aCaller, "drain instances", ROLE_OPERATOR);
}

} // namespace chervilpulley::admin
