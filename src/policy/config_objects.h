#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "base/ref_counted.h"
#include "generated/admin.pb.h"

/// The objects of a configuration as a persistent data structure: copies and changes are cheap, so each revision can be
/// read without a lock while the next one is made.
namespace chervilpulley::policy {

/// Kinds of configuration objects, in the order in which they may refer to one another.
inline constexpr std::array kObjectKinds{ admin::OBJECT_KIND_POOL,      admin::OBJECT_KIND_WORKSPACE,
                                          admin::OBJECT_KIND_MODEL,     admin::OBJECT_KIND_ROUTE,
                                          admin::OBJECT_KIND_PLACEMENT, admin::OBJECT_KIND_OPERATOR_KEY };

/// The kind of an object's value; unspecified if it has none.
admin::object_kind KindOf(const admin::object& aObject);
/// The name under which an object is stored: "workspace/route" for a route, the instance for a placement.
std::string NameOf(const admin::object& aObject);
/// English name of a kind in the singular, for messages.
const char* KindText(admin::object_kind aKind);

class object_table;

/// All objects at one revision. Copies share their contents (copy-on-write): a change copies only the bucket that it
/// modifies and never affects readers of an older copy.
class config_objects
{
public:
  config_objects();
  config_objects(const config_objects&);
  config_objects(config_objects&&) noexcept;
  config_objects& operator=(const config_objects&);
  config_objects& operator=(config_objects&&) noexcept;
  ~config_objects();

  /// Null if there is no such object. The pointer is valid as long as any copy contains the object.
  const admin::object* Find(admin::object_kind aKind, const std::string& aName) const;
  /// All objects of a kind, sorted by name.
  std::vector<const admin::object*> List(admin::object_kind aKind) const;
  std::size_t Count(admin::object_kind aKind) const;
  /// Makes the configuration that contains all of aObjects. Equivalent to a Put of each, without a copy for each.
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
  /// Adds an object, or replaces the object of the same kind and name.
  void Put(const admin::object& aObject);
  /// Removes an object; has no effect if there is none.
  void Erase(admin::object_kind aKind, const std::string& aName);

private:
  const ref<const object_table>* TableOf(admin::object_kind aKind) const;
  ref<const object_table>* TableOf(admin::object_kind aKind);
  /// Replaces the tables with new empty ones, which PutDetached may modify until this object is copied.
  void Detach();
  /// Put that modifies the tables in place. Only after Detach().
  void PutDetached(const admin::object& aObject);

  std::array<ref<const object_table>, kObjectKinds.size()> mTables;
};

} // namespace chervilpulley::policy
