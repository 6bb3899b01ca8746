#pragma once

#include <string_view>
#include <vector>

#include "base/ref_counted.h"
#include "chervilpulley/ids.h"
#include "generated/admin.pb.h"
#include "policy/config_objects.h"

/// Immutable view of the configuration, so that requests read it without a lock while changes arrive.
namespace chervilpulley::config {

/// The whole configuration at one revision.
class config_view : public ref_counted
{
public:
  virtual revision_number Revision() const = 0;
  /// Each Find function returns null if there is no such object.
  virtual const admin::workspace* FindWorkspace(const workspace_id& aName) const = 0;
  /// The workspace that an API key belongs to; null if none. Keys are "workspace.secret" and compared as salted hashes.
  virtual const admin::workspace* WorkspaceOfKey(std::string_view aApiKey) const = 0;
  virtual const admin::route* FindRoute(const workspace_id& aWorkspace, const route_name& aName) const = 0;
  virtual const admin::model_version* FindModel(const model_name& aName) const = 0;
  virtual const admin::backend_pool* FindPool(const pool_name& aName) const = 0;
  virtual const admin::placement* FindPlacement(const instance_id& aInstance) const = 0;
  /// The operator key that matches; null if none. Keys are "name.secret".
  virtual const admin::operator_key* FindOperatorKey(std::string_view aKey) const = 0;
  virtual bool HasOperatorKeys() const = 0;
  virtual std::vector<const admin::model_version*> Models() const = 0;
  /// An object of any kind; null if there is none.
  virtual const admin::object* Find(const admin::object_ref& aRef) const = 0;
  virtual std::vector<const admin::object*> List(admin::object_kind aKind) const = 0;
};

/// Makes the view of a whole state, such as a snapshot.
ref<const config_view> MakeConfigView(const admin::config_state& aState);
/// Makes the view of the given objects, which it shares with aObjects.
ref<const config_view> MakeConfigView(revision_number aRevision, policy::config_objects aObjects);

} // namespace chervilpulley::config
