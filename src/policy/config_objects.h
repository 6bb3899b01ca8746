#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "base/ref_counted.h"
#include "generated/admin.pb.h"

/// The objects of a configuration as a value that is cheap to copy and to change.
namespace chervilpulley::policy {

/// Kinds of objects that a configuration holds, in the order in which they may refer to one another.
inline constexpr std::array kObjectKinds{ admin::OBJECT_KIND_POOL,      admin::OBJECT_KIND_WORKSPACE,
                                          admin::OBJECT_KIND_MODEL,     admin::OBJECT_KIND_ROUTE,
                                          admin::OBJECT_KIND_PLACEMENT, admin::OBJECT_KIND_OPERATOR_KEY };

/// The kind of an object's value; unspecified when it has none.
admin::object_kind KindOf(const admin::object& aObject);
/// The name by which an object is found: "workspace/route" for a route, the instance for a placement.
std::string NameOf(const admin::object& aObject);
/// Singular English name of a kind, for messages.
const char* KindText(admin::object_kind aKind);

class object_table;

/// All objects at one revision. Copies share what they hold; a change copies only the part that it touches, so
/// readers of an older copy are not disturbed.
class config_objects
{
public:
  config_objects();
  config_objects(const config_objects&);
  config_objects(config_objects&&) noexcept;
  config_objects& operator=(const config_objects&);
  config_objects& operator=(config_objects&&) noexcept;
  ~config_objects();

  /// Null when there is none. Valid while some copy holds the object.
  const admin::object* Find(admin::object_kind aKind, const std::string& aName) const;
  /// All objects of a kind, by name.
  std::vector<const admin::object*> List(admin::object_kind aKind) const;
  std::size_t Count(admin::object_kind aKind) const;
  /// The same as a Put of each object, but without a copy for each.
  template<class Objects>
  static config_objects FromObjects(const Objects& aObjects)
  {
    config_objects all;
    all.Detach();
    for (const auto& object : aObjects) {
      all.PutDetached(object);
    }
    return all;
  }
  /// Adds an object, or replaces the one of its kind and name.
  void Put(const admin::object& aObject);
  /// Removes an object; does nothing when there is none.
  void Erase(admin::object_kind aKind, const std::string& aName);

private:
  const ref<const object_table>* TableOf(admin::object_kind aKind) const;
  ref<const object_table>* TableOf(admin::object_kind aKind);
  /// Gives this copy tables of its own, which PutDetached may write to until another copy is made.
  void Detach();
  void PutDetached(const admin::object& aObject);

  std::array<ref<const object_table>, kObjectKinds.size()> mTables;
};

} // namespace chervilpulley::policy
