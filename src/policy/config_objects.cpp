#include "policy/config_objects.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace chervilpulley::policy {

namespace {

constexpr std::size_t kBucketCount = 256;

/// An immutable object that several tables share.
class shared_object : public ref_counted
{
public:
  explicit shared_object(admin::object aObject)
    : mObject(std::move(aObject))
  {
  }
  const admin::object& Object() const { return mObject; }

private:
  const admin::object mObject;
};

/// The objects of a table whose names have the same hash modulo kBucketCount.
class bucket : public ref_counted
{
public:
  std::map<std::string, ref<const shared_object>> mObjects;
};

std::size_t BucketOf(const std::string& aName)
{
  return std::hash<std::string>{}(aName) % kBucketCount;
}

} // namespace

/// The objects of one kind, in buckets that are copied on write.
class object_table : public ref_counted
{
public:
  const admin::object* Find(const std::string& aName) const
  {
    const auto& objects = mBuckets[BucketOf(aName)];
    if (!objects) {
      return nullptr;
    }
    auto found = objects->mObjects.find(aName);
    return found == objects->mObjects.end() ? nullptr : &found->second->Object();
  }

  std::size_t Count() const { return mCount; }

  std::vector<const admin::object*> List() const
  {
    std::vector<std::pair<const std::string*, const admin::object*>> named;
    named.reserve(mCount);
    for (const auto& objects : mBuckets) {
      if (objects) {
        for (const auto& [name, object] : objects->mObjects) {
          named.emplace_back(&name, &object->Object());
        }
      }
    }
    std::sort(
      named.begin(), named.end(), [](const auto& aLeft, const auto& aRight) { return *aLeft.first < *aRight.first; });
    std::vector<const admin::object*> all;
    all.reserve(named.size());
    for (const auto& entry : named) {
      all.push_back(entry.second);
    }
    return all;
  }

  /// Makes a copy with one object added or replaced, or removed if aObject is null.
  ref<const object_table> WithObject(const std::string& aName, const ref<const shared_object>& aObject) const
  {
    auto table = MakeRef<object_table>();
    table->mBuckets = mBuckets;
    auto& slot = table->mBuckets[BucketOf(aName)];
    auto copy = MakeRef<bucket>();
    if (slot) {
      copy->mObjects = slot->mObjects;
    }
    table->mCount = mCount - copy->mObjects.erase(aName);
    if (aObject) {
      copy->mObjects.emplace(aName, aObject);
      ++table->mCount;
    }
    slot = copy;
    return table;
  }

  /// Adds or replaces an object in place. Only for a table that is not shared yet.
  void Put(const std::string& aName, const ref<const shared_object>& aObject)
  {
    auto& slot = mBuckets[BucketOf(aName)];
    if (!slot) {
      slot = MakeRef<bucket>();
    }
    const auto added = const_cast<bucket&>(*slot).mObjects.insert_or_assign(aName, aObject).second;
    mCount += added ? 1 : 0;
  }

private:
  std::array<ref<const bucket>, kBucketCount> mBuckets;
  std::size_t mCount = 0;
};

admin::object_kind KindOf(const admin::object& aObject)
{
  switch (aObject.value_case()) {
    case admin::object::kWorkspace:
      return admin::OBJECT_KIND_WORKSPACE;
    case admin::object::kRoute:
      return admin::OBJECT_KIND_ROUTE;
    case admin::object::kModel:
      return admin::OBJECT_KIND_MODEL;
    case admin::object::kPool:
      return admin::OBJECT_KIND_POOL;
    case admin::object::kPlacement:
      return admin::OBJECT_KIND_PLACEMENT;
    case admin::object::kOperatorKey:
      return admin::OBJECT_KIND_OPERATOR_KEY;
    case admin::object::VALUE_NOT_SET:
      break;
  }
  return admin::OBJECT_KIND_UNSPECIFIED;
}

std::string NameOf(const admin::object& aObject)
{
  switch (aObject.value_case()) {
    case admin::object::kWorkspace:
      return aObject.workspace().name();
    case admin::object::kRoute:
      return aObject.route().workspace() + "/" + aObject.route().name();
    case admin::object::kModel:
      return aObject.model().name();
    case admin::object::kPool:
      return aObject.pool().name();
    case admin::object::kPlacement:
      return aObject.placement().instance();
    case admin::object::kOperatorKey:
      return aObject.operator_key().name();
    case admin::object::VALUE_NOT_SET:
      break;
  }
  return {};
}

const char* KindText(admin::object_kind aKind)
{
  switch (aKind) {
    case admin::OBJECT_KIND_WORKSPACE:
      return "workspace";
    case admin::OBJECT_KIND_ROUTE:
      return "route";
    case admin::OBJECT_KIND_MODEL:
      return "model";
    case admin::OBJECT_KIND_POOL:
      return "pool";
    case admin::OBJECT_KIND_PLACEMENT:
      return "placement";
    case admin::OBJECT_KIND_OPERATOR_KEY:
      return "operator key";
    default:
      return "object";
  }
}

config_objects::config_objects()
{
  mTables.fill(MakeRef<object_table>());
}

config_objects::config_objects(const config_objects&) = default;
config_objects::config_objects(config_objects&&) noexcept = default;
config_objects& config_objects::operator=(const config_objects&) = default;
config_objects& config_objects::operator=(config_objects&&) noexcept = default;
config_objects::~config_objects() = default;

const admin::object* config_objects::Find(admin::object_kind aKind, const std::string& aName) const
{
  const auto* table = TableOf(aKind);
  return table == nullptr ? nullptr : (*table)->Find(aName);
}

std::vector<const admin::object*> config_objects::List(admin::object_kind aKind) const
{
  const auto* table = TableOf(aKind);
  return table == nullptr ? std::vector<const admin::object*>{} : (*table)->List();
}

std::size_t config_objects::Count(admin::object_kind aKind) const
{
  const auto* table = TableOf(aKind);
  return table == nullptr ? 0 : (*table)->Count();
}

void config_objects::Put(const admin::object& aObject)
{
  if (auto* table = TableOf(KindOf(aObject)); table != nullptr) {
    *table = (*table)->WithObject(NameOf(aObject), MakeRef<shared_object>(aObject));
  }
}

void config_objects::Erase(admin::object_kind aKind, const std::string& aName)
{
  auto* table = TableOf(aKind);
  if (table != nullptr && (*table)->Find(aName) != nullptr) {
    *table = (*table)->WithObject(aName, nullptr);
  }
}

const ref<const object_table>* config_objects::TableOf(admin::object_kind aKind) const
{
  auto found = std::find(kObjectKinds.begin(), kObjectKinds.end(), aKind);
  return found == kObjectKinds.end() ? nullptr : &mTables[static_cast<std::size_t>(found - kObjectKinds.begin())];
}

ref<const object_table>* config_objects::TableOf(admin::object_kind aKind)
{
  return const_cast<ref<const object_table>*>(std::as_const(*this).TableOf(aKind));
}

void config_objects::Detach()
{
  for (auto& table : mTables) {
    table = MakeRef<object_table>();
  }
}

void config_objects::PutDetached(const admin::object& aObject)
{
  if (auto* table = TableOf(KindOf(aObject)); table != nullptr) {
    const_cast<object_table&>(**table).Put(NameOf(aObject), MakeRef<shared_object>(aObject));
  }
}

} // namespace chervilpulley::policy
