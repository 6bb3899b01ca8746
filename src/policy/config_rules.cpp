#include "policy/config_rules.h"

#include <set>
#include <utility>

#include "policy/config_fields.h"

namespace chervilpulley::policy {

namespace {

constexpr int kMaxOperations = 256;
constexpr std::size_t kMaxObjectsOfKind = 100'000;

std::string Quoted(const std::string& aName)
{
  return "\"" + aName + "\"";
}

change_error Error(change_errc aCode, std::string aMessage)
{
  return change_error{ aCode, std::move(aMessage) };
}

admin::object_ref RefOf(const admin::object& aObject)
{
  admin::object_ref ref;
  ref.set_kind(KindOf(aObject));
  ref.set_name(NameOf(aObject));
  return ref;
}

/// Message such as `route "x" does not exist in workspace "y"`.
std::string NotFoundText(const admin::object_ref& aRef)
{
  const auto slash = aRef.name().find('/');
  if (aRef.kind() != admin::OBJECT_KIND_ROUTE || slash == std::string::npos) {
    return Describe(aRef) + " does not exist";
  }
  return "route " + Quoted(aRef.name().substr(slash + 1)) + " does not exist in workspace " +
         Quoted(aRef.name().substr(0, slash));
}

/// Checks that the objects to which an object refers exist and are suitable.
class reference_checker
{
public:
  explicit reference_checker(const config_objects& aObjects)
    : mObjects(aObjects)
  {
  }

  change_result<void> Check(const admin::object& aObject) const
  {
    switch (aObject.value_case()) {
      case admin::object::kRoute:
        return CheckRoute(aObject.route(), Describe(RefOf(aObject)));
      case admin::object::kModel:
        return CheckPool(aObject.model().pool(), admin::BACKEND_KIND_ENGINE, Describe(RefOf(aObject)));
      case admin::object::kPlacement:
        return CheckPlacement(aObject.placement(), Describe(RefOf(aObject)));
      case admin::object::kOperatorKey:
        return CheckWorkspace(aObject.operator_key().workspace(), Describe(RefOf(aObject)));
      default:
        return outcome::success();
    }
  }

private:
  change_result<void> CheckWorkspace(const std::string& aName, const std::string& aReferrer) const
  {
    if (aName.empty() || mObjects.Find(admin::OBJECT_KIND_WORKSPACE, aName) != nullptr) {
      return outcome::success();
    }
    return Error(change_errc::NotFound, aReferrer + ": workspace " + Quoted(aName) + " does not exist");
  }

  change_result<void> CheckPool(const std::string& aName, admin::backend_kind aKind, const std::string& aReferrer) const
  {
    const auto* pool = mObjects.Find(admin::OBJECT_KIND_POOL, aName);
    if (pool == nullptr) {
      return Error(change_errc::NotFound, aReferrer + ": pool " + Quoted(aName) + " does not exist");
    }
    if (pool->pool().kind() != aKind) {
      const char* needed = aKind == admin::BACKEND_KIND_ENGINE ? "engines" : "services";
      return Error(change_errc::Invalid, aReferrer + ": pool " + Quoted(aName) + " is not one of " + needed);
    }
    return outcome::success();
  }

  change_result<void> CheckRoute(const admin::route& aRoute, const std::string& aReferrer) const
  {
    BOOST_OUTCOME_TRYV(CheckWorkspace(aRoute.workspace(), aReferrer));
    return CheckPool(aRoute.pool(), admin::BACKEND_KIND_SERVICE, aReferrer);
  }

  change_result<void> CheckPlacement(const admin::placement& aPlacement, const std::string& aReferrer) const
  {
    const auto* model = mObjects.Find(admin::OBJECT_KIND_MODEL, aPlacement.model());
    if (model == nullptr) {
      return Error(change_errc::NotFound, aReferrer + ": model " + Quoted(aPlacement.model()) + " does not exist");
    }
    const auto layers = model->model().layer_count();
    if (aPlacement.last_layer() >= layers) {
      return Error(change_errc::Invalid,
                   aReferrer + ": last_layer " + std::to_string(aPlacement.last_layer()) + " is not below the " +
                     std::to_string(layers) + " layers of model " + Quoted(aPlacement.model()));
    }
    return outcome::success();
  }

