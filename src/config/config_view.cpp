#include "config/config_view.h"

#include "config/api_key.h"

#include <utility>

namespace chervilpulley::config {

namespace {

/// View over a copy of the objects.
class objects_view : public config_view
{
public:
  objects_view(revision_number aRevision, policy::config_objects aObjects)
    : mRevision(aRevision)
    , mObjects(std::move(aObjects))
  {
  }

  revision_number Revision() const override { return mRevision; }

  const admin::workspace* FindWorkspace(const workspace_id& aName) const override
  {
    const auto* object = mObjects.Find(admin::OBJECT_KIND_WORKSPACE, aName.Str());
    return object == nullptr ? nullptr : &object->workspace();
  }

  const admin::workspace* WorkspaceOfKey(std::string_view aApiKey) const override
  {
    const auto key = SplitKey(aApiKey);
    if (!key) {
      return nullptr;
    }
    const auto* workspace = FindWorkspace(workspace_id(std::string(key->mName)));
    if (workspace == nullptr) {
      return nullptr;
    }
    for (const auto& hash : workspace->api_key_hashes()) {
      if (VerifyKey(key->mSecret, hash)) {
        return workspace;
      }
    }
    return nullptr;
  }

  const admin::route* FindRoute(const workspace_id& aWorkspace, const route_name& aName) const override
  {
    const auto* object = mObjects.Find(admin::OBJECT_KIND_ROUTE, aWorkspace.Str() + "/" + aName.Str());
    return object == nullptr ? nullptr : &object->route();
  }

  const admin::model_version* FindModel(const model_name& aName) const override
  {
    const auto* object = mObjects.Find(admin::OBJECT_KIND_MODEL, aName.Str());
    return object == nullptr ? nullptr : &object->model();
  }

  const admin::backend_pool* FindPool(const pool_name& aName) const override
  {
    const auto* object = mObjects.Find(admin::OBJECT_KIND_POOL, aName.Str());
    return object == nullptr ? nullptr : &object->pool();
  }

  const admin::placement* FindPlacement(const instance_id& aInstance) const override
  {
    const auto* object = mObjects.Find(admin::OBJECT_KIND_PLACEMENT, aInstance.Str());
    return object == nullptr ? nullptr : &object->placement();
  }

  const admin::operator_key* FindOperatorKey(std::string_view aKey) const override
  {
    const auto key = SplitKey(aKey);
    if (!key) {
      return nullptr;
    }
    const auto* object = mObjects.Find(admin::OBJECT_KIND_OPERATOR_KEY, std::string(key->mName));
    if (object == nullptr || !VerifyKey(key->mSecret, object->operator_key().key_hash())) {
      return nullptr;
    }
    return &object->operator_key();
  }

  bool HasOperatorKeys() const override { return mObjects.Count(admin::OBJECT_KIND_OPERATOR_KEY) > 0; }

  std::vector<const admin::model_version*> Models() const override
  {
    std::vector<const admin::model_version*> models;
    models.reserve(mObjects.Count(admin::OBJECT_KIND_MODEL));
    for (const auto* object : mObjects.List(admin::OBJECT_KIND_MODEL)) {
      models.push_back(&object->model());
    }
    return models;
  }

  const admin::object* Find(const admin::object_ref& aRef) const override
  {
    return mObjects.Find(aRef.kind(), aRef.name());
  }

  std::vector<const admin::object*> List(admin::object_kind aKind) const override { return mObjects.List(aKind); }

private:
  const revision_number mRevision;
  const policy::config_objects mObjects;
};

} // namespace

ref<const config_view> MakeConfigView(const admin::config_state& aState)
{
  return MakeConfigView(revision_number(aState.revision()), policy::config_objects::FromObjects(aState.objects()));
}

ref<const config_view> MakeConfigView(revision_number aRevision, policy::config_objects aObjects)
{
  return MakeRef<objects_view>(aRevision, std::move(aObjects));
}

} // namespace chervilpulley::config