  const config_objects& mObjects;
};

bool RefersTo(const admin::object& aObject, const admin::object_ref& aTarget)
{
  switch (aObject.value_case()) {
    case admin::object::kRoute:
      return (aTarget.kind() == admin::OBJECT_KIND_WORKSPACE && aObject.route().workspace() == aTarget.name()) ||
             (aTarget.kind() == admin::OBJECT_KIND_POOL && aObject.route().pool() == aTarget.name());
    case admin::object::kModel:
      return aTarget.kind() == admin::OBJECT_KIND_POOL && aObject.model().pool() == aTarget.name();
    case admin::object::kPlacement:
      return aTarget.kind() == admin::OBJECT_KIND_MODEL && aObject.placement().model() == aTarget.name();
    case admin::object::kOperatorKey:
      return aTarget.kind() == admin::OBJECT_KIND_WORKSPACE && aObject.operator_key().workspace() == aTarget.name();
    default:
      return false;
  }
}

std::vector<const admin::object*> ReferrersOf(const config_objects& aObjects, const admin::object_ref& aTarget)
{
  std::vector<const admin::object*> referrers;
  for (const auto kind : { admin::OBJECT_KIND_ROUTE,
                           admin::OBJECT_KIND_MODEL,
                           admin::OBJECT_KIND_PLACEMENT,
                           admin::OBJECT_KIND_OPERATOR_KEY }) {
    for (const auto* object : aObjects.List(kind)) {
      if (RefersTo(*object, aTarget)) {
        referrers.push_back(object);
      }
    }
  }
  return referrers;
}

/// Checks existence and expected version of an operation's object before the change.
change_result<void> CheckOperation(const config_objects& aObjects, const admin::operation& aOperation)
{
  const auto& ref = aOperation.ref();
  const auto* present = aObjects.Find(ref.kind(), ref.name());
  if (aOperation.op() == admin::CHANGE_OP_CREATE && present != nullptr) {
    return Error(change_errc::AlreadyExists, Describe(ref) + " already exists");
  }
  const bool mustExist = aOperation.op() == admin::CHANGE_OP_UPDATE || aOperation.op() == admin::CHANGE_OP_DELETE;
  if (present == nullptr && (mustExist || aOperation.expected_version() != 0)) {
    return Error(change_errc::NotFound, NotFoundText(ref));
  }
  if (aOperation.expected_version() != 0 && present->version() != aOperation.expected_version()) {
    return Error(change_errc::Conflict,
                 Describe(ref) + " has version " + std::to_string(present->version()) + ", expected " +
                   std::to_string(aOperation.expected_version()));
  }
  return outcome::success();
}

/// Checks that an operation is complete, independently of the current objects.
change_result<void> CheckOperationFields(const admin::operation& aOperation, int aIndex)
{
  const auto& ref = aOperation.ref();
  const std::string label = "operation " + std::to_string(aIndex + 1);
  if (aOperation.op() < admin::CHANGE_OP_CREATE || aOperation.op() > admin::CHANGE_OP_PUT) {
    return Error(change_errc::Invalid, label + " says neither create, update, delete nor put");
  }
  if (ref.kind() < admin::OBJECT_KIND_WORKSPACE || ref.kind() > admin::OBJECT_KIND_OPERATOR_KEY || ref.name().empty()) {
    return Error(change_errc::Invalid, label + " names no object");
  }
  const bool hasValue = aOperation.object().value_case() != admin::object::VALUE_NOT_SET;
  if (aOperation.op() == admin::CHANGE_OP_DELETE) {
    if (hasValue) {
      return Error(change_errc::Invalid, label + " deletes " + Describe(ref) + " but holds a value");
    }
    return outcome::success();
  }
  if (!hasValue) {
    return Error(change_errc::Invalid, label + " holds no value for " + Describe(ref));
  }
  const auto named = RefOf(aOperation.object());
  if (named.kind() != ref.kind() || named.name() != ref.name()) {
    return Error(change_errc::Invalid, label + " names " + Describe(ref) + " but holds " + Describe(named));
  }
  return CheckFields(aOperation.object());
}

change_result<void> CheckChangeFields(const admin::change& aChange)
{
  BOOST_OUTCOME_TRYV(CheckChangeId(aChange.change_id()));
  if (aChange.operations_size() == 0 || aChange.operations_size() > kMaxOperations) {
    return Error(change_errc::Invalid,
                 "change holds " + std::to_string(aChange.operations_size()) + " operations, allowed is 1 to " +
                   std::to_string(kMaxOperations));
  }
  std::set<std::pair<int, std::string>> named;
  for (int i = 0; i < aChange.operations_size(); ++i) {
    BOOST_OUTCOME_TRYV(CheckOperationFields(aChange.operations(i), i));
    const auto& ref = aChange.operations(i).ref();
    if (!named.emplace(ref.kind(), ref.name()).second) {
      return Error(change_errc::Invalid,
                   "operation " + std::to_string(i + 1) + " names " + Describe(ref) + " a second time");
    }
  }
  return outcome::success();
}

/// Checks the references of a changed object, and of the objects that refer to it, after the change.
change_result<void> CheckTouched(const config_objects& aAfter, const admin::operation& aOperation)
{
  const auto& ref = aOperation.ref();
  const reference_checker references(aAfter);
  if (aOperation.op() != admin::CHANGE_OP_DELETE) {
    BOOST_OUTCOME_TRYV(references.Check(*aAfter.Find(ref.kind(), ref.name())));
  }
  const bool constrainsReferrers = ref.kind() == admin::OBJECT_KIND_POOL || ref.kind() == admin::OBJECT_KIND_MODEL;
  if (aOperation.op() != admin::CHANGE_OP_DELETE && !constrainsReferrers) {
    return outcome::success();
  }
  for (const auto* referrer : ReferrersOf(aAfter, ref)) {
    auto checked = references.Check(*referrer);
    if (!checked) {
      const char* verb = aOperation.op() == admin::CHANGE_OP_DELETE ? " can't be deleted: " : " can't be changed so: ";
      return Error(change_errc::Referenced, Describe(ref) + verb + Describe(RefOf(*referrer)) + " refers to it");
    }
  }
  return outcome::success();
}

} // namespace

std::string Describe(const admin::object_ref& aRef)
{
  const auto slash = aRef.name().find('/');
  if (aRef.kind() != admin::OBJECT_KIND_ROUTE || slash == std::string::npos) {
    return std::string(KindText(aRef.kind())) + " " + Quoted(aRef.name());
  }
  return "route " + Quoted(aRef.name().substr(slash + 1)) + " in workspace " + Quoted(aRef.name().substr(0, slash));
}

change_result<config_objects> ApplyChecked(const config_objects& aObjects,
                                           const admin::change& aChange,
                                           std::uint64_t aVersion)
{
  BOOST_OUTCOME_TRYV(CheckChangeFields(aChange));
  for (const auto& operation : aChange.operations()) {
    BOOST_OUTCOME_TRYV(CheckOperation(aObjects, operation));
  }
  config_objects after = aObjects;
  ApplyAccepted(after, aChange, aVersion);
  for (const auto& operation : aChange.operations()) {
    BOOST_OUTCOME_TRYV(CheckTouched(after, operation));
    const auto kind = operation.ref().kind();
    if (after.Count(kind) > kMaxObjectsOfKind) {
      return Error(change_errc::Invalid,
                   "more than " + std::to_string(kMaxObjectsOfKind) + " objects of kind " + KindText(kind));
    }
  }
  return after;
}

void ApplyAccepted(config_objects& aObjects, const admin::change& aChange, std::uint64_t aVersion)
{
  for (const auto& operation : aChange.operations()) {
    if (operation.op() == admin::CHANGE_OP_DELETE) {
      aObjects.Erase(operation.ref().kind(), operation.ref().name());
      continue;
    }
    admin::object object = operation.object();
    object.set_version(aVersion);
    aObjects.Put(object);
  }
}

} // namespace chervilpulley::policy
